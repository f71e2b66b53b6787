//! What a deployment's words say, and how answers and orders are put into its words.
//!
//! The relay works on these facts only. An adapter for a deployment implements
//! [`RequestDialect`] and [`FleetDialect`]; it holds no state and takes no decision.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use dandeliondeal_http::OutboundRequest;
use dandeliondeal_layout::EngineChain;
use dandeliondeal_route::RouteConfig;
use dandeliondeal_types::{
    EndpointId, EndpointRecord, FencingNumber, LayerRange, OrganisationId, RequestId,
};
use derive_more::{Display, Error};

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default)]
pub struct CallerFacts {
    /// Id of this attempt of the caller; every attempt has its own.
    pub request: RequestId,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The key that names the caller's organisation.
    pub key: Option<Arc<str>>,
    /// The last event that the caller has of a stream that it resumes.
    pub last_event: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_limit: u32,
    /// The caller's estimate of the tokens of the answer; right in the middle, often far off.
    pub answer_hint: Option<u32>,
}

/// What an attempt at an endpoint says beside the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts<'attempt> {
    /// The endpoint that is meant; any other refuses.
    pub endpoint: &'attempt EndpointId,
    /// The organisation that holds the caller's key.
    pub organisation: Option<&'attempt OrganisationId>,
    /// Time left.
    pub left: Duration,
    /// The last event that was passed on of a stream that is resumed.
    pub last_event: Option<u64>,
    /// The chain that runs the request.
    pub chain: Option<&'attempt EngineChain>,
    /// Urgency from 0, the highest; engines admit more urgent requests first.
    pub urgency: u8,
}

/// Load that an endpoint states with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default)]
pub struct AnswerFacts {
    /// The request that it answers.
    pub request: Option<RequestId>,
    /// Whether it bears the endpoint's signature.
    pub is_signed: bool,
    /// Whether the endpoint states that the request did not run and will not.
    pub is_not_run: bool,
    /// The engine of the chain that could not do its part.
    pub faulty: Option<SocketAddr>,
    /// Load that the endpoint states.
    pub load: Option<StatedLoad>,
    /// Whether the body is encoded, so that it is not what the endpoint signed.
    pub is_encoded: bool,
}

/// An order to hold a range of layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerOrder {
    /// Address of the engine.
    pub address: SocketAddr,
    /// The engine.
    pub engine: EndpointId,
    /// The layers.
    pub range: LayerRange,
    /// Start of the engine's process, as it registered it.
    pub start_ms: u64,
    /// Orders that the engine has begun so far; it refuses if there were others since.
    pub order_count: u64,
    /// Fencing number of the lease under which the order is given.
    pub fence: FencingNumber,
}

/// What an engine says to an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum OrderReply {
    /// It has begun.
    #[display("begun")]
    Begun,
    /// The state holds already.
    #[display("done")]
    Done,
    /// The order count differs, or the order does not fit the engine's state.
    #[display("conflict")]
    Conflict,
    /// An order with a higher fencing number came before.
    #[display("fenced")]
    Fenced,
    /// It refuses for another reason.
    #[display("refused")]
    Refused,
}

/// A request that waits for a lost engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StalledRequest {
    /// The request.
    pub request: RequestId,
    /// The engine that it waits for.
    pub engine: SocketAddr,
}

/// What an engine reports of itself; some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Orders that it has begun.
    pub order_count: u64,
    /// The layers it holds.
    pub layers: Option<LayerRange>,
    /// Memory that running requests hold, in tokens times layers.
    pub used: f64,
    /// Memory for requests, in tokens times layers.
    pub total: f64,
    /// Requests that run.
    pub running: u32,
    /// Factor on its times; above 1 it is slow.
    pub slowness: f64,
    /// Requests that wait for a lost engine.
    pub stalled: Vec<StalledRequest>,
}

impl EngineReport {
    /// Share of its memory that running requests hold, from 0 to 1.
    pub fn fill(&self) -> f64 {
        if self.total > 0.0 {
            (self.used / self.total).clamp(0.0, 1.0)
        } else {
            0.0
        }
    }
}

/// Why something in a deployment's words cannot be read.
#[derive(Clone, Debug, Display, Error)]
#[display("{subject}: {problem}")]
pub struct DecodeError {
    subject: Arc<str>,
    problem: Arc<str>,
}

impl DecodeError {
    /// Says what is wrong with `subject`.
    pub fn new<Problem>(subject: &str, problem: &Problem) -> Self
    where
        Problem: std::fmt::Display + ?Sized,
    {
        Self {
            subject: subject.into(),
            problem: problem.to_string().into(),
        }
    }
}

/// Requests and answers in a deployment's words.
pub trait RequestDialect: Clone + Debug + 'static {
    /// Reads the head of a caller's request.
    fn read_caller(&self, headers: &HeaderMap) -> CallerFacts;

    /// Writes the head of an attempt out of the caller's.
    fn write_attempt(&self, caller: &HeaderMap, attempt: &AttemptFacts<'_>) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;

    /// Copies the headers of an endpoint's answer that go to the caller.
    fn answer_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Writes into an answer of this instance when to come back, and which request it is about.
    fn write_refusal(&self, request: &str, wait: Option<Duration>, headers: &mut HeaderMap);
}

/// Configuration, registrations, orders and reports in a deployment's words.
pub trait FleetDialect: Clone + Debug + 'static {
    /// Kind of the store's objects that hold the configuration.
    const CONFIG_KIND: &'static str;
    /// Kind of the store's objects under which endpoints register.
    const ENDPOINT_KIND: &'static str;

    /// Reads an object of [`Self::CONFIG_KIND`]; `None` for one that is not the configuration.
    ///
    /// # Errors
    ///
    /// Says what cannot be read.
    fn read_config(&self, name: &str, body: &str) -> Result<Option<RouteConfig>, DecodeError>;

    /// Reads an object of [`Self::ENDPOINT_KIND`].
    ///
    /// # Errors
    ///
    /// Says what cannot be read.
    fn read_endpoint(&self, name: &str, body: &str) -> Result<EndpointRecord, DecodeError>;

    /// Writes an order.
    fn write_order(&self, order: &LayerOrder) -> OutboundRequest;

    /// Writes the order to move a request that an engine runs first to another chain, which
    /// starts with the same engine.
    fn write_move(&self, request: &str, chain: &EngineChain) -> OutboundRequest;

    /// Reads the answer to an order.
    fn read_order(&self, status: StatusCode) -> OrderReply;

    /// Writes the question for an engine's report.
    fn write_report(&self, engine: SocketAddr) -> OutboundRequest;

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// Says what cannot be read.
    fn read_report(&self, engine: &str, body: &[u8]) -> Result<EngineReport, DecodeError>;
}
