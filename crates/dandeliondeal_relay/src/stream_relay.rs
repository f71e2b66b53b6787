//! Relays an event stream from a chain of engines, and moves it to another chain after a failure.
//!
//! At most two runs of a request are open: the current one, and a replacement that is started when
//! the current one is silent. Whichever delivers the next event first continues the stream, and the
//! other one is cancelled. A silent run is never given up for a replacement that may still fail.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use dandeliondeal_http::{ConnectionError, EndpointConnection};
use dandeliondeal_layout::{EngineChain, EngineProfile};
use dandeliondeal_types::{Clock, EndpointId};

use crate::chain_selection::{ChainConstraints, ChainDemand, select_chain};
use crate::chain_watch::{SilenceCause, watch_chain};
use crate::dialect::{AttemptFacts, FleetDialect, RequestDialect};
use crate::endpoint_exchange::{ConnectionChoice, build_attempt, open_connection};
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_context::RelayContext;
use crate::relay_lifecycle::LifecycleEvent;
use crate::request_intake::RelayRequest;
use crate::stream_run::{RunStep, StreamRun};

/// Maximum number of failed connections to first engines: none is an attempt, as nothing was sent.
const MAX_CONNECT_ATTEMPTS: u32 = 4;

/// End of a stream before its last event.
#[derive(Debug)]
pub enum StreamEnd {
    /// The request ends with an error of this instance.
    Refused(RefusalCause),
    /// The engine's failure response is passed to the caller.
    Failure(Response<RelayBody>),
}

/// What a stream waited for.
pub(crate) enum RelayStep {
    Current(RunStep),
    Replacement(RunStep),
    Silent(SilenceCause),
}

