//! Runs the claim log's decisions against the platform.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_claim::{
    ClaimOrigin, ClaimRecord, ClaimSettings, OutcomeRecord, ShardAction, ShardEvent, ShardIndex,
    ShardReply, ShardTask, ShardWriter, TicketId, UnconfirmedCause,
};
use dandeliondeal_store::{ResolvedWrite, WriteVerdict, put_resolved};
use dandeliondeal_types::{Clock, ObjectStore, PutCondition};
use tokio::sync::{Mutex, oneshot};

use crate::claim_link::{ClaimLink, ClaimRoute, ForwardCall, ForwardRecord, ForwardReply};

/// Object that fixes what every instance has to agree on.
const LAYOUT_OBJECT: &str = "claims/layout";
/// Longest wait for the preferred instance of a shard.
const FORWARD_TIME: Duration = Duration::from_millis(500);
/// Time between two tries to read it.
const LAYOUT_PAUSE: Duration = Duration::from_millis(100);

/// The claims of one instance; clones share them.
#[derive(Debug)]
pub struct ClaimCoordinator<Store, ClockSource, Link> {
    inner: Rc<DeskInner<Store, ClockSource, Link>>,
}

#[derive(Debug)]
struct DeskInner<Store, ClockSource, Link> {
    store: Store,
    link: Link,
    route: ClaimRoute,
    clock: ClockSource,
    settings: ClaimSettings,
    shards: RefCell<HashMap<ShardIndex, ShardCell>>,
    replies: RefCell<HashMap<TicketId, oneshot::Sender<ShardReply>>>,
    next_ticket: Cell<TicketId>,
    recording: Rc<Cell<usize>>,
    is_layout_confirmed: Cell<bool>,
    layout_turn: Mutex<()>,
}

#[derive(Debug)]
struct ShardCell {
    writer: ShardWriter,
    wake: Option<Instant>,
}

/// What became of a record that may have been forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ForwardResult {
    /// It is for this instance to write.
    Here,
    /// The preferred instance wrote it.
    Written,
    /// The preferred instance may write it or not.
    Unsettled,
}

/// Counts one thing as open until it is dropped.
#[derive(Debug)]
struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<Store, ClockSource, Link> Clone for ClaimCoordinator<Store, ClockSource, Link> {
    fn clone(&self) -> Self {
        Self {
            inner: Rc::clone(&self.inner),
        }
    }
}

