//! Relays an event stream from a chain of engines, and moves it to another chain after a failure.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use dandeliondeal_balance::CallResult;
use dandeliondeal_http::{EndpointConnection, LinkError};
use dandeliondeal_layout::{EngineChain, EngineProfile};
use dandeliondeal_types::{Clock, EndpointId};

use crate::call_guard::CallGuard;
use crate::chain_choice::{ChainDemand, ChainLimits, choose_chain};
use crate::chain_watch::watch_chain;
use crate::dialect::{AttemptFacts, FleetDialect, OrderReply, RequestDialect};
use crate::endpoint_link::{ConnectionChoice, build_attempt, exchange, open_connection};
use crate::engine_calls::send_order;
use crate::event_splitter::EventSplitter;
use crate::load_tracker::LoadReservation;
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_context::RelayContext;
use crate::relay_lifecycle::LifecycleEvent;
use crate::request_intake::RelayRequest;

/// Maximum number of first engines that may refuse the connection before the request is refused;
/// nothing is sent to them.
const CONNECT_TRIES: u32 = 4;

/// Reason why a stream leaves its chain.
#[derive(Clone, Debug)]
pub(crate) enum BreakCause {
    /// The connection or the response is broken.
    Broken(LinkError),
    /// The request waits for an engine that does not answer.
    Stalled(EndpointId),
}

