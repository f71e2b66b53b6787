//! Relays a stream of events from a chain of engines, and moves it when the chain breaks.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use dandeliondeal_http::{AnswerHead, EndpointConnection, LinkError};
use dandeliondeal_layout::{ChainQuery, EngineChain, EngineProfile};
use dandeliondeal_types::{Clock, EndpointId};

use crate::dialect::{AnswerFacts, AttemptFacts, FleetDialect, RequestDialect};
use crate::endpoint_link::{ANSWER_LIMIT, LinkChoice, exchange, open, outbound};
use crate::event_splitter::EventSplitter;
use crate::load_book::LoadTicket;
use crate::refusal::RefusalCause;
use crate::relay_body::RelayBody;
use crate::relay_context::RelayContext;
use crate::relay_life::LifeEvent;
use crate::request_intake::RelayRequest;

/// Time without an event after which the engines of the chain are looked at. Events come every
/// 20 to 40 ms on a chain in good order; callers count a pause of 250 ms as late.
const QUIET_LIMIT: Duration = Duration::from_millis(160);
/// Time without an event after which the first engine is asked what it waits for.
const REPORT_AFTER: Duration = Duration::from_millis(300);
/// First engines that refuse the connection before the request is refused; nothing was sent.
const CONNECT_TRIES: u32 = 4;
/// Offers of one request at most, counting those that engines stated not to have run.
const OFFER_LIMIT: u32 = 4;
/// Seconds that a change of failure domain adds to each token, on the way and back.
const CROSSING_STEP: f64 = 0.000_75;
/// Requests that one engine runs at once without getting much slower.
const RUN_LIMIT: f64 = 110.0;
/// Share of an engine's memory that may be committed. Requests rarely reach their full size all
/// at once, so that commitments of all of the memory leave a quarter of it free.
const FILL_LIMIT: f64 = 1.1;
/// Answers are about as long as callers estimate in the middle, and often longer.
const HINT_FACTOR: f64 = 1.2;

/// Why a stream goes on without its chain.
#[derive(Clone, Debug)]
enum BreakCause {
    /// The connection or the answer broke.
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

/// How a stream ends without its last event.
#[derive(Debug)]
pub enum StreamEnd {
    /// With an answer of this instance.
    Refused(RefusalCause),
    /// With an engine's own failure.
    Failure(Response<RelayBody>),
}

/// A chain that runs the request now.
#[derive(Debug)]
struct StreamLink {
    connection: EndpointConnection,
    chain: EngineChain,
    _ticket: LoadTicket,
}

/// A stream that is relayed.
#[derive(Debug)]
pub struct StreamRelay<Time, Dialect> {
    context: RelayContext<Time, Dialect>,
    request: RelayRequest,
    profile: Arc<EngineProfile>,
    splitter: EventSplitter,
    link: Option<StreamLink>,
    head: Option<HeaderMap>,
    /// Engines that this request does not use again.
    avoided: Vec<EndpointId>,
    offers: u32,
    runs: u32,
    last_sign: Instant,
}

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Takes over a request; nothing is sent yet.
    pub fn new(
        context: RelayContext<Time, Dialect>,
        request: RelayRequest,
        profile: Arc<EngineProfile>,
    ) -> Self {
        let splitter = EventSplitter::after(request.facts.last_event);
        let last_sign = context.now();
        Self {
            context,
            request,
            profile,
            splitter,
            link: None,
            head: None,
            avoided: Vec::new(),
            offers: 0,
            runs: 0,
            last_sign,
        }
    }

    /// The request.
    pub fn request(&self) -> &RelayRequest {
        &self.request
    }

    /// Runs that were begun.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// The engines of the present chain, for logs.
    pub fn chain_text(&self) -> String {
        let hops = self.link.iter().flat_map(|link| &link.chain.hops);
        let names: Vec<String> = hops
            .map(|hop| format!("{}:{}", hop.id, hop.range))
            .collect();
        names.join(",")
    }

    /// Headers of the answer; those of the first engine that began one.
    pub fn answer_headers(&self) -> HeaderMap {
        self.head.clone().unwrap_or_default()
    }

    /// The next whole events; `None` after the last.
    ///
    /// # Errors
    ///
    /// [`StreamEnd`] if the stream cannot go on.
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

    fn refused(&mut self, cause: RefusalCause) -> StreamEnd {
        self.link = None;
        match self.request.end_without(cause, None) {
            crate::relay_outcome::RelayOutcome::Refused(cause) => StreamEnd::Refused(cause),
            crate::relay_outcome::RelayOutcome::Answered(response) => StreamEnd::Failure(response),
        }
    }

