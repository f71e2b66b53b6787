//! Losses of engines that this instance knows, for its own streams and for other instances.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use dandeliondeal_balance::Suspicion;
use dandeliondeal_http::ConnectionError;
use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::{Clock, EndpointId, InstanceId};
use tokio::sync::{Notify, watch};

use crate::dialect::FleetDialect;
use crate::endpoint_exchange::{ConnectionChoice, open_connection};
use crate::loss_notice::{LossEvidence, LossNotice, NOTICE_INTERVAL, NOTICE_LIFE, NoticeTable};
use crate::relay_context::RelayContext;

/// Maximum time to connect to an engine that is said to be lost.
const CONNECT_LIMIT: Duration = Duration::from_millis(100);
/// Time for which events that were under way still arrive after the loss of an engine.
const EVENT_TRANSIT: Duration = Duration::from_millis(50);
/// Maximum number of notices that wait to be sent.
const MAX_QUEUED: usize = 1_024;

/// Losses of engines; part of the state that all requests share.
#[derive(Debug)]
pub struct LossBoard {
    is_shared: Cell<bool>,
    notices: RefCell<NoticeTable>,
    /// Engines whose process has certainly ended, with its incarnation and the time of the finding.
    lost: RefCell<HashMap<EndpointId, (Option<u64>, Instant)>>,
    checked: RefCell<HashMap<EndpointId, Instant>>,
    /// Observations of this instance that its hub has not been told.
    outgoing: RefCell<Vec<LossNotice>>,
    outgoing_added: Notify,
    /// Number of certain losses so far.
    losses: watch::Sender<u64>,
    /// Sequence number of the latest notice.
    arrivals: watch::Sender<u64>,
}

impl Default for LossBoard {
    fn default() -> Self {
        Self {
            is_shared: Cell::new(false),
            notices: RefCell::default(),
            lost: RefCell::default(),
            checked: RefCell::default(),
            outgoing: RefCell::default(),
            outgoing_added: Notify::new(),
            losses: watch::Sender::new(0),
            arrivals: watch::Sender::new(0),
        }
    }
}

impl LossBoard {
    /// Returns whether losses are shared under the configuration in force.
    pub(crate) fn is_shared(&self) -> bool {
        self.is_shared.get()
    }

    /// Sets whether losses are shared.
    pub(crate) fn set_shared(&self, is_shared: bool) {
        self.is_shared.set(is_shared);
    }

    /// Returns the table of recent notices.
    pub(crate) fn notices(&self) -> &RefCell<NoticeTable> {
        &self.notices
    }

    /// Adds a notice; returns whether it is news.
    pub(crate) fn add(&self, notice: LossNotice, now: Instant) -> bool {
        let (is_news, sequence) = {
            let mut notices = self.notices.borrow_mut();
            (notices.add(notice, now), notices.last_sequence())
        };
        if is_news {
            self.arrivals.send_replace(sequence);
        }
        is_news
    }

    /// Adds a notice of this instance, which is sent to its hub if it is news.
    pub fn publish(&self, notice: LossNotice, now: Instant) -> bool {
        let is_news = self.is_shared() && self.add(notice.clone(), now);
        if is_news && self.outgoing.borrow().len() < MAX_QUEUED {
            self.outgoing.borrow_mut().push(notice);
            self.outgoing_added.notify_one();
        }
        is_news
    }

    /// Waits for notices of this instance, and returns them.
    pub(crate) async fn take_outgoing(&self, limit: usize) -> Vec<LossNotice> {
        loop {
            {
                let mut outgoing = self.outgoing.borrow_mut();
                if !outgoing.is_empty() {
                    let count = limit.min(outgoing.len());
                    return outgoing.drain(..count).collect();
                }
            }
            self.outgoing_added.notified().await;
        }
    }

    /// Wakes the streams, so that they look at the suspected engines of their chains.
    pub(crate) fn wake_streams(&self) {
        self.losses.send_modify(|count| *count += 1);
    }

    /// Subscribes to the sequence number of the latest notice.
    pub(crate) fn subscribe_arrivals(&self) -> watch::Receiver<u64> {
        self.arrivals.subscribe()
    }

    /// Subscribes to the number of certain losses.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.losses.subscribe()
    }

    /// Returns the first engine of a chain that was certainly lost since the chain's last event.
    pub fn first_lost(&self, chain: &EngineChain, last_activity: Instant) -> Option<EndpointId> {
        let lost = self.lost.borrow();
        let is_lost = |engine: &EndpointId| {
            let found = lost.get(engine);
            found.is_some_and(|(_, at)| *at + EVENT_TRANSIT >= last_activity)
        };
        let mut hops = chain.hops.iter().filter(|_| !lost.is_empty());
        let hop = hops.find(|hop| is_lost(&hop.id));
        hop.map(|hop| EndpointId::clone(&hop.id))
    }

    /// Records the end of an engine's process; returns `false` if it was known.
    fn add_lost(&self, engine: &EndpointId, incarnation: Option<u64>, now: Instant) -> bool {
        let mut lost = self.lost.borrow_mut();
        lost.retain(|_, (_, at)| now.saturating_duration_since(*at) < NOTICE_LIFE);
        let known = lost.get(engine).map(|(incarnation, _)| *incarnation);
        if known == Some(incarnation) {
            return false;
        }
        lost.insert(EndpointId::clone(engine), (incarnation, now));
        drop(lost);
        self.losses.send_modify(|count| *count += 1);
        true
    }

    /// Records that an engine was found alive.
    pub(crate) fn remove_lost(&self, engine: &str) {
        self.lost.borrow_mut().remove(engine);
    }

    /// Returns whether the end of this process is known.
    pub(crate) fn is_lost(&self, engine: &str, incarnation: Option<u64>) -> bool {
        let lost = self.lost.borrow();
        lost.get(engine)
            .is_some_and(|(known, _)| *known == incarnation)
    }

    /// Returns whether an engine may be checked for a notice now, at most once a second.
    pub(crate) fn try_check(&self, engine: &EndpointId, now: Instant) -> bool {
        let mut checked = self.checked.borrow_mut();
        checked.retain(|_, at| now.saturating_duration_since(*at) < NOTICE_INTERVAL);
        let may_check = !checked.contains_key(engine);
        if may_check {
            checked.insert(EndpointId::clone(engine), now);
        }
        may_check
    }
}