impl std::fmt::Display for BreakCause {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Broken(error) => write!(formatter, "{error}"),
            Self::Stalled(engine) => write!(formatter, "stalled for engine {engine}"),
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
    offer: Option<CallGuard<Time, Dialect>>,
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
    pub(crate) head: Option<HeaderMap>,
    /// Engines that this request must not use again.
    pub(crate) avoided: Vec<EndpointId>,
    pub(crate) offers: u32,
    pub(crate) runs: u32,
    /// Whether the request stays on its current chain although the chain is stalled.
    stays: bool,
    last_sign: Instant,
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
        let splitter = EventSplitter::after(request.facts.last_event);
        let demand = ChainDemand::new(&request.facts, &profile);
        let last_sign = context.now();
        Self {
            context,
            request,
            profile,
            demand,
            splitter,
            link: None,
            head: None,
            avoided: Vec::new(),
            offers: 0,
            runs: 0,
            stays: false,
            last_sign,
        }
    }

    /// Returns the request.
    pub fn request(&self) -> &RelayRequest {
        &self.request
    }

    /// Returns the number of started runs, without those that were rejected.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns the engines and layers of the current chain, for logs.
    pub fn chain_text(&self) -> String {
        let hops = self.link.iter().flat_map(|link| &link.chain.hops);
        let names: Vec<String> = hops
            .map(|hop| format!("{}:{}", hop.id, hop.range))
            .collect();
        names.join(",")
    }

    /// Returns the response headers of the first engine that started to answer.
    pub fn answer_headers(&self) -> HeaderMap {
        self.head.clone().unwrap_or_default()
    }

    /// Returns the next complete events; `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns [`StreamEnd`] if the stream cannot continue.
    pub async fn events(&mut self) -> Result<Option<Bytes>, StreamEnd> {
        loop {
            let left = self.request.left(self.context.now());
            if left.is_zero() {
                return Err(self.late());
            }
            if self.link.is_none() {
                self.offer().await?;
            }
            match actix_rt::time::timeout(left, self.read()).await {
                Err(_elapsed) => return Err(self.late()),
                Ok(Ok(Some(events))) if events.is_empty() => {}
                Ok(Ok(Some(events))) => return Ok(Some(events)),
                Ok(Ok(None)) => {
                    self.finish();
                    return Ok(None);
                }
                Ok(Err(cause)) => self.break_link(&cause)?,
            }
        }
    }

    fn late(&mut self) -> StreamEnd {
        self.refused(RefusalCause::LateSent)
    }

    pub(crate) fn refused(&mut self, cause: RefusalCause) -> StreamEnd {
        self.link = None;
        match self.request.end_without(cause, None) {
            crate::relay_outcome::RelayOutcome::Refused(cause) => StreamEnd::Refused(cause),
            crate::relay_outcome::RelayOutcome::Answered(response) => StreamEnd::Failure(response),
        }
    }

    fn finish(&mut self) {
        self.request.lifecycle.apply(LifecycleEvent::Complete);
        if let Some(link) = self.link.take() {
            let first = EndpointId::clone(&link.chain.hops[0].id);
            self.context
                .pool()
                .borrow_mut()
                .put(&first, link.connection);
        }
    }

    /// Reads the next events of the current chain while watching its engines for failures.
    async fn read(&mut self) -> Result<Option<Bytes>, BreakCause> {
        let Some(link) = &mut self.link else {
            return Err(BreakCause::Broken(LinkError::not_written("no chain")));
        };
        let id = &self.request.facts.request;
        let watch = watch_chain(&self.context, &link.chain, id, self.last_sign);
        let stays = self.stays;
        let chunk = tokio::select! {
            biased;
            chunk = link.connection.read_chunk() => chunk.map_err(BreakCause::Broken)?,
            engine = watch, if !stays => {
                if self.move_link(&engine).await {
                    return Ok(Some(Bytes::new()));
                }
                if self.take_resume() {
                    return Err(BreakCause::Stalled(engine));
                }
                self.stay();
                return Ok(Some(Bytes::new()));
            }
        };
        let Some(chunk) = chunk else {
            if self.splitter.is_partial() {
                let error = LinkError::written("the stream ended within an event");
                return Err(BreakCause::Broken(error));
            }
            return Ok(None);
        };
        let events = self.splitter.push(&chunk);
        let events = events.map_err(|error| BreakCause::Broken(LinkError::written(&error)))?;
        if !events.is_empty() {
            self.note_events();
        }
        Ok(Some(events))
    }

    fn note_events(&mut self) {
        let now = self.context.now();
        self.last_sign = now;
        if let Some(link) = &mut self.link
            && let Some(offer) = link.offer.take()
        {
            offer.end(CallResult::Answered);
            let first = &link.chain.hops[0].id;
            self.context
                .first_engine_health()
                .record_attempt(first, true, now);
        }
        self.request.lifecycle.apply(LifecycleEvent::Start);
    }

    /// Moves the running request to a chain without the failed engine; `false` if the move fails.
    async fn move_link(&mut self, lost: &EndpointId) -> bool {
        let Some(link) = &self.link else {
            return false;
        };
        let chain = self.move_chain(&link.chain, lost).await;
        let Some(chain) = chain else {
            return false;
        };
        let reservation = self
            .context
            .load_tracker()
            .reserve(&chain, self.demand.tokens());
        self.last_sign = self.context.now();
        if let Some(link) = &mut self.link {
            link.chain = chain;
            link.reservation = reservation;
        }
        true
    }

    /// Orders the first engine of a chain to continue the request without the failed engine.
    async fn move_chain(&self, chain: &EngineChain, lost: &EndpointId) -> Option<EngineChain> {
        let first = chain.hops.first().filter(|first| first.id != *lost)?;
        let next = self.choose(Some(chain))?;
        let id = &self.request.facts.request;
        let order = self.context.dialect().write_move(id, &next);
        let reply = send_order(&self.context, first.address, &order).await;
        let (text, is_moved) = match &reply {
            Ok(reply) => (
                reply.to_string(),
                matches!(reply, OrderReply::Begun | OrderReply::Done),
            ),
            Err(error) => (error.to_string(), false),
        };
        tracing::info!(request = %id, engine = %first.id, %lost, reply = text, "move ordered");
        is_moved.then_some(next)
    }

    /// Takes one more run from the route's attempts and the repeat budget, if both allow it.
    fn take_resume(&self) -> bool {
        let route = &self.request.matched.route;
        let may_resume = route.repeat.is_repeatable() && self.runs < route.attempts;
        may_resume
            && self
                .context
                .take_repeat(&self.request.service, "broken-stream")
    }

    /// Keeps a stalled chain that cannot be replaced.
    ///
    /// Its engine may recover, and silence alone is no reason to end a response.
    fn stay(&mut self) {
        self.stays = true;
        tracing::info!(
            request = %self.request.facts.request,
            chain = self.chain_text(),
            "stalled stream stays with its chain"
        );
    }

    /// Gives up the current chain; returns an error if the stream must not continue on another one.
    pub(crate) fn break_link(&mut self, cause: &BreakCause) -> Result<(), StreamEnd> {
        self.splitter.discard();
        self.request.lifecycle.mark_may_have_run();
        let chain = self.chain_text();
        self.note_break(cause);
        self.link = None;
        if let BreakCause::Stalled(engine) = cause {
            self.avoided.push(EndpointId::clone(engine));
        }
        // A stall ends a run only after [`Self::take_resume`] has allowed another one.
        let is_stall = matches!(cause, BreakCause::Stalled(_));
        let is_resumed = is_stall || self.take_resume();
        tracing::info!(
            request = %self.request.facts.request,
            cause = %cause,
            chain,
            last_event = self.splitter.last(),
            resumed = is_resumed,
            "stream broke"
        );
        if is_resumed {
            Ok(())
        } else {
            Err(self.refused(RefusalCause::LostAnswer))
        }
    }

    /// Counts a break before the first event as a failure of the first engine, and excludes the
    /// engine.
    fn note_break(&mut self, cause: &BreakCause) {
        let Some(link) = &self.link else {
            return;
        };
        if link.offer.is_none() || matches!(cause, BreakCause::Stalled(_)) {
            return;
        }
        let first = EndpointId::clone(&link.chain.hops[0].id);
        let now = self.context.now();
        self.context
            .first_engine_health()
            .record_attempt(&first, false, now);
        self.avoided.push(first);
    }

    /// Sends the request to one chain after another until one starts to answer.
    async fn offer(&mut self) -> Result<(), StreamEnd> {
        let mut unsent = 0;
        loop {
            let left = self.request.left(self.context.now());
            if left.is_zero() {
                return Err(self.late());
            }
            let Some(chain) = self.choose(None) else {
                return Err(self.refused(RefusalCause::NoEndpoint));
            };
            let tokens = self.demand.tokens();
            let reservation = self.context.load_tracker().reserve(&chain, tokens);
            let first = chain.hops[0].clone();
            // An idle connection may have been closed without notice; a repeated run must not fail
            // for that reason as well.
            let choice = match self.runs {
                0 => ConnectionChoice::Idle,
                _ => ConnectionChoice::New,
            };
            let opened = open_connection(&self.context, &first.id, first.address, choice, left);
            let connection = match opened.await {
                Ok(connection) => connection,
                Err(error) => {
                    tracing::info!(request = %self.request.facts.request, engine = %first.id, %error, "connection not made");
                    let now = self.context.now();
                    self.context.fleet().borrow_mut().blame(&first.id, now);
                    self.context
                        .first_engine_health()
                        .record_attempt(&first.id, false, now);
                    self.avoided.push(first.id);
                    unsent += 1;
                    if unsent >= CONNECT_TRIES {
                        return Err(self.refused(RefusalCause::NoEndpoint));
                    }
                    continue;
                }
            };
            self.offers += 1;
            self.runs += 1;
            self.request.lifecycle.apply(LifecycleEvent::Offer);
            self.last_sign = self.context.now();
            let offer = CallGuard::begin_chain(&self.context, &chain);
            let link = StreamLink {
                connection,
                chain,
                reservation,
                offer: Some(offer),
            };
            if self.begin(link, left).await? {
                return Ok(());
            }
        }
    }

    /// Sends the request over a link; returns `false` if another attempt is needed.
    async fn begin(
        &mut self,
        mut link: StreamLink<Time, Dialect>,
        left: Duration,
    ) -> Result<bool, StreamEnd> {
        let facts = AttemptFacts {
            endpoint: &link.chain.hops[0].id,
            organisation: self.request.matched.organisation.as_ref(),
            left,
            last_event: self.splitter.last(),
            chain: Some(&link.chain),
            urgency: self.request.matched.urgency,
        };
        let message = build_attempt(&self.context, &self.request, &facts);
        let id = Arc::clone(&self.request.facts.request);
        let dialect = self.context.dialect().clone();
        let answer = {
            let answer = exchange(&dialect, &mut link.connection, &message, &id);
            let mut answer = std::pin::pin!(answer);
            let both = async {
                loop {
                    let watch = watch_chain(&self.context, &link.chain, &id, self.last_sign);
                    let lost = tokio::select! {
                        biased;
                        answer = &mut answer => return answer.map_err(BreakCause::Broken),
                        engine = watch => engine,
                    };
                    let Some(chain) = self.move_chain(&link.chain, &lost).await else {
                        if self.take_resume() {
                            return Err(BreakCause::Stalled(lost));
                        }
                        return answer.await.map_err(BreakCause::Broken);
                    };
                    link.reservation = self
                        .context
                        .load_tracker()
                        .reserve(&chain, self.demand.tokens());
                    link.chain = chain;
                    self.last_sign = self.context.now();
                }
            };
            actix_rt::time::timeout(left, both).await
        };
        let (head, facts) = match answer {
            Err(_elapsed) => {
                self.request.lifecycle.mark_may_have_run();
                return Err(self.late());
            }
            Ok(Err(cause)) => {
                self.link = Some(link);
                self.break_link(&cause)?;
                return Ok(false);
            }
            Ok(Ok(answer)) => answer,
        };
        if let Some(load) = facts.load {
            let now = self.context.now();
            let first = &link.chain.hops[0].id;
            self.context
                .load_tracker()
                .record_running(first, load.running, now);
        }
        if facts.is_not_run && !head.status.is_success() {
            return self.rejected(link, &head, &facts);
        }
        if !head.status.is_success() {
            return self.failed(link, &head).await;
        }
        if !facts.is_signed || facts.is_encoded || facts.request.is_none() {
            let error = LinkError::written("an answer without the engine's signature");
            self.link = Some(link);
            self.break_link(&BreakCause::Broken(error))?;
            return Ok(false);
        }
        if self.head.is_none() {
            self.head = Some(dialect.answer_headers(&head.headers));
        }
        tracing::debug!(request = %id, "engine began to answer");
        self.link = Some(link);
        Ok(true)
    }
}

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
{
    fn choose(&self, moved: Option<&EngineChain>) -> Option<EngineChain> {
        let limits = ChainLimits {
            moved,
            avoided: &self.avoided,
        };
        choose_chain(
            &self.context,
            &self.request.service,
            &self.profile,
            self.demand,
            limits,
        )
    }
}
