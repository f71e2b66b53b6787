//! One run of a stream on a chain of engines.

use std::rc::Rc;
use std::time::Instant;

use actix_http::header::HeaderMap;
use dandeliondeal_http::{ConnectionError, EndpointConnection, OutboundRequest};
use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::{Clock, EndpointId, RequestId};
use derive_more::Display;
use tokio::task::JoinHandle;

use crate::chain_watch::{SilenceCause, watch_chain};
use crate::dialect::{FleetDialect, RequestDialect};
use crate::load_tracker::LoadReservation;
use crate::relay_context::RelayContext;
use crate::run_source::{RunSource, SourceStep};

/// How far the response of a run has come.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum ResponseStage {
    /// The engine has not begun a response.
    #[display("waiting")]
    Waiting,
    /// The engine has sent the head of the response, but no event.
    #[display("head")]
    Head,
    /// The engine has sent events.
    #[display("events")]
    Events,
}

/// Progress of a run.
#[derive(Debug)]
pub(crate) enum RunStep {
    /// The response went on.
    Response(SourceStep),
    /// The chain delivers no events.
    Silent(SilenceCause),
    /// The order to continue on another chain has ended; without a chain, it was refused.
    MoveEnded(SilenceCause, Option<EngineChain>),
}

/// Order to the first engine to continue a silent run on another chain.
#[derive(Debug)]
pub(crate) struct MoveOrder {
    /// Why the run is moved.
    pub(crate) cause: SilenceCause,
    /// Returns the new chain if the engine accepts it.
    pub(crate) reply: JoinHandle<Option<EngineChain>>,
}

/// One run of a stream on a chain of engines; dropping it cancels the run.
#[derive(Debug)]
pub(crate) struct StreamRun<Time, Dialect>
where
    Time: Clock,
{
    context: RelayContext<Time, Dialect>,
    request: RequestId,
    source: RunSource<Time, Dialect>,
    chain: Rc<EngineChain>,
    reservation: LoadReservation,
    /// Time from which the silence of the chain is measured.
    silent_since: Instant,
    move_order: Option<MoveOrder>,
    /// Whether the run could not be moved since its last event.
    is_move_refused: bool,
}

impl<Time, Dialect> StreamRun<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Starts a run that continues after the event `last_event`.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the request cannot be encoded; nothing was sent.
    pub(crate) fn start(
        context: &RelayContext<Time, Dialect>,
        connection: EndpointConnection,
        chain: EngineChain,
        reservation: LoadReservation,
        request: (&OutboundRequest, &RequestId),
        last_event: Option<u64>,
    ) -> Result<Self, ConnectionError> {
        let (outbound, id) = request;
        let source = RunSource::start(context, connection, &chain, (outbound, id), last_event)?;
        Ok(Self {
            context: context.clone(),
            request: RequestId::clone(id),
            source,
            chain: Rc::new(chain),
            reservation,
            silent_since: context.now(),
            move_order: None,
            is_move_refused: false,
        })
    }

    /// Waits for the next step. Cancel safe: a later call continues.
    pub(crate) async fn next_step(&mut self) -> RunStep {
        let chain = Rc::clone(&self.chain);
        let watch = watch_chain(&self.context, &chain, &self.request, self.silent_since);
        let is_watched = self.move_order.is_none();
        let move_order = &mut self.move_order;
        let moved = async {
            match move_order {
                // The task fails only if it panics, which leaves the run where it was.
                Some(order) => (&mut order.reply).await.ok().flatten(),
                None => std::future::pending().await,
            }
        };
        let moved = tokio::select! {
            biased;
            step = self.source.next_step() => return RunStep::Response(step),
            cause = watch, if is_watched => return RunStep::Silent(cause),
            chain = moved => chain,
        };
        match self.move_order.take() {
            Some(order) => RunStep::MoveEnded(order.cause, moved),
            None => RunStep::Response(SourceStep::Started),
        }
    }
}

impl<Time, Dialect> StreamRun<Time, Dialect>
where
    Time: Clock,
{
    /// Returns the chain that runs the request.
    pub(crate) fn chain(&self) -> &EngineChain {
        &self.chain
    }

    /// Returns the engine that received the request.
    pub(crate) fn first_engine(&self) -> &EndpointId {
        self.source.first_engine()
    }

    /// Returns whether the run has delivered an event.
    pub(crate) fn has_events(&self) -> bool {
        self.source.has_events()
    }

    /// Returns how far the response has come.
    pub(crate) fn stage(&self) -> ResponseStage {
        match (self.source.has_events(), self.source.has_head()) {
            (true, _) => ResponseStage::Events,
            (false, true) => ResponseStage::Head,
            (false, false) => ResponseStage::Waiting,
        }
    }

    /// Returns the id of the last event that was received.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.source.last_event()
    }

    /// Returns the headers of the response that are passed to the caller.
    pub(crate) fn headers(&self) -> &HeaderMap {
        self.source.headers()
    }

    /// Returns the connection to the first engine.
    pub(crate) fn connection(&mut self) -> &mut EndpointConnection {
        &mut self.source.connection
    }

    /// Ends the run and returns its connection.
    pub(crate) fn into_connection(self) -> EndpointConnection {
        self.source.connection
    }

    /// Measures the silence of the chain from `since`.
    pub(crate) fn set_silent_since(&mut self, since: Instant) {
        self.silent_since = since;
    }

    /// Records that the chain has delivered events.
    pub(crate) fn record_events(&mut self) {
        self.silent_since = self.context.now();
        self.is_move_refused = false;
    }

    /// Returns whether the run may be moved to another chain now.
    pub(crate) fn may_move(&self) -> bool {
        !self.is_move_refused && self.move_order.is_none()
    }

    /// Waits for the reply to an order to continue on another chain.
    pub(crate) fn set_move_order(&mut self, order: MoveOrder) {
        self.move_order = Some(order);
    }

    /// Records that the run cannot be moved while its chain is silent.
    pub(crate) fn refuse_moves(&mut self) {
        self.is_move_refused = true;
    }

    /// Records that the run continues on another chain with the same first engine.
    pub(crate) fn set_chain(&mut self, chain: EngineChain, reservation: LoadReservation) {
        self.chain = Rc::new(chain);
        self.reservation = reservation;
        self.silent_since = self.context.now();
    }

    /// Returns the engines and layers of the chain, for logs.
    pub(crate) fn describe_chain(&self) -> String {
        let hops = self.chain.hops.iter();
        let names: Vec<String> = hops
            .map(|hop| format!("{}:{}", hop.id, hop.range))
            .collect();
        names.join(",")
    }
}