    fn finish(&mut self) {
        self.request.life.apply(LifeEvent::Complete);
        if let Some(link) = self.link.take() {
            let first = EndpointId::clone(&link.chain.hops[0].id);
            self.context
                .pool()
                .borrow_mut()
                .put(&first, link.connection);
        }
    }

    /// Reads the next events of the present chain, and watches over its engines meanwhile.
    async fn read(&mut self) -> Result<Option<Bytes>, BreakCause> {
        let Some(link) = &mut self.link else {
            return Err(BreakCause::Broken(LinkError::not_written("no chain")));
        };
        let id = &self.request.facts.request;
        let watch = watch_chain(&self.context, &link.chain, id, self.last_sign);
        let chunk = tokio::select! {
            biased;
            chunk = link.connection.read_chunk() => chunk.map_err(BreakCause::Broken)?,
            engine = watch => return Err(BreakCause::Stalled(engine)),
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
            self.last_sign = self.context.now();
            self.request.life.apply(LifeEvent::Start);
        }
        Ok(Some(events))
    }

    /// Gives up the present chain; an error if the stream may not go on elsewhere.
    fn break_link(&mut self, cause: &BreakCause) -> Result<(), StreamEnd> {
        self.splitter.discard();
        self.request.life.lose_track();
        let chain = self.chain_text();
        self.link = None;
        if let BreakCause::Stalled(engine) = cause {
            self.avoided.push(EndpointId::clone(engine));
        }
        let may_resume = self.request.matched.route.repeat.is_repeatable()
            && self.runs < self.request.matched.route.attempts;
        let is_resumed = may_resume
            && self
                .context
                .take_repeat(&self.request.service, "broken-stream");
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

    /// Offers the request to a chain until one begins to answer.
    async fn offer(&mut self) -> Result<(), StreamEnd> {
        let mut unsent = 0;
        loop {
            let left = self.request.left(self.context.now());
            if left.is_zero() {
                return Err(self.late());
            }
            let Some(chain) = self.choose() else {
                return Err(self.refused(RefusalCause::NoEndpoint));
            };
            let tokens = self.tokens();
            let ticket = self.context.book().enter(&chain, tokens);
            let first = chain.hops[0].clone();
            let opened = open(
                &self.context,
                &first.id,
                first.address,
                LinkChoice::Idle,
                left,
            );
            let connection = match opened.await {
                Ok(connection) => connection,
                Err(error) => {
                    tracing::info!(request = %self.request.facts.request, engine = %first.id, %error, "connection not made");
                    let now = self.context.now();
                    self.context.fleet().borrow_mut().blame(&first.id, now);
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
            self.request.life.apply(LifeEvent::Offer);
            self.last_sign = self.context.now();
            let link = StreamLink {
                connection,
                chain,
                _ticket: ticket,
            };
            if self.begin(link, left).await? {
                return Ok(());
            }
        }
    }

    /// Sends the request over a link; `false` if it has to be offered again.
    async fn begin(&mut self, mut link: StreamLink, left: Duration) -> Result<bool, StreamEnd> {
        let facts = AttemptFacts {
            endpoint: &link.chain.hops[0].id,
            organisation: self.request.matched.organisation.as_ref(),
            left,
            last_event: self.splitter.last(),
            chain: Some(&link.chain),
        };
        let message = outbound(&self.context, &self.request, &facts);
        let id = Arc::clone(&self.request.facts.request);
        let dialect = self.context.dialect().clone();
        let answer = {
            let answer = exchange(&dialect, &mut link.connection, &message, &id);
            let watch = watch_chain(&self.context, &link.chain, &id, self.last_sign);
            let both = async {
                tokio::select! {
                    biased;
                    answer = answer => answer.map_err(BreakCause::Broken),
                    engine = watch => Err(BreakCause::Stalled(engine)),
                }
            };
            actix_rt::time::timeout(left, both).await
        };
        let (head, facts) = match answer {
            Err(_elapsed) => {
                self.request.life.lose_track();
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
            self.context.book().state(first, load.running, now);
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

    /// The engines stated that the request did not run.
    fn rejected(
        &mut self,
        link: StreamLink,
        head: &AnswerHead,
        facts: &AnswerFacts,
    ) -> Result<bool, StreamEnd> {
        self.request.life.apply(LifeEvent::Reject);
        self.runs -= 1;
        let first = EndpointId::clone(&link.chain.hops[0].id);
        let fleet = self.context.fleet().borrow();
        let named = facts.faulty.and_then(|address| fleet.at(address).cloned());
        drop(fleet);
        let faulty = named.unwrap_or(first);
        let may_repeat = self.offers < OFFER_LIMIT
            && self.context.take_repeat(&self.request.service, "rejected");
        tracing::info!(
            request = %self.request.facts.request,
            status = head.status.as_u16(),
            engine = %faulty,
            offers = self.offers,
            repeated = may_repeat,
            "engine stated not run"
        );
        self.avoided.push(faulty);
        drop(link);
        if may_repeat {
            Ok(false)
        } else {
            Err(self.refused(RefusalCause::Rejected))
        }
    }

    /// The engine answered with a failure of its own.
    async fn failed(&mut self, mut link: StreamLink, head: &AnswerHead) -> Result<bool, StreamEnd> {
        let body = link.connection.read_body(ANSWER_LIMIT).await;
        let body = match body {
            Ok(body) => body,
            Err(error) => {
                self.link = Some(link);
                self.break_link(&BreakCause::Broken(error))?;
                return Ok(false);
            }
        };
        if self.head.is_some() {
            // The answer has begun; an engine's failure cannot follow in it.
            let error = LinkError::written(&format!("status {}", head.status));
            self.link = Some(link);
            self.break_link(&BreakCause::Broken(error))?;
            return Ok(false);
        }
        let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::with_body(status, RelayBody::Whole(body));
        *response.headers_mut() = self.context.dialect().answer_headers(&head.headers);
        self.request.life.apply(LifeEvent::Start);
        self.request.life.apply(LifeEvent::Complete);
        Err(StreamEnd::Failure(response))
    }

    /// Tokens that the request will have taken by its end.
    fn tokens(&self) -> f64 {
        f64::from(self.request.facts.prompt_tokens) + self.answer_tokens()
    }

    fn answer_tokens(&self) -> f64 {
        let facts = &self.request.facts;
        let limit = f64::from(facts.answer_limit);
        let usual = f64::from(self.profile.usual_answer);
        let hint = facts.answer_hint.map(|hint| f64::from(hint) * HINT_FACTOR);
        hint.unwrap_or(usual).min(limit.max(1.0))
    }

    fn choose(&self) -> Option<EngineChain> {
        let now = self.context.now();
        let fleet = self.context.fleet().borrow();
        let graph = fleet.graph(
            &self.request.service,
            &self.profile,
            self.context.book(),
            self.context.instances(),
            &self.avoided,
            now,
        );
        let prompt = self.request.facts.prompt_tokens;
        let query = ChainQuery {
            prompt: f64::from(prompt),
            answer: self.answer_tokens(),
            crossing: self.profile.crossing_time(prompt).as_secs_f64(),
            crossing_step: CROSSING_STEP,
            run_limit: RUN_LIMIT,
            fill_limit: FILL_LIMIT,
        };
        graph.find(&query)
    }
}

/// Waits until an engine of the chain is known not to answer, and names it.
///
/// As long as events come, the relay starts a new watch with each.
async fn watch_chain<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    chain: &EngineChain,
    request: &str,
    last_sign: Instant,
) -> EndpointId
where
    Time: Clock,
    Dialect: FleetDialect,
{
    loop {
        let quiet = context.now().saturating_duration_since(last_sign);
        if quiet < QUIET_LIMIT {
            actix_rt::time::sleep(QUIET_LIMIT.saturating_sub(quiet)).await;
            continue;
        }
        if let Some(engine) = context.fleet().borrow().first_lost(chain) {
            return engine;
        }
        if quiet >= REPORT_AFTER
            && let Some(engine) = diagnose(context, chain, request).await
        {
            return engine;
        }
        actix_rt::time::sleep(QUIET_LIMIT).await;
    }
}

/// Asks the first engine what the request waits for; takes an engine that is lost out of use.
async fn diagnose<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    chain: &EngineChain,
    request: &str,
) -> Option<EndpointId>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    let first = &chain.hops[0];
    let report = context
        .reports()
        .fetch(context, &first.id, first.address)
        .await;
    let lost = match &report {
        None => Some(EndpointId::clone(&first.id)),
        Some(report) => {
            let stalled = report
                .stalled
                .iter()
                .find(|stalled| *stalled.request == *request);
            stalled.and_then(|stalled| {
                let hop = chain.hops.iter().find(|hop| hop.address == stalled.engine);
                hop.map(|hop| EndpointId::clone(&hop.id))
            })
        }
    };
    if let Some(engine) = &lost {
        let now = context.now();
        context.fleet().borrow_mut().blame(engine, now);
        tracing::info!(request, %engine, "engine does not answer; taken out of use");
    }
    lost
}
