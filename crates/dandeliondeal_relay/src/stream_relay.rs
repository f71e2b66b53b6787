//! Relays an event stream from a chain of engines, and moves it to another chain after a failure.
//!
//! Another run is started beside a silent one. Whichever run delivers the next event first continues
//! the stream, and the others are cancelled. A silent run is never given up for one that may still
//! fail.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use dandeliondeal_http::{ConnectionError, EndpointConnection};
use dandeliondeal_layout::EngineProfile;
use dandeliondeal_quarantine::RequestStanding;
use dandeliondeal_types::{Clock, EndpointId, ServiceId};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::chain_selection::ChainDemand;
use crate::dialect::{FleetDialect, RequestDialect};
use crate::handover_stream::HandoverStream;
use crate::link_monitor::{LinkUse, wait_for_lost_links};
use crate::loss_board::check_broken;
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_context::RelayContext;
use crate::relay_lifecycle::LifecycleEvent;
use crate::request_intake::RelayRequest;
use crate::run_source::SourceStep;
use crate::stream_admission::StreamAdmission;
use crate::stream_handover::LocalEnd;
use crate::stream_replacement::PendingConnection;
use crate::stream_run::{RunStep, StreamRun};
use crate::stream_standing::StreamStanding;

/// End of a stream before its last event.
#[derive(Debug)]
pub enum StreamEnd {
    /// The request ends with an error of this instance.
    Refused(RefusalCause),
    /// The engine's failure response is passed to the caller.
    Failure(Response<RelayBody>),
}

/// What a stream waited for.
enum RelayStep {
    /// Step of the run with this index.
    Run(usize, RunStep),
    /// The connection for another run was opened, or could not be.
    Opened(Result<EndpointConnection, ConnectionError>),
}

