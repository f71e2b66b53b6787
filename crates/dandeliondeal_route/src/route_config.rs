//! Routes, services, organisations and limits of one configuration version.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_layout::EngineProfile;
use dandeliondeal_types::{OrganisationId, RouteId, ServiceId};

/// Whether a route's requests may run more than once, and whether their answers are streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatClass {
    /// May run any number of times; the answer is not a stream.
    Safe,
    /// May run at most once; the answer is not a stream.
    Unsafe,
    /// Event stream that another run may continue after the last forwarded event.
    ResumableStream,
    /// Event stream of a request that may run at most once.
    Stream,
}

impl RepeatClass {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Returns whether a request may run again if the outcome of an earlier run is unknown.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight of this share relative to the other shares of the route.
    pub weight: u32,
}

/// Configuration of one route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub id: RouteId,
    /// Host name that requests have to match.
    pub host: Arc<str>,
    /// Prefix that request paths have to match; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Services that the requests are distributed to.
    pub service_shares: Vec<ServiceShare>,
    /// Whether requests may run more than once, and whether their answers are streams.
    pub repeat_class: RepeatClass,
    /// Maximum time until the final answer.
    pub timeout: Duration,
    /// Target time until the answer, or until the first event of a stream.
    pub latency_objective: Duration,
    /// Maximum number of endpoints to which one request may be sent.
    pub attempts: u32,
    /// Urgency of requests; 0 is the most urgent.
    pub urgency: u8,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// Target for the maximum pause between events of a stream.
    pub pause_objective: Option<Duration>,
}

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub id: ServiceId,
    /// Path of the health check on each endpoint.
    pub health_path: Arc<str>,
    /// Maximum number of connections that one endpoint accepts from all callers together.
    pub connection_limit: u32,
    /// Sizes and speeds of the engines, if the service runs a model.
    pub engine: Option<Arc<EngineProfile>>,
}

/// Configuration of one organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrganisationRule {
    /// Name of the organisation.
    pub id: OrganisationId,
    /// API keys of the organisation.
    pub keys: Vec<Arc<str>>,
    /// Urgency of the organisation's requests; takes precedence over that of the route.
    pub urgency: Option<u8>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time that a caller may take to send the head of a request.
    pub header_time: Duration,
    /// Maximum time that a caller may keep a connection idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(75),
        }
    }
}

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteConfig {
    /// Increases with each change, but not necessarily by 1.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// All organisations; if empty, no request needs an API key.
    pub organisations: Vec<OrganisationRule>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}
