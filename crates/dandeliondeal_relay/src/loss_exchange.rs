//! Passes notices of lost engines between instances.
//!
//! The observer tells two hubs of its failure domain, which tell the hubs of all domains. Each instance
//! keeps a call open at two hubs of its domain, which they answer once there is news.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use dandeliondeal_peer::{PeerClient, PeerError, PeerHandler};
use dandeliondeal_types::{Clock, FailureDomain, InstanceId};
use futures_util::future::join_all;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::dialect::FleetDialect;
use crate::engine_check::{CheckCause, check_engine};
use crate::hub_selection::HubSelector;
use crate::instance_registry::PeerInstance;
use crate::loss_notice::{LossNotice, MAX_MESSAGE_NOTICES, MessageRate};
use crate::loss_sweep::{SweepTimer, sweep_engines, swept_engines};
use crate::relay_context::RelayContext;
use crate::silence_exchange::SILENCE_METHOD;

/// Method that tells a hub of losses.
pub(crate) const NOTICE_METHOD: &str = "loss-notice";
/// Method that waits for notices at a hub.
pub(crate) const WATCH_METHOD: &str = "loss-watch";
/// Time in which a hub has to answer.
pub(crate) const HUB_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum time for which a hub delays its reply while there is no news.
const WATCH_HOLD_TIME: Duration = Duration::from_millis(600);
/// Time for which an instance that does not know the methods is not called.
const UNSUPPORTED_TIME: Duration = Duration::from_secs(10);
/// Number of hubs of each domain that receive notices, so that the loss of one delays none.
const HUBS_PER_DOMAIN: usize = 2;
/// Maximum number of hubs that are tried for one message.
const MAX_HUB_ATTEMPTS: usize = 3;
/// Time until the next attempt if there is no hub to watch, or a call failed.
const IDLE_PAUSE: Duration = Duration::from_millis(300);
/// Time until another hub is watched after one has failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(10);

/// Message with notices.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct NoticeMessage {
    /// Whether a hub sent the message, so that it is not passed on again.
    #[serde(default)]
    is_relayed: bool,
    notices: Vec<LossNotice>,
}

/// Reply to a message with notices.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct NoticeReply {}

/// Request for the notices after a sequence number of the hub.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct WatchRequest {
    #[serde(default)]
    seen: u64,
    /// Instance that waits, if it reports silences.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    observer: Option<InstanceId>,
    /// Number of the last ask for silence reports that the instance knows.
    #[serde(default)]
    asks_seen: u64,
}

/// Notices of a hub.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct WatchReply {
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    notices: Vec<LossNotice>,
    /// Number of the hub's last ask for silence reports.
    #[serde(default)]
    asks: u64,
    /// Interval in milliseconds at which the hub asks for silence reports; absent if it needs none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    asked_ms: Option<u64>,
}

/// Returns whether instances tell one another of lost engines under the configuration in force.
pub fn is_loss_sharing_on<Time, Dialect>(context: &RelayContext<Time, Dialect>) -> bool
where
    Time: Clock,
{
    context.losses().is_shared()
}

/// Passes notices on; clones share the state.
#[derive(Debug)]
pub struct LossExchange<Time, Dialect> {
    context: RelayContext<Time, Dialect>,
    client: PeerClient,
    /// Separate from the selection for load reports, whose time limit is longer.
    hubs: HubSelector<Time, Dialect>,
    relays: Rc<RelayQueue>,
    sweeps: Rc<SweepTimer>,
}

/// Notices that other hubs have to be told.
#[derive(Debug, Default)]
struct RelayQueue {
    notices: std::cell::RefCell<Vec<LossNotice>>,
    added: tokio::sync::Notify,
}

impl<Time, Dialect> Clone for LossExchange<Time, Dialect> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            client: self.client.clone(),
            hubs: self.hubs.clone(),
            relays: Rc::clone(&self.relays),
            sweeps: Rc::clone(&self.sweeps),
        }
    }
}