/// Relayed stream.
#[derive(Debug)]
pub struct StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    pub(crate) context: RelayContext<Time, Dialect>,
    pub(crate) request: RelayRequest,
    pub(crate) profile: Arc<EngineProfile>,
    pub(crate) demand: ChainDemand,
    /// Open runs; the first one delivered the last event, if any did.
    pub(crate) runs: Vec<StreamRun<Time, Dialect>>,
    /// Connection that is opened for another run beside silent ones.
    pub(crate) pending_connection: Option<PendingConnection>,
    /// Headers of the run that delivered the first event.
    pub(crate) response_headers: Option<HeaderMap>,
    /// Engines that this request must not use again.
    pub(crate) excluded: Vec<EndpointId>,
    /// Number of attempts that were sent, including rejected ones.
    pub(crate) attempts: u32,
    /// Number of attempts that were sent, without those that were rejected.
    pub(crate) run_count: u32,
    /// Whether a repeat was charged to the budget for an attempt that is not sent yet.
    pub(crate) holds_repeat: bool,
    /// Time of the last event, or of the start.
    active_at: Instant,
    /// Whether the stream must stay on its runs although the links are lost.
    pub(crate) is_handover_denied: bool,
    pub(crate) link_use: Option<LinkUse<Time, Dialect>>,
    /// Stream of another instance that has replaced the runs.
    pub(crate) handover: Option<HandoverStream>,
    /// Id of the last event that was passed on.
    pub(crate) last_event: Option<u64>,
    pub(crate) standing: StreamStanding,
    pub(crate) admission: StreamAdmission<Time, Dialect>,
}

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Creates the relay of a request; nothing is sent yet.
    pub fn new(
        context: RelayContext<Time, Dialect>,
        request: RelayRequest,
        profile: Arc<EngineProfile>,
    ) -> Self {
        let demand = ChainDemand::new(&request.facts, &profile);
        let last_event = request.facts.last_event;
        Self {
            active_at: context.now(),
            is_handover_denied: request.is_handed_over(),
            link_use: Some(LinkUse::start(&context, &request.service)),
            handover: None,
            context,
            request,
            profile,
            demand,
            runs: Vec::new(),
            pending_connection: None,
            response_headers: None,
            excluded: Vec::new(),
            attempts: 0,
            run_count: 0,
            holds_repeat: false,
            last_event,
            standing: StreamStanding::default(),
            admission: StreamAdmission::default(),
        }
    }

    /// Returns the request.
    pub fn request(&self) -> &RelayRequest {
        &self.request
    }

    /// Returns the expected number of output tokens; `None` if the caller has some of them already.
    pub fn expected_output(&self) -> Option<f64> {
        let is_whole = self.request.facts.last_event.is_none();
        is_whole.then_some(self.demand.output_tokens)
    }

    /// Returns the engines and layers of the leading run's chain, for logs.
    pub fn describe_chain(&self) -> String {
        let leading = self.runs.first();
        leading.map(StreamRun::describe_chain).unwrap_or_default()
    }

    /// Returns the response headers of the run that delivered the first event.
    pub fn response_headers(&self) -> HeaderMap {
        let handover = self.handover.as_ref();
        let headers = self.response_headers.as_ref();
        let headers = headers.or_else(|| handover.and_then(HandoverStream::headers));
        headers.cloned().unwrap_or_default()
    }

    /// Returns the next complete events; `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns [`StreamEnd`] if the stream cannot continue.
    pub async fn next_events(&mut self) -> Result<Option<Bytes>, StreamEnd> {
        loop {
            if let Some(handover) = &mut self.handover {
                return handover.next_events(&self.context, &mut self.request).await;
            }
            match self.next_local_events().await {
                Err(LocalEnd::LinksLost) => self.start_handover(),
                Err(LocalEnd::Ended(end)) => return Err(end),
                Ok(events) => return Ok(events),
            }
        }
    }

    /// Returns the next complete events of the runs of this instance.
    async fn next_local_events(&mut self) -> Result<Option<Bytes>, LocalEnd> {
        let context = self.context.clone();
        let service = ServiceId::clone(&self.request.service);
        loop {
            let time_left = self.time_left()?;
            if self.runs.is_empty() && self.pending_connection.is_none() {
                let run = self.start_run_or_hand_over().await?;
                self.runs.push(run);
            }
            let lost = wait_for_lost_links(&context, &service, self.active_at);
            let may_hand_over = !self.is_handover_denied;
            let step = tokio::select! {
                biased;
                step = actix_rt::time::timeout(time_left, self.next_step()) => step,
                () = lost, if may_hand_over => {
                    if self.acquire_handover() {
                        return Err(LocalEnd::LinksLost);
                    }
                    continue;
                }
            };
            match step {
                Err(_elapsed) => return Err(self.end_timed_out().into()),
                Ok(RelayStep::Opened(opened)) => self.add_run(opened),
                Ok(RelayStep::Run(index, RunStep::Silent(cause))) => {
                    self.handle_silence(index, cause);
                }
                Ok(RelayStep::Run(index, RunStep::MoveEnded(cause, result))) => {
                    self.handle_move(index, cause, result);
                }
                Ok(RelayStep::Run(index, RunStep::Response(step))) => {
                    if let Some(events) = self.handle_response(index, step).await? {
                        return Ok(events);
                    }
                }
            }
        }
    }

    pub(crate) fn time_left(&mut self) -> Result<Duration, StreamEnd> {
        let time_left = self.request.time_left(self.context.now());
        if time_left.is_zero() {
            return Err(self.end_timed_out());
        }
        Ok(time_left)
    }

    /// Ends a request whose time is over.
    pub(crate) fn end_timed_out(&mut self) -> StreamEnd {
        self.refuse(RefusalCause::LateSent)
    }

    pub(crate) fn refuse(&mut self, cause: RefusalCause) -> StreamEnd {
        self.runs.clear();
        self.pending_connection = None;
        match self.request.end_unanswered(cause, None) {
            crate::relay_outcome::RelayOutcome::Refused(cause) => StreamEnd::Refused(cause),
            crate::relay_outcome::RelayOutcome::Answered(response) => StreamEnd::Failure(response),
        }
    }

    /// Waits for the next step of the runs or for a connection that is being opened.
    async fn next_step(&mut self) -> RelayStep {
        let Self {
            runs,
            pending_connection,
            ..
        } = self;
        // An opened connection goes first, so that it is not left open without use.
        if let Some(pending) = pending_connection {
            tokio::select! {
                biased;
                opened = pending.wait() => RelayStep::Opened(opened),
                step = next_run_step(runs) => step,
            }
        } else {
            next_run_step(runs).await
        }
    }

    /// Handles a step of a response; returns the result of [`Self::next_events`] if there is one.
    async fn handle_response(
        &mut self,
        index: usize,
        step: SourceStep,
    ) -> Result<Option<Option<Bytes>>, StreamEnd> {
        match step {
            SourceStep::Started => {}
            SourceStep::Events(events) => {
                self.keep_run(index);
                self.record_events();
                return Ok(Some(Some(events)));
            }
            SourceStep::Complete if self.runs.len() > 1 && !self.runs[index].has_events() => {
                // Another run may have what this one lacks.
                let error = ConnectionError::after_write("the stream ended without an event");
                self.leave_run(index, &error).await?;
            }
            SourceStep::Complete => {
                self.keep_run(index);
                self.finish();
                return Ok(Some(None));
            }
            SourceStep::Rejected(head, facts) => self.handle_rejection(index, &head, &facts)?,
            SourceStep::Failed(head) => self.handle_failure(index, &head).await?,
            SourceStep::Broken(error) => self.leave_run(index, &error).await?,
        }
        Ok(None)
    }

    fn record_events(&mut self) {
        self.begin_response();
        self.active_at = self.context.now();
        let links = self.context.links();
        links.record_traffic(&self.request.service, self.active_at);
        if let Some(run) = self.runs.first_mut() {
            run.record_events();
            self.last_event = run.last_event();
        }
        self.request.progress.record_event(self.last_event);
        self.record_writing();
        self.request.lifecycle.apply(LifecycleEvent::Start);
    }

    /// Keeps the headers of the run that begins the response to the caller.
    fn begin_response(&mut self) {
        if self.response_headers.is_none()
            && let Some(run) = self.runs.first()
        {
            self.response_headers = Some(run.headers().clone());
        }
    }

    fn finish(&mut self) {
        self.begin_response();
        self.record_sound();
        self.request.lifecycle.apply(LifecycleEvent::Complete);
        if let Some(run) = self.runs.pop() {
            run.settle();
            let id = EndpointId::clone(run.first_engine());
            if let Some(connection) = run.into_connection() {
                self.context.pool().borrow_mut().put(&id, connection);
            }
        }
    }

    /// Gives up a run whose connection or response is broken; returns an error if the stream must
    /// not continue on another chain.
    pub(crate) async fn leave_run(
        &mut self,
        index: usize,
        error: &ConnectionError,
    ) -> Result<(), StreamEnd> {
        self.request.lifecycle.mark_may_have_run();
        let run = self.runs.remove(index);
        let chain = run.describe_chain();
        let stage = run.stage();
        if error.is_invalid_answer() {
            self.record_failure(&run);
        } else {
            check_broken(&self.context, run.first_engine());
            self.record_end(&run).await;
            // Behind lost links all runs break, which tells nothing about the engines.
            if !self.context.links().is_lost(&self.request.service) {
                self.record_break(&run);
            }
        }
        drop(run);
        let is_resumed = self.has_other_run() || self.acquire_resume("broken-stream");
        let breaks = &self.context.metrics().stream_breaks;
        breaks.with_label_values(&[&stage.to_string()]).inc();
        let parts = self.request.facts.shared_parts.join(",");
        tracing::info!(
            request = %self.request.facts.request, cause = %error, chain, %stage, parts,
            last_event = self.last_event, open_runs = self.runs.len(), resumed = is_resumed,
            "stream broke"
        );
        self.record_wait();
        if is_resumed {
            Ok(())
        } else {
            Err(self.refuse(RefusalCause::LostAnswer))
        }
    }

    /// Returns whether a run is open or about to start.
    pub(crate) fn has_other_run(&self) -> bool {
        !self.runs.is_empty() || self.pending_connection.is_some()
    }

    /// Records the engine that the request waits for, for logs.
    pub(crate) fn record_wait(&self) {
        if let Some(run) = self.runs.first() {
            self.request.progress.wait_on(run.first_engine());
        }
    }

    /// Counts a run without events against its first engine, and excludes the engine.
    pub(crate) fn record_break(&mut self, run: &StreamRun<Time, Dialect>) {
        if !run.has_events() {
            self.record_failure(run);
        }
    }

    /// Counts a run against its first engine, and excludes the engine.
    fn record_failure(&mut self, run: &StreamRun<Time, Dialect>) {
        let first = EndpointId::clone(run.first_engine());
        let now = self.context.now();
        self.context.first_engines().record(&first, false, now);
        self.excluded.push(first);
    }

    /// Charges the repeat budget for another run; returns `false` if it or the route forbids one.
    pub(crate) fn acquire_resume(&mut self, cause: &str) -> bool {
        self.may_run_again() && self.acquire_repeat(cause)
    }

    /// Charges the repeat budget for an attempt, unless one that was charged is not sent yet.
    pub(crate) fn acquire_repeat(&mut self, cause: &str) -> bool {
        let service = &self.request.service;
        self.holds_repeat = self.holds_repeat || self.context.acquire_repeat(service, cause);
        self.holds_repeat
    }

    /// Returns whether the route allows another run.
    pub(crate) fn may_run_again(&self) -> bool {
        let route = &self.request.route_match.route;
        let is_allowed =
            route.repeat_class.is_repeatable() && self.run_count < self.request.max_attempts();
        is_allowed && self.request_standing() == RequestStanding::Sound
    }
}

/// Waits for the next step of any run.
async fn next_run_step<Time, Dialect>(runs: &mut [StreamRun<Time, Dialect>]) -> RelayStep
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    if let [run] = runs {
        return RelayStep::Run(0, run.next_step().await);
    }
    let steps = runs.iter_mut().enumerate();
    let steps =
        steps.map(|(index, run)| async move { RelayStep::Run(index, run.next_step().await) });
    let mut steps: FuturesUnordered<_> = steps.collect();
    match steps.next().await {
        Some(step) => step,
        None => std::future::pending().await,
    }
}
