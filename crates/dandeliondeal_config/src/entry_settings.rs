//! The settings of one entry instance.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{FailureDomain, InstanceId, Region};

use crate::SecretText;

/// Everything that a process learns from its settings file.
///
/// # Examples
///
/// ```
/// use dandeliondeal_config::{EntrySettings, LimitSettings};
///
/// let settings = EntrySettings {
///     limits: LimitSettings { connections: 256, ..LimitSettings::default() },
///     ..EntrySettings::default()
/// };
/// assert_eq!(settings.limits.connections, 256);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EntrySettings {
    /// Who and where the instance is.
    pub instance: InstanceSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// How it reaches the platform.
    pub platform: PlatformSettings,
    /// What peers and operators have to show.
    pub secrets: SecretSettings,
    /// Bounds on what callers may send.
    pub limits: LimitSettings,
    /// Times of a request.
    pub requests: RequestSettings,
    /// Claims of non-repeatable requests.
    pub claims: ClaimSettings,
    /// Heartbeats between instances.
    pub membership: MembershipSettings,
    /// How revisions of the sheet come into force.
    pub rollout: RolloutSettings,
    /// The planned stop.
    pub stop: StopSettings,
}

/// Who and where the instance is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet.
    pub id: InstanceId,
    /// Failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Region it runs in.
    pub region: Region,
}

/// Where the instance listens; each kind of client has its own address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators: health, metrics, status.
    pub operators: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self {
            callers: loopback(8080),
            operators: loopback(8081),
            peers: loopback(8082),
        }
    }
}

/// How the instance reaches the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Address of the object API and the instance list.
    pub address: SocketAddr,
    /// Longest wait for the answer to a call.
    pub timeout: Duration,
    /// Longest time that one watch stays open.
    pub watch_limit: Duration,
    /// Calls a second that all instances together may make.
    pub fleet_calls_per_second: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: loopback(8090),
            timeout: Duration::from_secs(2),
            watch_limit: Duration::from_secs(5),
            fleet_calls_per_second: 1_000,
        }
    }
}

/// What peers and operators have to show.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SecretSettings {
    /// Secret that all instances share.
    pub peer: SecretText,
    /// Secret of the operators.
    pub operator: SecretText,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Longest time that a caller may take to send the headers.
    pub header_time: Duration,
    /// Longest time that a caller may take to send the body.
    pub body_time: Duration,
    /// Largest body in bytes.
    pub body_bytes: u64,
    /// Open connections on the callers' address.
    pub connections: u64,
    /// Requests of one organisation in flight at this instance.
    pub organisation_requests: u64,
    /// Requests that may wait for admission at this instance.
    pub queued_requests: u64,
    /// Memory for the inputs kept for recovery, in bytes.
    pub recovery_bytes: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            header_time: Duration::from_secs(5),
            body_time: Duration::from_secs(10),
            body_bytes: 1_048_576,
            connections: 1_024,
            organisation_requests: 512,
            queued_requests: 2_048,
            recovery_bytes: 16_777_216,
        }
    }
}

/// Times of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestSettings {
    /// Deadline of a request that names none.
    pub deadline: Duration,
    /// Longest deadline that a caller may ask for.
    pub deadline_limit: Duration,
    /// Time to make a connection to an endpoint.
    pub connect_time: Duration,
    /// Shortest timeout of one step.
    pub step_floor: Duration,
    /// Longest timeout of one step.
    pub step_limit: Duration,
    /// Life of a session at an engine, renewed while the request runs.
    pub session_life: Duration,
    /// Time for which the state of a request can be asked after its end.
    pub state_retention: Duration,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            deadline: Duration::from_mins(1),
            deadline_limit: Duration::from_mins(10),
            connect_time: Duration::from_millis(500),
            step_floor: Duration::from_millis(50),
            step_limit: Duration::from_secs(5),
            session_life: Duration::from_secs(10),
            state_retention: Duration::from_mins(10),
        }
    }
}

/// Claims of non-repeatable requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Time for which a claim and its answer are kept.
    pub retention: Duration,
    /// Largest answer kept with a claim, in bytes.
    pub answer_bytes: u64,
    /// Number of shards, the same on every instance.
    pub shards: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(24),
            answer_bytes: 16_384,
            shards: 16,
        }
    }
}

/// Heartbeats between instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Time between two heartbeats to one neighbour.
    pub heartbeat_interval: Duration,
    /// Longest wait for the answer to a heartbeat.
    pub heartbeat_timeout: Duration,
    /// Time between two reads of the platform's instance list.
    pub list_interval: Duration,
    /// Peer addresses to ask while the platform's list cannot be read.
    pub seeds: Vec<SocketAddr>,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(1),
            heartbeat_timeout: Duration::from_secs(1),
            list_interval: Duration::from_secs(5),
            seeds: Vec::new(),
        }
    }
}

/// How revisions of the sheet come into force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutSettings {
    /// Instances in each failure domain that watch the platform for new revisions.
    pub watchers_per_domain: u64,
    /// Peers that a new instance asks while the platform is down.
    pub confirming_peers: u64,
    /// Time between two tries to reach the platform.
    pub retry_interval: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            watchers_per_domain: 2,
            confirming_peers: 3,
            retry_interval: Duration::from_secs(1),
        }
    }
}

/// The planned stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StopSettings {
    /// Time for which the balancer may still send connections after readiness ends.
    pub balancer_lag: Duration,
    /// Longest time that open requests may take to finish.
    pub drain_limit: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            balancer_lag: Duration::from_secs(5),
            drain_limit: Duration::from_mins(10),
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

impl InstanceSettings {
    /// Names the instance and its place.
    pub fn new<Text>(id: Text, failure_domain: Text, region: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self {
            id: id.into(),
            failure_domain: failure_domain.into(),
            region: region.into(),
        }
    }
}