impl<Store, ClockSource, Link> ClaimCoordinator<Store, ClockSource, Link>
where
    Store: ObjectStore,
    ClockSource: Clock,
    Link: ClaimLink,
{
    /// Makes a coordinator; the platform is called once the first task arrives.
    pub fn new(store: Store, link: Link, clock: ClockSource, settings: ClaimSettings) -> Self {
        let inner = DeskInner {
            store,
            link,
            route: ClaimRoute::default(),
            clock,
            settings,
            shards: RefCell::default(),
            replies: RefCell::default(),
            next_ticket: Cell::new(0),
            recording: Rc::default(),
            is_layout_confirmed: Cell::new(false),
            layout_turn: Mutex::new(()),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// The settings.
    pub fn settings(&self) -> &ClaimSettings {
        &self.inner.settings
    }

    /// Number of tasks and outcomes that are not in the log yet.
    pub fn backlog(&self) -> usize {
        let shards = self.inner.shards.borrow();
        let tasks: usize = shards.values().map(|shard| shard.writer.backlog()).sum();
        tasks + self.inner.recording.get()
    }

    /// Lower bound of a shard's age now.
    pub fn shard_age(&self, shard: ShardIndex) -> Duration {
        let now = self.inner.clock.now();
        let shards = self.inner.shards.borrow();
        shards
            .get(&shard)
            .map_or(Duration::ZERO, |cell| cell.writer.log().age(now))
    }

    /// Gives a task to a shard and waits for the reply.
    pub async fn submit(
        &self,
        shard: ShardIndex,
        task: ShardTask,
        deadline: Instant,
    ) -> ShardReply {
        if let Err(cause) = self.confirm_layout(deadline).await {
            return ShardReply::Unconfirmed(cause);
        }
        let ticket = self.inner.next_ticket.get() + 1;
        self.inner.next_ticket.set(ticket);
        let (sender, receiver) = oneshot::channel();
        self.inner.replies.borrow_mut().insert(ticket, sender);
        let event = ShardEvent::Submit {
            ticket,
            task,
            deadline,
        };
        self.handle(shard, event);
        receiver
            .await
            .unwrap_or(ShardReply::Unconfirmed(UnconfirmedCause::Deadline))
    }

    /// Which instance is preferred for which shard.
    pub fn route(&self) -> &ClaimRoute {
        &self.inner.route
    }

    /// Claims a key, through the preferred instance of the shard if there is one.
    pub async fn claim(
        &self,
        shard: ShardIndex,
        record: ClaimRecord,
        deadline: Instant,
    ) -> ShardReply {
        let call = ForwardRecord::Claim(record.clone());
        let origin = match self.forward(shard, call, deadline).await {
            ForwardResult::Written => return ShardReply::Claimed,
            ForwardResult::Here => ClaimOrigin::Local,
            ForwardResult::Unsettled => ClaimOrigin::Unanswered,
        };
        let task = ShardTask::Claim(record, origin);
        self.submit(shard, task, deadline).await
    }

    /// Records an outcome and waits for it, at most until `deadline`; goes on in the background.
    pub async fn record_by(&self, shard: ShardIndex, record: OutcomeRecord, deadline: Instant) {
        let task = ShardTask::Record(record.clone());
        if self.submit(shard, task, deadline).await != ShardReply::Recorded {
            self.record(shard, record);
        }
    }

    /// Records an outcome in the background, for as long as the claim is kept.
    pub fn record(&self, shard: ShardIndex, record: OutcomeRecord) {
        let coordinator = self.clone();
        let open = OpenCount::new(&self.inner.recording);
        let deadline = self.inner.clock.now() + self.inner.settings.retention;
        actix_rt::spawn(async move {
            let _open = open;
            let request = Arc::clone(&record.request);
            let call = ForwardRecord::Outcome(record.clone());
            if coordinator.forward(shard, call, deadline).await == ForwardResult::Written {
                return;
            }
            let task = ShardTask::Record(record);
            if coordinator.submit(shard, task, deadline).await != ShardReply::Recorded {
                tracing::error!(request = &*request, "outcome not recorded");
            }
        });
    }

    /// Sends a record to the preferred instance, unless it is this one.
    async fn forward(
        &self,
        shard: ShardIndex,
        record: ForwardRecord,
        deadline: Instant,
    ) -> ForwardResult {
        let now = self.inner.clock.now();
        let own = &self.inner.settings.instance;
        let Some(member) = self.inner.route.preferred(shard, own, now) else {
            return ForwardResult::Here;
        };
        let wait = FORWARD_TIME.min(deadline.saturating_duration_since(now) / 2);
        let call = ForwardCall {
            shard,
            record,
            wait_milliseconds: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        match self.inner.link.forward(member.address, call, wait).await {
            Some(ForwardReply::Written) => ForwardResult::Written,
            Some(ForwardReply::Declined) => ForwardResult::Unsettled,
            None => {
                let now = self.inner.clock.now();
                self.inner.route.pass_over(&member.instance, now);
                ForwardResult::Unsettled
            }
        }
    }

    /// Makes sure that this instance counts shards and retention as all others do.
    async fn confirm_layout(&self, deadline: Instant) -> Result<(), UnconfirmedCause> {
        if self.inner.is_layout_confirmed.get() {
            return Ok(());
        }
        // One check at a time; whoever waited finds it done.
        let _turn = self.inner.layout_turn.lock().await;
        while !self.inner.is_layout_confirmed.get() {
            match self.read_layout(deadline).await {
                Some(true) => self.inner.is_layout_confirmed.set(true),
                Some(false) => return Err(UnconfirmedCause::OtherLayout),
                None if self.inner.clock.now() + LAYOUT_PAUSE >= deadline => {
                    return Err(UnconfirmedCause::Deadline);
                }
                None => actix_rt::time::sleep(LAYOUT_PAUSE).await,
            }
        }
        Ok(())
    }

    /// Whether the layout in the platform is this instance's; `None` if it cannot be read.
    async fn read_layout(&self, deadline: Instant) -> Option<bool> {
        let layout = layout_text(&self.inner.settings);
        let found = match self.inner.store.get(LAYOUT_OBJECT).await.ok()? {
            Some(value) => value.body,
            None => self.write_layout(Arc::clone(&layout), deadline).await?,
        };
        if found != layout {
            tracing::error!(found = &*found, expected = &*layout, "claim layout differs");
        }
        Some(found == layout)
    }

    async fn write_layout(&self, layout: Arc<str>, deadline: Instant) -> Option<Arc<str>> {
        let write = ResolvedWrite {
            name: LAYOUT_OBJECT.into(),
            condition: PutCondition::Absent,
            body: Arc::clone(&layout),
            deadline,
        };
        let is_ours = |found: &str| *found == *layout;
        match put_resolved(&self.inner.store, write, is_ours, &self.inner.clock).await {
            Ok(WriteVerdict::Written(_version)) => Some(Arc::clone(&layout)),
            Ok(WriteVerdict::NotWritten(value)) => value.map(|value| value.body),
            Err(_error) => None,
        }
    }

    fn handle(&self, shard: ShardIndex, event: ShardEvent) {
        let now = self.inner.clock.now();
        let actions = {
            let mut shards = self.inner.shards.borrow_mut();
            let cell = shards.entry(shard).or_insert_with(|| ShardCell {
                writer: ShardWriter::new(shard, self.inner.settings.clone()),
                wake: None,
            });
            cell.writer.handle(event, now)
        };
        for action in actions {
            self.perform(shard, action);
        }
    }

    fn perform(&self, shard: ShardIndex, action: ShardAction) {
        match action {
            ShardAction::Reply(ticket, reply) => self.reply(ticket, reply),
            ShardAction::Wake(time) => self.wake_at(shard, time),
            call => {
                let coordinator = self.clone();
                actix_rt::spawn(async move {
                    if let Some(event) = coordinator.call(call).await {
                        coordinator.handle(shard, event);
                    }
                });
            }
        }
    }

    async fn call(&self, action: ShardAction) -> Option<ShardEvent> {
        let store = &self.inner.store;
        match action {
            ShardAction::List(prefix) => Some(ShardEvent::Listed(store.list(&prefix).await)),
            ShardAction::Get(name) => Some(ShardEvent::Read(store.get(&name).await)),
            ShardAction::Put(write) => {
                let result = store.put(&write.name, write.condition, write.body).await;
                Some(ShardEvent::Written(result))
            }
            ShardAction::Delete(name, version) => {
                Some(ShardEvent::Deleted(store.delete(&name, version).await))
            }
            ShardAction::Reply(..) | ShardAction::Wake(_) => None,
        }
    }

    fn reply(&self, ticket: TicketId, reply: ShardReply) {
        if let Some(sender) = self.inner.replies.borrow_mut().remove(&ticket) {
            // The receiver is gone if the caller left.
            drop(sender.send(reply));
        }
    }

    /// Arms one timer a shard: a later wake-up than the armed one is asked for again by it.
    fn wake_at(&self, shard: ShardIndex, time: Instant) {
        let mut shards = self.inner.shards.borrow_mut();
        let Some(cell) = shards.get_mut(&shard) else {
            return;
        };
        if cell.wake.is_some_and(|armed| armed <= time) {
            return;
        }
        cell.wake = Some(time);
        let coordinator = self.clone();
        let wait = time.saturating_duration_since(self.inner.clock.now());
        actix_rt::spawn(async move {
            actix_rt::time::sleep(wait).await;
            if coordinator.disarm(shard, time) {
                coordinator.handle(shard, ShardEvent::Tick);
            }
        });
    }

    /// Whether the timer that was armed for `time` is still the one in force.
    fn disarm(&self, shard: ShardIndex, time: Instant) -> bool {
        let mut shards = self.inner.shards.borrow_mut();
        let Some(cell) = shards.get_mut(&shard) else {
            return false;
        };
        let is_armed = cell.wake == Some(time);
        if is_armed {
            cell.wake = None;
        }
        is_armed
    }
}

fn layout_text(settings: &ClaimSettings) -> Arc<str> {
    let retention = settings.retention.as_millis();
    format!(
        "{{\"shards\":{},\"retention_milliseconds\":{retention}}}",
        settings.shards
    )
    .into()
}