/// Relayed stream.
#[derive(Debug)]
pub struct StreamRelay<Time, Dialect>
where
    Time: Clock,
{
    pub(crate) context: RelayContext<Time, Dialect>,
    pub(crate) request: RelayRequest,
    profile: Arc<EngineProfile>,
    pub(crate) demand: ChainDemand,
    /// Run that delivers the events.
    pub(crate) current: Option<StreamRun<Time, Dialect>>,
    /// Run that continues the stream if it delivers the next event before the current run does.
    pub(crate) replacement: Option<StreamRun<Time, Dialect>>,
    /// Headers of the run that delivered the first event.
    pub(crate) response_headers: Option<HeaderMap>,
    /// Engines that this request must not use again.
    pub(crate) excluded: Vec<EndpointId>,
    /// Number of attempts that were sent, including rejected ones.
    pub(crate) attempts: u32,
    /// Number of attempts that were sent, without those that were rejected.
    pub(crate) runs: u32,
    /// Id of the last event that was passed on.
    pub(crate) last_event: Option<u64>,
    /// Whether the current run cannot be moved to another chain while it is silent.
    pub(crate) is_move_refused: bool,
    /// Time from which the silence of the current run is measured.
    pub(crate) silent_since: Instant,
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
        let silent_since = context.now();
        Self {
            context,
            request,
            profile,
            demand,
            current: None,
            replacement: None,
            response_headers: None,
            excluded: Vec::new(),
            attempts: 0,
            runs: 0,
            last_event,
            is_move_refused: false,
            silent_since,
        }
    }

    /// Returns the request.
    pub fn request(&self) -> &RelayRequest {
        &self.request
    }

    /// Returns the engines and layers of the current chain, for logs.
    pub fn describe_chain(&self) -> String {
        let current = self.current.as_ref();
        current.map(StreamRun::describe_chain).unwrap_or_default()
    }

    /// Returns the response headers of the run that delivered the first event.
    pub fn response_headers(&self) -> HeaderMap {
        self.response_headers.clone().unwrap_or_default()
    }

    /// Returns the next complete events; `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns [`StreamEnd`] if the stream cannot continue.
    pub async fn next_events(&mut self) -> Result<Option<Bytes>, StreamEnd> {
        loop {
            let time_left = self.time_left()?;
            if self.current.is_none() {
                let run = self.start_run().await?;
                self.current = Some(run);
            }
            let step = actix_rt::time::timeout(time_left, self.next_step());
            let Ok(step) = step.await else {
                return Err(self.end_timed_out());
            };
            let step = match step {
                RelayStep::Silent(cause) => {
                    let reaction = actix_rt::time::timeout(time_left, self.handle_silence(cause));
                    match reaction.await {
                        Ok(Some(step)) => RelayStep::Current(step),
                        Ok(None) => continue,
                        Err(_elapsed) => return Err(self.end_timed_out()),
                    }
                }
                step => step,
            };
            match step {
                RelayStep::Replacement(step @ (RunStep::Events(_) | RunStep::Complete)) => {
                    self.take_over();
                    if let Some(end) = self.handle_step(step).await? {
                        return Ok(end);
                    }
                }
                RelayStep::Replacement(step) => self.handle_replacement(&step),
                RelayStep::Current(step) => {
                    if let Some(end) = self.handle_step(step).await? {
                        return Ok(end);
                    }
                }
                RelayStep::Silent(_) => {}
            }
        }
    }

    fn time_left(&mut self) -> Result<Duration, StreamEnd> {
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
        self.current = None;
        self.replacement = None;
        match self.request.end_unanswered(cause, None) {
            crate::relay_outcome::RelayOutcome::Refused(cause) => StreamEnd::Refused(cause),
            crate::relay_outcome::RelayOutcome::Answered(response) => StreamEnd::Failure(response),
        }
    }

    /// Waits for the next step of the runs, or until the current one is silent.
    async fn next_step(&mut self) -> RelayStep {
        let Some(current) = &mut self.current else {
            let error = ConnectionError::before_write("no chain");
            return RelayStep::Current(RunStep::Broken(error));
        };
        let chain = std::rc::Rc::clone(&current.chain);
        let id = &self.request.facts.request;
        let watch = watch_chain(&self.context, &chain, id, self.silent_since);
        let is_watched = self.replacement.is_none();
        let replacement_step = async {
            match &mut self.replacement {
                Some(replacement) => replacement.next_step().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            step = current.next_step() => RelayStep::Current(step),
            step = replacement_step => RelayStep::Replacement(step),
            cause = watch, if is_watched => RelayStep::Silent(cause),
        }
    }

    /// Handles a step of the current run; returns events, or `None` within for the end of the
    /// stream, if the caller has to be told.
    async fn handle_step(&mut self, step: RunStep) -> Result<Option<Option<Bytes>>, StreamEnd> {
        match step {
            RunStep::Started => {}
            RunStep::Events(events) => {
                self.record_events();
                return Ok(Some(Some(events)));
            }
            RunStep::Complete => {
                self.finish();
                return Ok(Some(None));
            }
            RunStep::Rejected(head, facts) => self.handle_rejection(&head, &facts)?,
            RunStep::Failed(head) => self.handle_failure(&head).await?,
            RunStep::Broken(error) => self.leave_chain(&error)?,
        }
        Ok(None)
    }

    fn record_events(&mut self) {
        self.cancel_replacement("the current run continued");
        self.silent_since = self.context.now();
        self.is_move_refused = false;
        self.begin_response();
        self.last_event = self.current.as_ref().and_then(StreamRun::last_event);
        self.request.progress.record_event(self.last_event);
        self.request.lifecycle.apply(LifecycleEvent::Start);
    }

    /// Keeps the headers of the run that begins the response to the caller.
    fn begin_response(&mut self) {
        if self.response_headers.is_none()
            && let Some(current) = &self.current
        {
            self.response_headers = Some(current.headers().clone());
        }
    }

    fn finish(&mut self) {
        self.cancel_replacement("the stream is complete");
        self.begin_response();
        self.request.lifecycle.apply(LifecycleEvent::Complete);
        if let Some(run) = self.current.take() {
            let id = EndpointId::clone(run.first_engine());
            self.context.pool().borrow_mut().put(&id, run.connection);
        }
    }

    /// Gives up the current run, whose connection or response is broken; returns an error if the
    /// stream must not continue on another chain.
    pub(crate) fn leave_chain(&mut self, error: &ConnectionError) -> Result<(), StreamEnd> {
        self.request.lifecycle.mark_may_have_run();
        let chain = self.describe_chain();
        match self.current.take() {
            Some(run) if error.is_invalid_answer() => self.record_failure(&run),
            Some(run) => self.record_break(&run),
            None => {}
        }
        self.current = self.replacement.take();
        let is_resumed = self.current.is_some() || self.acquire_resume();
        tracing::info!(
            request = %self.request.facts.request, cause = %error, chain,
            last_event = self.last_event, resumed = is_resumed,
            "stream broke"
        );
        self.silent_since = self.context.now();
        self.record_wait();
        if is_resumed {
            Ok(())
        } else {
            Err(self.refuse(RefusalCause::LostAnswer))
        }
    }

    /// Records the engine that the request waits for, for logs.
    pub(crate) fn record_wait(&self) {
        if let Some(current) = &self.current {
            self.request.progress.wait_on(current.first_engine());
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
    pub(crate) fn acquire_resume(&self) -> bool {
        let service = &self.request.service;
        self.may_run_again() && self.context.acquire_repeat(service, "broken-stream")
    }

    /// Returns whether the route allows another run.
    pub(crate) fn may_run_again(&self) -> bool {
        let route = &self.request.route_match.route;
        route.repeat_class.is_repeatable() && self.runs < route.attempts
    }

    /// Sends the request to the first chain to which a connection can be made.
    async fn start_run(&mut self) -> Result<StreamRun<Time, Dialect>, StreamEnd> {
        let mut failed_connections = 0;
        loop {
            let time_left = self.time_left()?;
            let Some(chain) = self.select_chain(None) else {
                return Err(self.refuse(RefusalCause::NoEndpoint));
            };
            let hop = chain.hops[0].clone();
            let choice = self.connection_choice();
            let opened = open_connection(&self.context, &hop.id, hop.address, choice, time_left);
            let error = match opened.await {
                Ok(connection) => match self.send_request(connection, chain) {
                    Ok(run) => return Ok(run),
                    Err(error) => error,
                },
                Err(error) => error,
            };
            self.record_connect_failure(&hop.id, &error);
            failed_connections += 1;
            if failed_connections >= MAX_CONNECT_ATTEMPTS {
                return Err(self.refuse(RefusalCause::NoEndpoint));
            }
        }
    }

    /// Returns the kind of connection for the next run.
    pub(crate) fn connection_choice(&self) -> ConnectionChoice {
        // A repeated run must not fail because an idle connection was closed without notice.
        match self.runs {
            0 => ConnectionChoice::Idle,
            _ => ConnectionChoice::New,
        }
    }

    /// Takes an engine to which no connection could be made out of use.
    pub(crate) fn record_connect_failure(&mut self, engine: &EndpointId, error: &ConnectionError) {
        tracing::info!(
            request = %self.request.facts.request, %engine, %error, "connection failed"
        );
        let now = self.context.now();
        self.context.fleet().borrow_mut().mark_failed(engine, now);
        self.context.first_engines().record(engine, false, now);
        self.excluded.push(EndpointId::clone(engine));
    }

    /// Starts a run on a chain over a connection to its first engine.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the request cannot be encoded; nothing was sent.
    pub(crate) fn send_request(
        &mut self,
        connection: EndpointConnection,
        chain: EngineChain,
    ) -> Result<StreamRun<Time, Dialect>, ConnectionError> {
        let facts = AttemptFacts {
            endpoint: &chain.hops[0].id,
            organisation: self.request.route_match.organisation.as_ref(),
            time_left: self.request.time_left(self.context.now()),
            last_event: self.last_event,
            chain: Some(&chain),
            urgency: self.request.route_match.urgency,
        };
        let outbound = build_attempt(&self.context, &self.request, &facts);
        let reservation = self.context.tracker().reserve(&chain, self.demand.tokens());
        let run = StreamRun::start(
            &self.context,
            connection,
            chain,
            reservation,
            (&outbound, &self.request.facts.request),
            self.last_event,
        )?;
        self.attempts += 1;
        self.runs += 1;
        self.request.progress.record_attempt(run.first_engine());
        self.request.lifecycle.apply(LifecycleEvent::Offer);
        self.silent_since = self.context.now();
        Ok(run)
    }
}

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
{
    pub(crate) fn select_chain(&self, current_chain: Option<&EngineChain>) -> Option<EngineChain> {
        let constraints = ChainConstraints {
            current_chain,
            excluded: &self.excluded,
        };
        select_chain(
            &self.context,
            &self.request.service,
            &self.profile,
            self.demand,
            constraints,
        )
    }
}
