//! Evidence on silent streams of graded services, and the engines that it makes suspect.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use dandeliondeal_balance::{SilenceInference, StreamKey, Suspicion};
use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::{Clock, EndpointId, ServiceId};
use tokio::sync::oneshot;

use crate::move_order::{MoveNeed, MoveQueue};
use crate::relay_context::RelayContext;
use crate::silence_board::SilenceBoard;

/// Time for which suspicions are reused; bounds their cost when many streams are silent.
const SUSPICION_REUSE_TIME: Duration = Duration::from_millis(5);

/// Time between two measurements of the timer.
const TIMER_INTERVAL: Duration = Duration::from_millis(50);

/// Evidence on the engines of one service.
#[derive(Debug, Default)]
struct ServiceSilence {
    inference: SilenceInference,
    suspicions: Vec<Suspicion>,
    updated_at: Option<Instant>,
}

/// Evidence on silent streams by graded service, and the moves that it leads to.
#[derive(Debug, Default)]
pub struct SilenceWatch {
    services: RefCell<HashMap<ServiceId, ServiceSilence>>,
    next_key: Cell<StreamKey>,
    moves: RefCell<MoveQueue<oneshot::Sender<()>>>,
    board: SilenceBoard,
}

impl SilenceWatch {
    /// Returns the state of the exchange with other instances.
    pub(crate) fn board(&self) -> &SilenceBoard {
        &self.board
    }

    /// Returns the engines of a service that this instance or a hub suspects now.
    pub fn suspected_engines(&self, service: &str, now: Instant) -> Vec<EndpointId> {
        let suspicions = self.suspicions(service, now).into_iter();
        let mut engines: Vec<EndpointId> = suspicions.map(|suspicion| suspicion.engine).collect();
        if let Some(silence) = self.services.borrow().get(service) {
            engines.extend(silence.inference.told_suspects(now).cloned());
        }
        engines
    }

    /// Calls `call` for the evidence on each service.
    pub(crate) fn for_each<Call>(&self, mut call: Call)
    where
        Call: FnMut(&ServiceId, &mut SilenceInference),
    {
        for (service, silence) in self.services.borrow_mut().iter_mut() {
            call(service, &mut silence.inference);
        }
    }

    /// Records by how much a timer of this instance was late.
    pub fn record_timer(&self, lateness: Duration, now: Instant) {
        for silence in self.services.borrow_mut().values_mut() {
            silence.inference.record_timer(lateness, now);
        }
    }

    /// Records that an engine answered a check.
    pub fn record_alive(&self, engine: &EndpointId, now: Instant) {
        for silence in self.services.borrow_mut().values_mut() {
            silence.inference.record_alive(engine, now);
            silence.updated_at = None;
        }
    }

    /// Returns the engines of a service that are suspected now.
    pub fn suspicions(&self, service: &str, now: Instant) -> Vec<Suspicion> {
        let mut services = self.services.borrow_mut();
        let Some(silence) = services.get_mut(service) else {
            return Vec::new();
        };
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SUSPICION_REUSE_TIME;
        if !silence.updated_at.is_some_and(is_recent) {
            silence.suspicions = silence.inference.suspects(now);
            silence.updated_at = Some(now);
        }
        silence.suspicions.clone()
    }

    /// Calls `call` for the evidence on one service.
    pub(crate) fn with_inference<Call, Output>(&self, service: &ServiceId, call: Call) -> Output
    where
        Call: FnOnce(&mut SilenceInference) -> Output,
    {
        let mut services = self.services.borrow_mut();
        if let Some(silence) = services.get_mut(service) {
            return call(&mut silence.inference);
        }
        let silence = services.entry(ServiceId::clone(service)).or_default();
        call(&mut silence.inference)
    }
}

/// Returns whether a service is graded in the configuration in force.
pub fn is_graded<Time, Dialect>(context: &RelayContext<Time, Dialect>, service: &str) -> bool
where
    Time: Clock,
{
    context.admission().is_graded(service)
}

/// Measures by how much a timer is late, so that an instance that was paused accuses no engine.
pub async fn watch_timer<Time, Dialect>(context: RelayContext<Time, Dialect>)
where
    Time: Clock,
{
    loop {
        let due_at = context.now() + TIMER_INTERVAL;
        actix_rt::time::sleep(TIMER_INTERVAL).await;
        let now = context.now();
        let lateness = now.saturating_duration_since(due_at);
        context.silences().record_timer(lateness, now);
    }
}

