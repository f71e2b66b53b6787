//! Carries out the actions of the claim log state machines: platform calls and timers.

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

/// Object with the claim log layout that every instance has to agree on.
const LAYOUT_OBJECT: &str = "claims/layout";
/// Maximum wait for the preferred instance of a shard.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two attempts to read the layout.
const LAYOUT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Submits claims and outcomes of one instance to the claim log; clones share their state.
#[derive(Debug)]
pub struct ClaimCoordinator<Store, ClockSource, Link> {
    inner: Rc<CoordinatorInner<Store, ClockSource, Link>>,
}

#[derive(Debug)]
struct CoordinatorInner<Store, ClockSource, Link> {
    store: Store,
    link: Link,
    route: ClaimRoute,
    clock: ClockSource,
    settings: ClaimSettings,
    shards: RefCell<HashMap<ShardIndex, ShardState>>,
    replies: RefCell<HashMap<TicketId, oneshot::Sender<ShardReply>>>,
    next_ticket: Cell<TicketId>,
    pending_records: Rc<Cell<usize>>,
    is_layout_confirmed: Cell<bool>,
    layout_lock: Mutex<()>,
}

#[derive(Debug)]
struct ShardState {
    writer: ShardWriter,
    timer: Option<Instant>,
}

/// Result of forwarding a record to the preferred instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ForwardResult {
    /// The record was not forwarded; this instance has to write it.
    Local,
    /// The preferred instance wrote the record.
    Written,
    /// The preferred instance may or may not write the record.
    Unknown,
}

/// Keeps a counter incremented by one until dropped.
#[derive(Debug)]
struct CounterGuard(Rc<Cell<usize>>);

