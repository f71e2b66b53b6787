//! Conversion between the relay's types and the wire format of a deployment.
//!
//! The relay itself works only on these types. The adapter of a deployment implements
//! [`RequestDialect`] and [`FleetDialect`]; it is stateless and makes no routing decisions.

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
    EndpointId, EndpointRecord, FencingNumber, LayerRange, OrganisationId, PromptPartId, RequestId,
};
use derive_more::{Display, Error};

/// Values from the headers of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct CallerFacts {
    /// Id of this request attempt; the caller uses a new id for each attempt.
    pub request: RequestId,
    /// Time that the caller waits for the response.
    pub deadline: Option<Duration>,
    /// API key that identifies the caller's organisation.
    pub key: Option<Arc<str>>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
    /// Caller's estimate of the number of output tokens; right at the median, but often far off.
    pub output_tokens_hint: Option<u32>,
    /// Parts of the prompt that other requests may share, in order; the adapter limits their number.
    pub shared_parts: Vec<PromptPartId>,
    /// Part of the prompt that belongs to this request or its session.
    pub own_part: Option<PromptPartId>,
}

/// Values that an attempt at an endpoint adds to the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts<'attempt> {
    /// Endpoint that is addressed; any other endpoint refuses the request.
    pub endpoint: &'attempt EndpointId,
    /// Organisation that owns the caller's key.
    pub organisation: Option<&'attempt OrganisationId>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Id of the last event that was delivered, if the stream is resumed.
    pub last_event: Option<u64>,
    /// Chain of engines that runs the request.
    pub chain: Option<&'attempt EngineChain>,
    /// Urgency from 0, the highest; engines admit more urgent requests first.
    pub urgency: u8,
}

/// Load that an endpoint reports with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
}

/// Values from the headers of an endpoint's response.
#[expect(
    clippy::struct_excessive_bools,
    reason = "headers that are independent of one another"
)]
#[derive(Clone, Debug, Default)]
pub struct ResponseFacts {
    /// Id of the request that the response belongs to.
    pub request: Option<RequestId>,
    /// Whether the response carries the endpoint's signature.
    pub is_signed: bool,
    /// Whether the endpoint states that it has not executed the request and will not do so.
    pub is_not_run: bool,
    /// Address of the chain's engine that caused the failure.
    pub faulty_engine: Option<SocketAddr>,
    /// Load that the endpoint reports.
    pub load: Option<ReportedLoad>,
    /// Number of requests a second that the endpoint takes from all instances together; `None` if it
    /// states none, or a value that is no number or negative.
    pub request_limit: Option<f64>,
    /// Time for which the endpoint wants no further requests from this instance; `None` if it asks
    /// for none, or if its value is invalid.
    pub backoff: Option<Duration>,
    /// Whether the endpoint states that it leaves and is to get no further requests.
    pub is_leaving: bool,
    /// Whether the body has a content encoding, so that it differs from what the endpoint signed.
    pub is_encoded: bool,
}

/// Order to an engine to hold a range of layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerOrder {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Id of the engine.
    pub engine: EndpointId,
    /// Layers that the engine has to hold.
    pub range: LayerRange,
    /// Start time of the engine's process in milliseconds, as it registered.
    pub start_ms: u64,
    /// Number of orders that the engine has started; it refuses the order if its own count differs.
    pub order_count: u64,
    /// Fencing number of the lease under which the order is sent.
    pub fencing_number: FencingNumber,
}

/// Reply of an engine to an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum OrderReply {
    /// The engine has started to carry out the order.
    #[display("begun")]
    Started,
    /// The engine already holds the layers.
    #[display("done")]
    Done,
    /// The order count differs, or the order does not fit the engine's state.
    #[display("conflict")]
    Conflict,
    /// The engine has already received an order with a higher fencing number.
    #[display("fenced")]
    Fenced,
    /// The engine refuses the order for another reason.
    #[display("refused")]
    Refused,
}

/// Request that waits for a failed engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StalledRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Address of the engine that it waits for.
    pub engine: SocketAddr,
}

/// Status report of an engine; its values are a few hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Whether the engine is carrying out an order.
    pub is_busy: bool,
    /// Number of orders that the engine has started.
    pub order_count: u64,
    /// Layers that the engine holds.
    pub layers: Option<LayerRange>,
    /// Memory that running requests use, in tokens times layers.
    pub memory_used: f64,
    /// Memory available for requests, in tokens times layers.
    pub memory_total: f64,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait to be admitted.
    pub waiting: u32,
    /// Factor on the engine's usual times; values above 1 mean that it is slow.
    pub slowness: f64,
    /// Requests that wait for a failed engine.
    pub stalled: Vec<StalledRequest>,
}

impl EngineReport {
    /// Returns the share of the request memory that is in use, from 0 to 1.
    pub fn memory_fill(&self) -> f64 {
        if self.memory_total > 0.0 {
            (self.memory_used / self.memory_total).clamp(0.0, 1.0)
        } else {
            0.0
        }
    }
}

/// Error for a message or object that cannot be decoded.
#[derive(Clone, Debug, Display, Error)]
#[display("{subject}: {problem}")]
pub struct DecodeError {
    subject: Arc<str>,
    problem: Arc<str>,
}

impl DecodeError {
    /// Creates an error that describes the problem with `subject`.
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

/// Wire format of a deployment for requests and responses.
pub trait RequestDialect: Clone + Debug + 'static {
    /// Reads the headers of a caller's request.
    fn read_caller(&self, headers: &HeaderMap) -> CallerFacts;

    /// Builds the headers of an attempt from the caller's headers.
    fn write_attempt(&self, caller: &HeaderMap, attempt: &AttemptFacts<'_>) -> HeaderMap;

    /// Reads the headers of an endpoint's response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseFacts;

    /// Copies the headers of an endpoint's response that are passed to the caller.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds the retry delay and the request id to a response that this instance makes itself.
    fn write_refusal(&self, request: &str, wait: Option<Duration>, headers: &mut HeaderMap);
}

/// Wire format of a deployment for configuration, registrations, orders and reports.
pub trait FleetDialect: Clone + Debug + 'static {
    /// Kind of the store objects that hold the configuration.
    const CONFIG_KIND: &'static str;
    /// Kind of the store objects with which endpoints register.
    const ENDPOINT_KIND: &'static str;

    /// Reads an object of [`Self::CONFIG_KIND`]; returns `None` if it is not the configuration.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the object cannot be decoded.
    fn read_config(&self, name: &str, body: &str) -> Result<Option<RouteConfig>, DecodeError>;

    /// Reads an object of [`Self::ENDPOINT_KIND`].
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the object cannot be decoded.
    fn read_endpoint(&self, name: &str, body: &str) -> Result<EndpointRecord, DecodeError>;

    /// Builds the request that carries an order.
    fn write_order(&self, order: &LayerOrder) -> OutboundRequest;

    /// Builds the request that moves a running request to another chain with the same first engine.
    fn write_move_order(&self, request: &str, chain: &EngineChain) -> OutboundRequest;

    /// Reads an engine's reply to an order.
    fn read_order_reply(&self, status: StatusCode) -> OrderReply;

    /// Reads the body of a conflict; returns the address of the engine at fault if it names one.
    fn read_conflict(&self, body: &[u8]) -> Option<SocketAddr>;

    /// Builds the request for an engine's report.
    fn write_report_request(&self, engine: SocketAddr) -> OutboundRequest;

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the report cannot be decoded.
    fn read_report(&self, engine: &str, body: &[u8]) -> Result<EngineReport, DecodeError>;
}
