//! Relays an event stream from a chain of engines, and moves it to another chain after a failure.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use dandeliondeal_balance::CallResult;
use dandeliondeal_http::{ConnectionError, EndpointConnection};
use dandeliondeal_layout::{EngineChain, EngineProfile};
use dandeliondeal_types::{Clock, EndpointId};

use crate::call_guard::CallGuard;
use crate::chain_selection::{ChainConstraints, ChainDemand, select_chain};
use crate::chain_watch::watch_chain;
use crate::dialect::{AttemptFacts, FleetDialect, OrderReply, RequestDialect};
use crate::endpoint_exchange::{ConnectionChoice, build_attempt, exchange, open_connection};
use crate::engine_calls::send_order;
use crate::event_splitter::EventSplitter;
use crate::load_tracker::LoadReservation;
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_context::RelayContext;
use crate::relay_lifecycle::LifecycleEvent;
use crate::request_intake::RelayRequest;

/// Maximum number of failed connections to first engines: none is an attempt, as nothing was sent.
const MAX_CONNECT_ATTEMPTS: u32 = 4;

/// Reason why a stream leaves its chain.
#[derive(Clone, Debug)]
pub(crate) enum BreakCause {
    /// The connection or the response is broken.
    Broken(ConnectionError),
    /// The request waits for an engine that does not answer.
    Stalled(EndpointId),
}

impl std::fmt::Display for BreakCause {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Broken(error) => write!(formatter, "{error}"),
            Self::Stalled(engine) => write!(formatter, "waiting for unresponsive engine {engine}"),
        }
    }
}

/// End of a stream before its last event.
#[derive(Debug)]
pub enum StreamEnd {
    /// The request ends with an error of this instance.
    Refused(RefusalCause),
    /// The engine's failure response is passed to the caller.
    Failure(Response<RelayBody>),
}

/// Chain that runs the request, with its connection.
#[derive(Debug)]
pub(crate) struct StreamLink<Time, Dialect>
where
    Time: Clock,
{
    pub(crate) connection: EndpointConnection,
    pub(crate) chain: EngineChain,
    reservation: LoadReservation,
    /// Call record of the attempt, until the chain starts to answer.
    attempt: Option<CallGuard<Time, Dialect>>,
}

