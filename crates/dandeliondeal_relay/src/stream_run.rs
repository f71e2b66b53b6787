//! One run of a stream on a chain of engines.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use bytes::Bytes;
use dandeliondeal_http::{ConnectionError, EndpointConnection, OutboundRequest};
use dandeliondeal_layout::EngineChain;
use dandeliondeal_quarantine::RunStage;
use dandeliondeal_route::RouteMatch;
use dandeliondeal_types::{Clock, EndpointId, RequestId, ServiceId};
use tokio::task::JoinHandle;

use crate::chain_watch::{SilenceCause, watch_chain};
use crate::dialect::{FleetDialect, RequestDialect};
use crate::held_run::HeldRun;
use crate::load_tracker::LoadReservation;
use crate::move_order::MoveNeed;
use crate::relay_context::RelayContext;
use crate::request_intake::RelayRequest;
use crate::run_source::{RunSource, SourceStep};
use crate::silence_watch::{StreamSilence, wait_for_move};

/// Progress of a run.
#[derive(Debug)]
pub(crate) enum RunStep {
    /// The response went on.
    Response(SourceStep),
    /// The chain delivers no events.
    Silent(SilenceCause),
    /// The order to continue on another chain has ended.
    MoveEnded(SilenceCause, MoveResult),
}

/// Result of an order to continue on another chain.
#[derive(Debug)]
pub(crate) enum MoveResult {
    /// The run continues on this chain.
    Moved(EngineChain),
    /// An engine of the chain has no room or is not there; it is named if it is known.
    Conflict(Option<EndpointId>),
    /// The run stays on its chain.
    Refused,
}

/// Order to the first engine to continue a silent run on another chain.
#[derive(Debug)]
pub(crate) struct MoveOrder {
    /// Why the run is moved.
    pub(crate) cause: SilenceCause,
    /// Returns the result of the order.
    pub(crate) reply: JoinHandle<MoveResult>,
}

/// One run of a stream on a chain of engines; dropping it cancels the run.
#[derive(Debug)]
pub(crate) struct StreamRun<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect,
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
    /// Whether an order to move the run met a conflict since its last event.
    has_conflict: bool,
    /// Evidence on the silence of the chain, and the urgency and the pause objective of the request,
    /// if the service is graded.
    grade: Option<RunGrade<Time, Dialect>>,
    /// Registration with the processes of the chain.
    held: HeldRun<Time, Dialect>,
}

/// What distinguishes a run of a graded service.
#[derive(Debug)]
struct RunGrade<Time, Dialect>
where
    Time: Clock,
{
    evidence: StreamSilence<Time, Dialect>,
    urgency: u8,
    pause_objective: Option<Duration>,
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
        (request, outbound): (&RelayRequest, &OutboundRequest),
        last_event: Option<u64>,
    ) -> Result<Self, ConnectionError> {
        let id = &request.facts.request;
        let open_since = connection.opened_at();
        let source = RunSource::start(context, connection, &chain, (outbound, id), last_event)?;
        let engines = chain.hops.iter().map(|hop| &hop.id);
        let held = HeldRun::start(context, request, open_since, engines);
        Ok(Self {
            context: context.clone(),
            request: RequestId::clone(id),
            source,
            chain: Rc::new(chain),
            reservation,
            silent_since: context.now(),
            move_order: None,
            is_move_refused: false,
            has_conflict: false,
            grade: None,
            held,
        })
    }

    /// Collects evidence on silences of the run if the service of the request is graded.
    pub(crate) fn set_grade(&mut self, route_match: &RouteMatch, service: &ServiceId) {
        let evidence = StreamSilence::start(&self.context, service, &self.chain);
        self.grade = evidence.map(|evidence| RunGrade {
            evidence,
            urgency: self.context.admission().urgency(service, route_match),
            pause_objective: route_match.route.pause_objective,
        });
    }

    /// Waits for the next step. Cancel safe: a later call continues.
    pub(crate) async fn next_step(&mut self) -> RunStep {
        let chain = Rc::clone(&self.chain);
        let grade = self.grade.as_ref();
        let watch = async {
            let evidence = grade.map(|grade| &grade.evidence);
            let (context, since) = (&self.context, self.silent_since);
            let cause = watch_chain(context, &chain, &self.request, since, evidence).await;
            if let Some(grade) = grade {
                let silence = context.now().saturating_duration_since(since);
                let need = MoveNeed {
                    urgency: grade.urgency,
                    time_left: grade
                        .pause_objective
                        .unwrap_or(Duration::MAX)
                        .saturating_sub(silence),
                };
                wait_for_move(context, need).await;
            }
            cause
        };
        let is_watched = self.move_order.is_none();
        let move_order = &mut self.move_order;
        let moved = async {
            match move_order {
                // The task fails only if it panics, which leaves the run where it was.
                Some(order) => (&mut order.reply).await.unwrap_or(MoveResult::Refused),
                None => std::future::pending().await,
            }
        };
        let moved = tokio::select! {
            biased;
            step = self.source.next_step() => {
                self.held.set_stage(self.stage());
                return RunStep::Response(step);
            }
            cause = watch, if is_watched => return RunStep::Silent(cause),
            result = moved => result,
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
    Dialect: RequestDialect,
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
    pub(crate) fn stage(&self) -> RunStage {
        match (self.source.has_events(), self.source.has_head()) {
            (true, _) => RunStage::Events,
            (false, true) => RunStage::Head,
            (false, false) => RunStage::Waiting,
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

    /// Reads the body of a failure response, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the response broke off or its headers were not received.
    pub(crate) async fn read_body(&mut self, limit: usize) -> Result<Bytes, ConnectionError> {
        match self.source.connection() {
            Some(connection) => {
                let memory = self.context.body_memory();
                connection.read_body_within(limit, memory).await
            }
            None => Err(ConnectionError::after_write("no response was received")),
        }
    }

    /// Records that the first engine answered.
    pub(crate) fn record_contact(&self) {
        self.held.record_contact();
    }

    /// Records that the answer is complete, or that the request was not run.
    pub(crate) fn settle(&self) {
        self.held.settle();
    }

    /// Ends the run; returns its connection if the headers of the response were received.
    pub(crate) fn into_connection(self) -> Option<EndpointConnection> {
        self.source.into_connection()
    }

    /// Measures the silence of the chain from `since`.
    pub(crate) fn set_silent_since(&mut self, since: Instant) {
        self.silent_since = since;
    }

    /// Records that the chain has delivered events.
    pub(crate) fn record_events(&mut self) {
        self.silent_since = self.context.now();
        self.is_move_refused = false;
        self.has_conflict = false;
        if let Some(grade) = &self.grade {
            grade.evidence.record_delivery();
        }
    }

    /// Returns whether the run may be moved to another chain now.
    pub(crate) fn may_move(&self) -> bool {
        !self.is_move_refused && self.move_order.is_none()
    }

    /// Returns whether the service of the request is graded.
    pub(crate) fn is_graded(&self) -> bool {
        self.grade.is_some()
    }

    /// Records a conflict; returns whether it is the first one since the last event.
    pub(crate) fn record_conflict(&mut self) -> bool {
        !std::mem::replace(&mut self.has_conflict, true)
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
        if let Some(grade) = &mut self.grade {
            grade.evidence.set_chain(&chain);
        }
        self.held.record_move(chain.hops.iter().map(|hop| &hop.id));
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