impl<Time, Dialect> LossExchange<Time, Dialect>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    /// Creates an exchange that sends nothing until [`Self::run`].
    pub fn new(context: RelayContext<Time, Dialect>, client: PeerClient) -> Self {
        Self {
            hubs: HubSelector::new(context.clone()),
            context,
            client,
            relays: Rc::default(),
            sweeps: Rc::default(),
        }
    }

    /// Sends and receives notices until the task is dropped.
    pub async fn run(self) {
        let watches = (0..HUBS_PER_DOMAIN).map(|index| self.watch_hubs(index));
        let watches = join_all(watches);
        futures_util::join!(
            self.send_notices(),
            self.relay_notices(),
            watches,
            self.report_silences(),
            self.publish_suspicions()
        );
    }

    /// Returns the state that all requests share.
    pub(crate) fn context(&self) -> &RelayContext<Time, Dialect> {
        &self.context
    }

    /// Returns the selection of hubs for notices and silence reports.
    pub(crate) fn hubs(&self) -> &HubSelector<Time, Dialect> {
        &self.hubs
    }

    /// Returns the failure domains that have instances.
    pub(crate) fn domains(&self) -> BTreeSet<FailureDomain> {
        let peers = self.context.peers();
        let domains = peers.iter().map(|peer| &peer.failure_domain);
        domains.cloned().collect()
    }

    /// Publishes a notice of this instance; returns whether it is news.
    pub fn publish(&self, notice: LossNotice) -> bool {
        self.context.losses().publish(notice, self.context.now())
    }

    /// Tells the hubs of this domain of the losses that this instance observed.
    async fn send_notices(&self) {
        let mut rate = MessageRate::default();
        loop {
            let board = self.context.losses();
            let notices = board.take_outgoing(MAX_MESSAGE_NOTICES).await;
            actix_rt::time::sleep(rate.reserve(self.context.now())).await;
            let message = NoticeMessage {
                is_relayed: false,
                notices,
            };
            let own = &self.context.settings().instance;
            let hubs = self.hubs.ranked_hubs(&own.failure_domain, HUBS_PER_DOMAIN);
            if hubs.iter().any(|hub| hub.id == own.id) {
                self.queue_relay(&message.notices);
            }
            self.tell_domain(&own.failure_domain, &message).await;
        }
    }

    fn queue_relay(&self, notices: &[LossNotice]) {
        self.relays.notices.borrow_mut().extend_from_slice(notices);
        self.relays.added.notify_one();
    }

    /// Tells the hubs of all domains of the notices that this hub was told by members.
    async fn relay_notices(&self) {
        let mut rate = MessageRate::default();
        loop {
            let notices: Vec<LossNotice> = {
                let mut queue = self.relays.notices.borrow_mut();
                let count = queue.len().min(MAX_MESSAGE_NOTICES);
                queue.drain(..count).collect()
            };
            if notices.is_empty() {
                self.relays.added.notified().await;
                continue;
            }
            actix_rt::time::sleep(rate.reserve(self.context.now())).await;
            for notice in &notices {
                self.count(notice, "relayed");
            }
            self.start_sweep(&notices);
            let message = NoticeMessage {
                is_relayed: true,
                notices,
            };
            let domains = self.domains();
            let calls = domains
                .iter()
                .map(|domain| self.tell_domain(domain, &message));
            join_all(calls).await;
        }
    }

    /// Tells the hubs of a domain; tries others if none answers.
    async fn tell_domain(&self, domain: &str, message: &NoticeMessage) {
        for _ in 0..MAX_HUB_ATTEMPTS {
            let hubs = self.hubs.ranked_hubs(domain, HUBS_PER_DOMAIN);
            let own = &self.context.settings().instance.id;
            let others = hubs.iter().filter(|hub| hub.id != *own);
            let calls = others.map(|hub| self.send(hub, message));
            let results = join_all(calls).await;
            if results.is_empty() || results.contains(&true) {
                return;
            }
        }
    }

    async fn send(&self, hub: &PeerInstance, message: &NoticeMessage) -> bool {
        let reply: Option<NoticeReply> = self.call(hub, NOTICE_METHOD, message, HUB_TIMEOUT).await;
        reply.is_some()
    }

    /// Keeps a call open at the hub with this place in the order of preference.
    async fn watch_hubs(&self, index: usize) {
        let mut seen: HashMap<InstanceId, (u64, u64)> = HashMap::new();
        let mut rate = MessageRate::default();
        loop {
            let own = &self.context.settings().instance;
            let hub = is_loss_sharing_on(&self.context)
                .then(|| self.hubs.ranked_hubs(&own.failure_domain, HUBS_PER_DOMAIN));
            let hub = hub.and_then(|hubs| hubs.into_iter().nth(index));
            let Some(hub) = hub.filter(|hub| hub.id != own.id) else {
                actix_rt::time::sleep(self.context.jitter(IDLE_PAUSE)).await;
                continue;
            };
            actix_rt::time::sleep(rate.reserve(self.context.now())).await;
            seen.retain(|id, _| *id == hub.id);
            let (last_notice, asks_seen) = seen.get(&hub.id).copied().unwrap_or_default();
            let request = WatchRequest {
                seen: last_notice,
                observer: Some(InstanceId::clone(&own.id)),
                asks_seen,
            };
            let limit = WATCH_HOLD_TIME + HUB_TIMEOUT;
            let reply: Option<WatchReply> = self.call(&hub, WATCH_METHOD, &request, limit).await;
            let Some(reply) = reply else {
                // A hub that was restarted counts anew.
                seen.clear();
                actix_rt::time::sleep(FAILURE_PAUSE).await;
                continue;
            };
            let known = (reply.sequence, reply.asks);
            seen.insert(InstanceId::clone(&hub.id), known);
            if let Some(asked_ms) = reply.asked_ms {
                self.answer_ask(asked_ms);
            }
            self.receive(reply.notices);
        }
    }

    /// Calls a hub; excludes it for a while if it does not answer in time.
    pub(crate) async fn call<Body, Reply>(
        &self,
        hub: &PeerInstance,
        method: &'static str,
        body: &Body,
        limit: Duration,
    ) -> Option<Reply>
    where
        Body: Serialize,
        Reply: DeserializeOwned,
    {
        // The connection is also that of the load reports, so it stays open after this time limit.
        let call = self.client.call(hub.address, method, body);
        match actix_rt::time::timeout(limit, call).await {
            Ok(Ok(reply)) => return Some(reply),
            Ok(Err(PeerError::UnknownMethod { .. })) => {
                self.hubs.exclude_for(&hub.id, UNSUPPORTED_TIME);
            }
            Ok(Err(error)) => {
                tracing::debug!(hub = %hub.id, method, %error, "hub does not answer");
                self.hubs.exclude(&hub.id);
            }
            Err(_elapsed) => {
                tracing::debug!(hub = %hub.id, method, "hub does not answer in time");
                self.hubs.exclude(&hub.id);
            }
        }
        None
    }

    /// Handles notices of other instances; returns those that are news.
    fn receive(&self, notices: Vec<LossNotice>) -> Vec<LossNotice> {
        let now = self.context.now();
        let own = &self.context.settings().instance.id;
        let mut news = Vec::new();
        for notice in notices.into_iter().take(MAX_MESSAGE_NOTICES) {
            let is_known = self
                .context
                .fleet()
                .borrow()
                .record(&notice.engine)
                .is_some();
            if notice.observer == *own || !is_known {
                self.count(&notice, "dropped");
                continue;
            }
            if self.context.losses().add(notice.clone(), now) {
                self.count(&notice, "received");
                self.apply(&notice);
                news.push(notice);
            }
        }
        news
    }

    /// Checks the engine of a notice.
    fn apply(&self, notice: &LossNotice) {
        let is_current = {
            let fleet = self.context.fleet().borrow();
            let record = fleet.record(&notice.engine);
            record.is_some_and(|record| {
                notice.incarnation == Some(record.started_at_ms) && fleet.is_engine(record)
            })
        };
        if !is_current {
            self.count(notice, "ignored");
            return;
        }
        if self
            .context
            .losses()
            .is_lost(&notice.engine, notice.incarnation)
        {
            return;
        }
        let is_usable = self.context.fleet().borrow().is_usable(&notice.engine);
        if notice.is_inferred {
            self.apply_suspicion(notice);
        } else if notice.evidence.is_certain() {
            check_engine(&self.context, &notice.engine, CheckCause::Notice);
        } else if is_usable {
            check_engine(&self.context, &notice.engine, CheckCause::Suspicion);
        }
    }

    /// Connects to the other engines of this domain if this instance is its first hub.
    fn start_sweep(&self, notices: &[LossNotice]) {
        let own = &self.context.settings().instance;
        let Some(notice) = notices.first() else {
            return;
        };
        let is_hub = self
            .hubs
            .hub_of(&own.failure_domain)
            .is_some_and(|hub| hub.id == own.id);
        if !is_hub || !self.sweeps.try_start(self.context.now()) {
            return;
        }
        let engines = {
            let fleet = self.context.fleet().borrow();
            swept_engines(&fleet, &own.failure_domain, &notice.engine)
        };
        actix_rt::spawn(sweep_engines(self.context.clone(), engines));
    }

    fn count(&self, notice: &LossNotice, direction: &str) {
        let evidence = notice.evidence.to_string();
        let counter = &self.context.metrics().loss_notices;
        counter.with_label_values(&[&*evidence, direction]).inc();
    }

    async fn answer_watch(&self, request: &WatchRequest) -> WatchReply {
        let board = self.context.losses();
        let silences = self.context.silences().board();
        if let Some(observer) = &request.observer {
            let now = self.context.now();
            silences.hub().borrow_mut().record_member(observer, now);
        }
        let mut arrivals = board.subscribe_arrivals();
        let mut asks = silences.subscribe_asks();
        let until = actix_rt::time::sleep(WATCH_HOLD_TIME);
        tokio::pin!(until);
        let mut is_held = true;
        loop {
            let now = self.context.now();
            let (notices, sequence) = board.notices().borrow_mut().since(request.seen, now);
            let last_ask = *asks.borrow_and_update();
            let asked_ms = self
                .asked_ms()
                .filter(|_| last_ask != request.asks_seen && request.observer.is_some());
            if !notices.is_empty() || asked_ms.is_some() || !is_held {
                return WatchReply {
                    sequence,
                    notices,
                    asks: last_ask,
                    asked_ms,
                };
            }
            tokio::select! {
                // The senders live as long as the context.
                _changed = arrivals.changed() => {}
                _changed = asks.changed() => {}
                () = &mut until => is_held = false,
            }
        }
    }
}

impl<Time, Dialect> PeerHandler for LossExchange<Time, Dialect>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    const METHODS: &'static [&'static str] = &[NOTICE_METHOD, WATCH_METHOD, SILENCE_METHOD];

    async fn handle(&self, method: &'static str, body: Box<str>) -> Result<String, PeerError> {
        let refuse = |error: serde_json::Error| PeerError::refused(method, error.to_string());
        if method == WATCH_METHOD {
            let request = serde_json::from_str(&body).map_err(refuse)?;
            let reply = self.answer_watch(&request).await;
            return serde_json::to_string(&reply).map_err(refuse);
        }
        if method == SILENCE_METHOD {
            let message = serde_json::from_str(&body).map_err(refuse)?;
            return serde_json::to_string(&self.receive_silences(&message)).map_err(refuse);
        }
        let message: NoticeMessage = serde_json::from_str(&body).map_err(refuse)?;
        let news = self.receive(message.notices);
        if message.is_relayed {
            self.start_sweep(&news);
        } else if !news.is_empty() {
            self.queue_relay(&news);
        }
        serde_json::to_string(&NoticeReply::default()).map_err(refuse)
    }
}