/// Records the loss of an engine, whose failure this instance has observed.
///
/// Tells other instances unless one of them has told this one, and wakes the streams that run through
/// the engine if its process has certainly ended. Does nothing unless losses are shared.
pub fn record_loss<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    evidence: LossEvidence,
) where
    Time: Clock,
{
    if !context.losses().is_shared() {
        return;
    }
    if let Some(incarnation) = observed_incarnation(context, engine) {
        publish_loss(context, engine, Some(incarnation), evidence);
    }
}

/// Returns the incarnation of an engine whose loss this instance may state.
///
/// A process that drains was stopped, and behind lost links all engines look lost.
fn observed_incarnation<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
) -> Option<u64>
where
    Time: Clock,
{
    let fleet = context.fleet().borrow();
    let record = fleet.record(engine).filter(|record| !record.is_draining)?;
    let is_observed = fleet.is_engine(record) && !context.links().is_lost(&record.service);
    is_observed.then_some(record.started_at_ms)
}

/// Publishes a suspicion that this hub infers; returns the notice if it is news.
pub(crate) fn publish_suspicion<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    suspicion: &Suspicion,
) -> Option<LossNotice>
where
    Time: Clock,
{
    let engine = &suspicion.engine;
    let notice = LossNotice {
        engine: EndpointId::clone(engine),
        incarnation: Some(observed_incarnation(context, engine)?),
        evidence: LossEvidence::Silent,
        observer: InstanceId::clone(&context.settings().instance.id),
        age_ms: 0,
        is_inferred: true,
    };
    let is_sent = context.losses().publish(notice.clone(), context.now());
    if !is_sent {
        return None;
    }
    tracing::info!(
        %engine,
        silent_streams = suspicion.silent_streams,
        sound_probability = suspicion.sound_probability,
        "engine suspected; streams of several instances are silent"
    );
    let counter = &context.metrics().loss_notices;
    counter.with_label_values(&["silent", "published"]).inc();
    Some(notice)
}

/// Records the end of the process of `engine` with this incarnation.
pub(crate) fn publish_loss<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    incarnation: Option<u64>,
    evidence: LossEvidence,
) where
    Time: Clock,
{
    let now = context.now();
    let notice = LossNotice {
        engine: EndpointId::clone(engine),
        incarnation,
        evidence,
        observer: InstanceId::clone(&context.settings().instance.id),
        age_ms: 0,
        is_inferred: false,
    };
    let board = context.losses();
    let is_sent = board.publish(notice, now);
    let is_first = evidence.is_certain() && board.add_lost(engine, incarnation, now);
    if is_first || (is_sent && !evidence.is_certain()) {
        tracing::info!(%engine, incarnation, %evidence, is_sent, "engine lost");
    }
    if is_sent {
        let counter = &context.metrics().loss_notices;
        let evidence = evidence.to_string();
        counter.with_label_values(&[&*evidence, "published"]).inc();
    }
}

/// What a new connection to an engine shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionCheck {
    /// The connection was refused: the process of the engine has ended.
    Lost,
    /// The connection was accepted, or failed for another reason.
    Accepted,
    /// There was no answer in time, or the engine is not registered.
    Unanswered,
}

/// Finds out by a new connection whether the process of an engine has ended, and records the loss.
///
/// `evidence` is the one if the connection is refused.
pub(crate) async fn check_connection<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    evidence: LossEvidence,
) -> ConnectionCheck
where
    Time: Clock,
{
    let address = {
        let fleet = context.fleet().borrow();
        fleet.record(engine).map(|record| record.address)
    };
    let Some(address) = address else {
        return ConnectionCheck::Unanswered;
    };
    let started = context.now();
    let choice = ConnectionChoice::New;
    let opened = open_connection(context, engine, address, choice, CONNECT_LIMIT).await;
    let now = context.now();
    if opened.as_ref().is_err_and(ConnectionError::is_refused) {
        context.mark_failed(engine);
        context.engine_checks().add_suspect(engine, now);
        record_loss(context, engine, evidence);
        return ConnectionCheck::Lost;
    }
    let is_late = now.saturating_duration_since(started) >= CONNECT_LIMIT;
    if opened.is_err() && is_late {
        ConnectionCheck::Unanswered
    } else {
        ConnectionCheck::Accepted
    }
}

/// Finds out by a new connection whether the process of an engine that failed has ended, and records
/// the loss.
pub(crate) async fn confirm_loss<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    evidence: LossEvidence,
) -> bool
where
    Time: Clock,
{
    check_connection(context, engine, evidence).await == ConnectionCheck::Lost
}

/// Starts [`confirm_loss`] for an engine that broke a connection, at most once a second.
pub(crate) fn check_broken<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
) where
    Time: Clock,
    Dialect: FleetDialect,
{
    let board = context.losses();
    if !board.is_shared() || !board.try_check(engine, context.now()) {
        return;
    }
    let context = context.clone();
    let engine = EndpointId::clone(engine);
    actix_rt::spawn(async move {
        confirm_loss(&context, &engine, LossEvidence::Reset).await;
    });
}