/// Waits until it is the turn of a move; moves that are due within a few milliseconds go in order of
/// need.
pub async fn wait_for_move<Time, Dialect>(context: &RelayContext<Time, Dialect>, need: MoveNeed)
where
    Time: Clock,
{
    let (ticket, turn) = oneshot::channel();
    let moves = &context.silences().moves;
    let now = context.now();
    let closes_at = moves.borrow_mut().add(need, ticket, now);
    let gathering = actix_rt::time::sleep(closes_at.saturating_duration_since(now));
    let mut turn = std::pin::pin!(turn);
    tokio::select! {
        // The sender is dropped only with the queue.
        _ = &mut turn => return,
        () = gathering => {}
    }
    let released = moves.borrow_mut().release(context.now().max(closes_at));
    for ticket in released {
        // A stream that has gone on meanwhile no longer waits.
        let _gone_on = ticket.send(());
    }
    let _sender_dropped = turn.await;
}

/// Evidence of one stream of a graded service; withdrawn when dropped.
#[derive(Debug)]
pub struct StreamSilence<Time, Dialect>
where
    Time: Clock,
{
    context: RelayContext<Time, Dialect>,
    service: ServiceId,
    key: StreamKey,
    engines: Vec<EndpointId>,
    delivered_at: Cell<Option<Instant>>,
}

impl<Time, Dialect> StreamSilence<Time, Dialect>
where
    Time: Clock,
{
    /// Starts to collect the evidence of a stream; `None` if its service is not graded.
    pub fn start(
        context: &RelayContext<Time, Dialect>,
        service: &ServiceId,
        chain: &EngineChain,
    ) -> Option<Self> {
        if !is_graded(context, service) {
            return None;
        }
        let next_key = &context.silences().next_key;
        let key = next_key.get();
        next_key.set(key + 1);
        Some(Self {
            context: context.clone(),
            service: ServiceId::clone(service),
            key,
            engines: engine_ids(chain),
            delivered_at: Cell::new(None),
        })
    }

    /// Records that the chain delivered an event.
    pub fn record_delivery(&self) {
        let now = self.context.now();
        self.delivered_at.set(Some(now));
        let watch = self.context.silences();
        watch.with_inference(&self.service, |inference| {
            inference.record_delivery(self.key, &self.engines, now);
        });
    }

    /// Records that the stream continues on another chain.
    pub fn set_chain(&mut self, chain: &EngineChain) {
        self.engines = engine_ids(chain);
        self.delivered_at.set(None);
        self.remove();
    }

    /// Records the stream's silence, and returns the suspected engine of its chain, if any.
    pub fn find_suspect(&self) -> Option<Suspicion> {
        let since = self.delivered_at.get()?;
        let now = self.context.now();
        let watch = self.context.silences();
        let mut is_silent = false;
        watch.with_inference(&self.service, |inference| {
            inference.record_silent(self.key, &self.engines, since, now);
            is_silent = now.saturating_duration_since(since) >= inference.silence_limit(self.key);
        });
        if !is_silent {
            return None;
        }
        watch.board.notify_silence();
        let suspicions = watch.suspicions(&self.service, now).into_iter();
        let mut own = suspicions.filter(|suspicion| self.engines.contains(&suspicion.engine));
        own.next()
    }

    /// Returns the engine of the stream's chain that a hub suspects, if any.
    pub fn find_told(&self) -> Option<EndpointId> {
        self.delivered_at.get()?;
        let now = self.context.now();
        let watch = self.context.silences();
        watch.with_inference(&self.service, |inference| {
            let mut told = inference.told_suspects(now);
            let engine = told.find(|engine| self.engines.contains(engine));
            engine.cloned()
        })
    }

    /// Returns the time without an event after which the stream leaves an engine that a hub suspects.
    pub fn told_limit(&self) -> Duration {
        let watch = self.context.silences();
        watch.with_inference(&self.service, |inference| inference.told_limit(self.key))
    }

    fn remove(&self) {
        let watch = self.context.silences();
        watch.with_inference(&self.service, |inference| inference.remove_stream(self.key));
    }
}

impl<Time, Dialect> Drop for StreamSilence<Time, Dialect>
where
    Time: Clock,
{
    fn drop(&mut self) {
        self.remove();
    }
}

fn engine_ids(chain: &EngineChain) -> Vec<EndpointId> {
    let hops = chain.hops.iter();
    hops.map(|hop| EndpointId::clone(&hop.id)).collect()
}
