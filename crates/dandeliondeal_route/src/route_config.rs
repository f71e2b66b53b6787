//! The routes, services, organisations and limits of one version of the configuration.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_layout::EngineProfile;
use dandeliondeal_types::{OrganisationId, RouteId, ServiceId};

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatClass {
    /// May run any number of times.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A stream of events that may be continued by another run after the last event passed on.
    ResumableStream,
    /// A stream of events that runs at most once.
    Stream,
}

impl RepeatClass {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Whether a request may run again after a run of unknown outcome.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }
}

/// The part of a route's requests that goes to one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// Its weight beside the other shares.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub id: RouteId,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Start of the paths; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Where the requests go.
    pub split: Vec<ServiceShare>,
    /// What may be repeated.
    pub repeat: RepeatClass,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer is in time; for streams until the first event.
    pub latency_objective: Duration,
    /// Most endpoints to which one request may be sent.
    pub attempts: u32,
    /// Urgency from 0, the highest.
    pub urgency: u8,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Streams: the longest pause between events that is in time.
    pub pause_objective: Option<Duration>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub id: ServiceId,
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Connections that one endpoint accepts from all callers together.
    pub connection_limit: u32,
    /// Model engines: their times and sizes.
    pub engine: Option<Arc<EngineProfile>>,
}

/// One organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrganisationRule {
    /// Name of the organisation.
    pub id: OrganisationId,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
    /// Its urgency, which goes before that of the route.
    pub urgency: Option<u8>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take over the head of a request.
    pub header_time: Duration,
    /// Longest time that a caller may keep a connection idle.
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

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteConfig {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The services.
    pub services: Vec<ServiceRule>,
    /// The organisations; empty where no request needs a key.
    pub organisations: Vec<OrganisationRule>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}