impl CounterGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for CounterGuard {
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
    /// Creates a coordinator; the platform is first called when the first task arrives.
    pub fn new(store: Store, link: Link, clock: ClockSource, settings: ClaimSettings) -> Self {
        let inner = CoordinatorInner {
            store,
            link,
            route: ClaimRoute::default(),
            clock,
            settings,
            shards: RefCell::default(),
            replies: RefCell::default(),
            next_ticket: Cell::new(0),
            pending_records: Rc::default(),
            is_layout_confirmed: Cell::new(false),
            layout_lock: Mutex::new(()),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Returns the claim settings.
    pub fn settings(&self) -> &ClaimSettings {
        &self.inner.settings
    }

    /// Returns the number of tasks and outcomes that are not in the log yet.
    pub fn backlog(&self) -> usize {
        let shards = self.inner.shards.borrow();
        let tasks: usize = shards.values().map(|shard| shard.writer.backlog()).sum();
        tasks + self.inner.pending_records.get()
    }

    /// Returns a lower bound of a shard's current age.
    pub fn shard_age(&self, shard: ShardIndex) -> Duration {
        let now = self.inner.clock.now();
        let shards = self.inner.shards.borrow();
        shards
            .get(&shard)
            .map_or(Duration::ZERO, |state| state.writer.log().age(now))
    }

    /// Submits a task to a shard and waits for the reply.
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
        self.handle_event(shard, event);
        receiver
            .await
            .unwrap_or(ShardReply::Unconfirmed(UnconfirmedCause::Deadline))
    }

    /// Returns the mapping of shards to preferred instances.
    pub fn route(&self) -> &ClaimRoute {
        &self.inner.route
    }

    /// Claims a key, through the preferred instance of the shard if that is another instance.
    pub async fn claim(
        &self,
        shard: ShardIndex,
        record: ClaimRecord,
        deadline: Instant,
    ) -> ShardReply {
        let call = ForwardRecord::Claim(record.clone());
        let origin = match self.forward(shard, call, deadline).await {
            ForwardResult::Written => return ShardReply::Claimed,
            ForwardResult::Local => ClaimOrigin::Local,
            ForwardResult::Unknown => ClaimOrigin::UnresponsivePeer,
        };
        let task = ShardTask::Claim(record, origin);
        self.submit(shard, task, deadline).await
    }

    /// Records an outcome and waits until `deadline`; after that, continues in the background.
    pub async fn record_and_wait(
        &self,
        shard: ShardIndex,
        record: OutcomeRecord,
        deadline: Instant,
    ) {
        let task = ShardTask::Record(record.clone());
        if self.submit(shard, task, deadline).await != ShardReply::Recorded {
            self.record(shard, record);
        }
    }

    /// Records an outcome in the background, until the claim's retention time is over.
    pub fn record(&self, shard: ShardIndex, record: OutcomeRecord) {
        let coordinator = self.clone();
        let guard = CounterGuard::new(&self.inner.pending_records);
        let deadline = self.inner.clock.now() + self.inner.settings.retention;
        actix_rt::spawn(async move {
            let _guard = guard;
            let request = Arc::clone(&record.request);
            let call = ForwardRecord::Outcome(record.clone());
            if coordinator.forward(shard, call, deadline).await == ForwardResult::Written {
                return;
            }
            let task = ShardTask::Record(record);
            if coordinator.submit(shard, task, deadline).await != ShardReply::Recorded {
                tracing::error!(request = &*request, "outcome could not be recorded");
            }
        });
    }

    /// Sends a record to the preferred instance, unless that is this instance.
    async fn forward(
        &self,
        shard: ShardIndex,
        record: ForwardRecord,
        deadline: Instant,
    ) -> ForwardResult {
        let now = self.inner.clock.now();
        let own = &self.inner.settings.instance;
        let Some(member) = self.inner.route.preferred(shard, own, now) else {
            return ForwardResult::Local;
        };
        let wait = FORWARD_TIMEOUT.min(deadline.saturating_duration_since(now) / 2);
        let call = ForwardCall {
            shard,
            record,
            wait_milliseconds: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        match self.inner.link.forward(member.address, call, wait).await {
            Some(ForwardReply::Written) => ForwardResult::Written,
            Some(ForwardReply::Declined) => ForwardResult::Unknown,
            None => {
                let now = self.inner.clock.now();
                self.inner.route.mark_unreachable(&member.instance, now);
                ForwardResult::Unknown
            }
        }
    }

    /// Checks that this instance has the same shard count and retention as all others.
    async fn confirm_layout(&self, deadline: Instant) -> Result<(), UnconfirmedCause> {
        if self.inner.is_layout_confirmed.get() {
            return Ok(());
        }
        // Only one task runs the check; the others wait and then find it done.
        let _guard = self.inner.layout_lock.lock().await;
        while !self.inner.is_layout_confirmed.get() {
            match self.read_layout(deadline).await {
                Some(true) => self.inner.is_layout_confirmed.set(true),
                Some(false) => return Err(UnconfirmedCause::OtherLayout),
                None if self.inner.clock.now() + LAYOUT_RETRY_INTERVAL >= deadline => {
                    return Err(UnconfirmedCause::Deadline);
                }
                None => actix_rt::time::sleep(LAYOUT_RETRY_INTERVAL).await,
            }
        }
        Ok(())
    }

    /// Returns whether the stored layout equals this instance's; `None` if it cannot be read.
    async fn read_layout(&self, deadline: Instant) -> Option<bool> {
        let layout = layout_text(&self.inner.settings);
        let stored = match self.inner.store.get(LAYOUT_OBJECT).await.ok()? {
            Some(value) => value.body,
            None => self.write_layout(Arc::clone(&layout), deadline).await?,
        };
        if stored != layout {
            tracing::error!(
                found = &*stored,
                expected = &*layout,
                "stored claim layout differs from this instance's"
            );
        }
        Some(stored == layout)
    }

    async fn write_layout(&self, layout: Arc<str>, deadline: Instant) -> Option<Arc<str>> {
        let write = ResolvedWrite {
            name: LAYOUT_OBJECT.into(),
            condition: PutCondition::Absent,
            body: Arc::clone(&layout),
            deadline,
        };
        let is_own = |stored: &str| *stored == *layout;
        match put_resolved(&self.inner.store, write, is_own, &self.inner.clock).await {
            Ok(WriteVerdict::Written(_version)) => Some(Arc::clone(&layout)),
            Ok(WriteVerdict::NotWritten(value)) => value.map(|value| value.body),
            Err(_error) => None,
        }
    }

    fn handle_event(&self, shard: ShardIndex, event: ShardEvent) {
        let now = self.inner.clock.now();
        let actions = {
            let mut shards = self.inner.shards.borrow_mut();
            let shard_state = shards.entry(shard).or_insert_with(|| ShardState {
                writer: ShardWriter::new(shard, self.inner.settings.clone()),
                timer: None,
            });
            shard_state.writer.handle(event, now)
        };
        for action in actions {
            self.perform_action(shard, action);
        }
    }

    fn perform_action(&self, shard: ShardIndex, action: ShardAction) {
        match action {
            ShardAction::Reply(ticket, reply) => self.send_reply(ticket, reply),
            ShardAction::Wake(time) => self.start_timer(shard, time),
            action => {
                let coordinator = self.clone();
                actix_rt::spawn(async move {
                    if let Some(event) = coordinator.call_store(action).await {
                        coordinator.handle_event(shard, event);
                    }
                });
            }
        }
    }

    async fn call_store(&self, action: ShardAction) -> Option<ShardEvent> {
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

    fn send_reply(&self, ticket: TicketId, reply: ShardReply) {
        if let Some(sender) = self.inner.replies.borrow_mut().remove(&ticket) {
            // The receiver is gone if the caller disconnected.
            drop(sender.send(reply));
        }
    }

    /// Starts the timer of a shard, unless one is running that fires earlier.
    ///
    /// When the earlier timer fires, the shard requests the later wake-up again.
    fn start_timer(&self, shard: ShardIndex, time: Instant) {
        let mut shards = self.inner.shards.borrow_mut();
        let Some(shard_state) = shards.get_mut(&shard) else {
            return;
        };
        if shard_state.timer.is_some_and(|current| current <= time) {
            return;
        }
        shard_state.timer = Some(time);
        let coordinator = self.clone();
        let wait = time.saturating_duration_since(self.inner.clock.now());
        actix_rt::spawn(async move {
            actix_rt::time::sleep(wait).await;
            if coordinator.clear_timer(shard, time) {
                coordinator.handle_event(shard, ShardEvent::Tick);
            }
        });
    }

    /// Clears the timer of a shard if it is still the one that fires at `time`.
    ///
    /// Returns false for a timer that was replaced by an earlier one.
    fn clear_timer(&self, shard: ShardIndex, time: Instant) -> bool {
        let mut shards = self.inner.shards.borrow_mut();
        let Some(shard_state) = shards.get_mut(&shard) else {
            return false;
        };
        let is_current = shard_state.timer == Some(time);
        if is_current {
            shard_state.timer = None;
        }
        is_current
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