/// Relayed stream.
#[derive(Debug)]
pub struct StreamRelay<Time, Dialect>
where
    Time: Clock,
{
    pub(crate) context: RelayContext<Time, Dialect>,
    pub(crate) request: RelayRequest,
    pub(crate) profile: Arc<EngineProfile>,
    demand: ChainDemand,
    splitter: EventSplitter,
    pub(crate) link: Option<StreamLink<Time, Dialect>>,
    pub(crate) response_headers: Option<HeaderMap>,
    /// Engines that this request must not use again.
    pub(crate) excluded: Vec<EndpointId>,
    /// Number of attempts that were sent, including rejected ones.
    pub(crate) attempts: u32,
    /// Number of attempts that were sent, without those that were rejected.
    pub(crate) runs: u32,
    /// Whether the request stays on its current chain although the chain is stalled.
    is_pinned: bool,
    last_activity: Instant,
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
        let splitter = EventSplitter::starting_after(request.facts.last_event);
        let demand = ChainDemand::new(&request.facts, &profile);
        let last_activity = context.now();
        Self {
            context,
            request,
            profile,
            demand,
            splitter,
            link: None,
            response_headers: None,
            excluded: Vec::new(),
            attempts: 0,
            runs: 0,
            is_pinned: false,
            last_activity,
        }
    }

    /// Returns the request.
    pub fn request(&self) -> &RelayRequest {
        &self.request
    }

    /// Returns the number of attempts that were sent, without those that were rejected.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns the engines and layers of the current chain, for logs.
    pub fn describe_chain(&self) -> String {
        let hops = self.link.iter().flat_map(|link| &link.chain.hops);
        let names: Vec<String> = hops
            .map(|hop| format!("{}:{}", hop.id, hop.range))
            .collect();
        names.join(",")
    }

    /// Returns the response headers of the first engine that started to answer.
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
            let time_left = self.request.time_left(self.context.now());
            if time_left.is_zero() {
                return Err(self.end_timed_out());
            }
            if self.link.is_none() {
                self.start_attempts().await?;
            }
            match actix_rt::time::timeout(time_left, self.read_events()).await {
                Err(_elapsed) => return Err(self.end_timed_out()),
                Ok(Ok(Some(events))) if events.is_empty() => {}
                Ok(Ok(Some(events))) => return Ok(Some(events)),
                Ok(Ok(None)) => {
                    self.finish();
                    return Ok(None);
                }
                Ok(Err(cause)) => self.leave_chain(&cause)?,
            }
        }
    }

    /// Ends a request whose time is over.
    pub(crate) fn end_timed_out(&mut self) -> StreamEnd {
        self.refuse(RefusalCause::LateSent)
    }

    pub(crate) fn refuse(&mut self, cause: RefusalCause) -> StreamEnd {
        self.link = None;
        match self.request.end_unanswered(cause, None) {
            crate::relay_outcome::RelayOutcome::Refused(cause) => StreamEnd::Refused(cause),
            crate::relay_outcome::RelayOutcome::Answered(response) => StreamEnd::Failure(response),
        }
    }

    fn finish(&mut self) {
        self.request.lifecycle.apply(LifecycleEvent::Complete);
        if let Some(link) = self.link.take() {
            let id = EndpointId::clone(&link.chain.hops[0].id);
            self.context.pool().borrow_mut().put(&id, link.connection);
        }
    }

    /// Reads the next events of the current chain while watching its engines for failures.
    async fn read_events(&mut self) -> Result<Option<Bytes>, BreakCause> {
        let Some(link) = &mut self.link else {
            return Err(BreakCause::Broken(ConnectionError::before_write(
                "no chain",
            )));
        };
        let id = &self.request.facts.request;
        let watch = watch_chain(&self.context, &link.chain, id, self.last_activity);
        let is_pinned = self.is_pinned;
        let chunk = tokio::select! {
            biased;
            chunk = link.connection.read_chunk() => chunk.map_err(BreakCause::Broken)?,
            engine = watch, if !is_pinned => {
                if self.move_request(&engine).await {
                    return Ok(Some(Bytes::new()));
                }
                if self.acquire_resume() {
                    return Err(BreakCause::Stalled(engine));
                }
                self.pin_chain();
                return Ok(Some(Bytes::new()));
            }
        };
        let Some(chunk) = chunk else {
            if self.splitter.is_partial() {
                let error = ConnectionError::after_write("the stream ended within an event");
                return Err(BreakCause::Broken(error));
            }
            return Ok(None);
        };
        let events = self.splitter.push(&chunk);
        let events =
            events.map_err(|error| BreakCause::Broken(ConnectionError::after_write(&error)))?;
        if !events.is_empty() {
            self.record_events();
        }
        Ok(Some(events))
    }

    fn record_events(&mut self) {
        let now = self.context.now();
        self.last_activity = now;
        if let Some(link) = &mut self.link
            && let Some(guard) = link.attempt.take()
        {
            guard.end(CallResult::Answered);
            let first = &link.chain.hops[0].id;
            self.context.first_engines().record(first, true, now);
        }
        self.request.lifecycle.apply(LifecycleEvent::Start);
    }

    /// Moves the running request to a chain without the failed engine; `false` if the move fails.
    async fn move_request(&mut self, failed: &EndpointId) -> bool {
        let Some(link) = &self.link else {
            return false;
        };
        let chain = self.order_move(&link.chain, failed).await;
        let Some(chain) = chain else {
            return false;
        };
        let reservation = self.context.tracker().reserve(&chain, self.demand.tokens());
        self.last_activity = self.context.now();
        if let Some(link) = &mut self.link {
            link.chain = chain;
            link.reservation = reservation;
        }
        true
    }

    /// Orders the first engine of a chain to continue the request without the failed engine.
    async fn order_move(&self, chain: &EngineChain, failed: &EndpointId) -> Option<EngineChain> {
        let first = chain.hops.first().filter(|first| first.id != *failed)?;
        let next_chain = self.select_chain(Some(chain))?;
        let id = &self.request.facts.request;
        let order = self.context.dialect().write_move_order(id, &next_chain);
        let reply = send_order(&self.context, first.address, &order).await;
        let (text, is_moved) = match &reply {
            Ok(reply) => (
                reply.to_string(),
                matches!(reply, OrderReply::Started | OrderReply::Done),
            ),
            Err(error) => (error.to_string(), false),
        };
        tracing::info!(
            request = %id, engine = %first.id, lost = %failed, reply = text, "chain move ordered"
        );
        is_moved.then_some(next_chain)
    }

    /// Charges the repeat budget for another run; returns `false` if it or the route forbids one.
    fn acquire_resume(&self) -> bool {
        let route = &self.request.route_match.route;
        let may_resume = route.repeat_class.is_repeatable() && self.runs < route.attempts;
        may_resume
            && self
                .context
                .acquire_repeat(&self.request.service, "broken-stream")
    }

    /// Keeps a stalled chain that cannot be replaced: its engine may recover, and silence alone is
    /// no reason to end a response.
    fn pin_chain(&mut self) {
        self.is_pinned = true;
        tracing::info!(
            request = %self.request.facts.request, chain = self.describe_chain(),
            "stalled stream stays on its chain"
        );
    }

    /// Gives up the current chain; returns an error if the stream must not continue on another one.
    pub(crate) fn leave_chain(&mut self, cause: &BreakCause) -> Result<(), StreamEnd> {
        self.splitter.discard_partial();
        self.request.lifecycle.mark_may_have_run();
        let chain = self.describe_chain();
        self.record_break(cause);
        self.link = None;
        if let BreakCause::Stalled(engine) = cause {
            self.excluded.push(EndpointId::clone(engine));
        }
        // A stall ends a run only after [`Self::acquire_resume`] has allowed another one.
        let is_stall = matches!(cause, BreakCause::Stalled(_));
        let is_resumed = is_stall || self.acquire_resume();
        tracing::info!(
            request = %self.request.facts.request, cause = %cause, chain,
            last_event = self.splitter.last_id(), resumed = is_resumed,
            "stream broke"
        );
        if is_resumed {
            Ok(())
        } else {
            Err(self.refuse(RefusalCause::LostAnswer))
        }
    }

    /// Counts a break before the first event against the first engine, and excludes the engine.
    fn record_break(&mut self, cause: &BreakCause) {
        let Some(link) = &self.link else {
            return;
        };
        if link.attempt.is_none() || matches!(cause, BreakCause::Stalled(_)) {
            return;
        }
        let first = EndpointId::clone(&link.chain.hops[0].id);
        let now = self.context.now();
        self.context.first_engines().record(&first, false, now);
        self.excluded.push(first);
    }

    /// Sends the request to one chain after another until one starts to answer.
    async fn start_attempts(&mut self) -> Result<(), StreamEnd> {
        let mut failed_connections = 0;
        loop {
            let time_left = self.request.time_left(self.context.now());
            if time_left.is_zero() {
                return Err(self.end_timed_out());
            }
            let Some(chain) = self.select_chain(None) else {
                return Err(self.refuse(RefusalCause::NoEndpoint));
            };
            let tokens = self.demand.tokens();
            let reservation = self.context.tracker().reserve(&chain, tokens);
            let hop = chain.hops[0].clone();
            // A repeated run must not fail because an idle connection was closed without notice.
            let choice = match self.runs {
                0 => ConnectionChoice::Idle,
                _ => ConnectionChoice::New,
            };
            let opened = open_connection(&self.context, &hop.id, hop.address, choice, time_left);
            let connection = match opened.await {
                Ok(connection) => connection,
                Err(error) => {
                    tracing::info!(
                        request = %self.request.facts.request, engine = %hop.id, %error,
                        "connection failed"
                    );
                    let now = self.context.now();
                    self.context.fleet().borrow_mut().mark_failed(&hop.id, now);
                    self.context.first_engines().record(&hop.id, false, now);
                    self.excluded.push(hop.id);
                    failed_connections += 1;
                    if failed_connections >= MAX_CONNECT_ATTEMPTS {
                        return Err(self.refuse(RefusalCause::NoEndpoint));
                    }
                    continue;
                }
            };
            self.attempts += 1;
            self.runs += 1;
            self.request.lifecycle.apply(LifecycleEvent::Offer);
            self.last_activity = self.context.now();
            let guard = CallGuard::start_chain(&self.context, &chain);
            let link = StreamLink {
                connection,
                chain,
                reservation,
                attempt: Some(guard),
            };
            if self.send_request(link, time_left).await? {
                return Ok(());
            }
        }
    }

    /// Sends the request over a link; returns `false` if another attempt is needed.
    async fn send_request(
        &mut self,
        mut link: StreamLink<Time, Dialect>,
        time_left: Duration,
    ) -> Result<bool, StreamEnd> {
        let facts = AttemptFacts {
            endpoint: &link.chain.hops[0].id,
            organisation: self.request.route_match.organisation.as_ref(),
            time_left,
            last_event: self.splitter.last_id(),
            chain: Some(&link.chain),
            urgency: self.request.route_match.urgency,
        };
        let outbound = build_attempt(&self.context, &self.request, &facts);
        let id = Arc::clone(&self.request.facts.request);
        let dialect = self.context.dialect().clone();
        let response = {
            let response = exchange(&dialect, &mut link.connection, &outbound, &id);
            let mut response = std::pin::pin!(response);
            let watched = async {
                loop {
                    let watch = watch_chain(&self.context, &link.chain, &id, self.last_activity);
                    let failed = tokio::select! {
                        biased;
                        response = &mut response=> return response.map_err(BreakCause::Broken),
                        engine = watch => engine,
                    };
                    let Some(chain) = self.order_move(&link.chain, &failed).await else {
                        if self.acquire_resume() {
                            return Err(BreakCause::Stalled(failed));
                        }
                        return response.await.map_err(BreakCause::Broken);
                    };
                    link.reservation = self.context.tracker().reserve(&chain, self.demand.tokens());
                    link.chain = chain;
                    self.last_activity = self.context.now();
                }
            };
            actix_rt::time::timeout(time_left, watched).await
        };
        let (head, facts) = match response {
            Err(_elapsed) => {
                self.request.lifecycle.mark_may_have_run();
                return Err(self.end_timed_out());
            }
            Ok(Err(cause)) => {
                self.link = Some(link);
                self.leave_chain(&cause)?;
                return Ok(false);
            }
            Ok(Ok(response)) => response,
        };
        if let Some(load) = facts.load {
            let now = self.context.now();
            let first = &link.chain.hops[0].id;
            self.context.tracker().set_running(first, load.running, now);
        }
        if facts.is_not_run && !head.status.is_success() {
            return self.handle_rejection(link, &head, &facts);
        }
        if !head.status.is_success() {
            return self.handle_failure(link, &head).await;
        }
        if !facts.is_signed || facts.is_encoded || facts.request.is_none() {
            let error = ConnectionError::after_write("response lacks the engine's signature");
            self.link = Some(link);
            self.leave_chain(&BreakCause::Broken(error))?;
            return Ok(false);
        }
        if self.response_headers.is_none() {
            self.response_headers = Some(dialect.forwarded_headers(&head.headers));
        }
        tracing::debug!(request = %id, "engine started to answer");
        self.link = Some(link);
        Ok(true)
    }
}

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
{
    fn select_chain(&self, current_chain: Option<&EngineChain>) -> Option<EngineChain> {
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
