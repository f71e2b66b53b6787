//! Settings of one entry instance.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{FailureDomain, InstanceId, Region};

use crate::SecretText;

/// All settings of an entry instance, one field per section of the settings file.
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
    /// Identity and location of the instance.
    pub instance: InstanceSettings,
    /// Addresses on which the instance listens.
    pub listen: ListenSettings,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Secrets for authentication of peers and operators.
    pub secrets: SecretSettings,
    /// Limits on requests from callers.
    pub limits: LimitSettings,
    /// Deadlines and timeouts of requests.
    pub requests: RequestSettings,
    /// Claims of non-repeatable requests.
    pub claims: ClaimSettings,
    /// Heartbeats between instances.
    pub membership: MembershipSettings,
    /// Rollout of sheet revisions.
    pub rollout: RolloutSettings,
    /// Planned shutdown of the instance.
    pub stop: StopSettings,
}

/// Identity and location of the instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet.
    pub id: InstanceId,
    /// Failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
    /// Region in which the instance runs.
    pub region: Region,
}

/// Listen addresses, one for each kind of client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators: health, metrics and status.
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

/// Connection to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Address of the platform's object API and instance list.
    pub address: SocketAddr,
    /// Maximum time to wait for the response to a call.
    pub timeout: Duration,
    /// Maximum duration of one watch call.
    pub watch_limit: Duration,
    /// Maximum calls per second of all instances together.
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

/// Secrets for authentication of peers and operators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SecretSettings {
    /// Shared secret of all instances.
    pub peer: SecretText,
    /// Secret that operators send.
    pub operator: SecretText,
}

/// Limits on requests from callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Maximum time for a caller to send the request headers.
    pub header_time: Duration,
    /// Maximum time for a caller to send the request body.
    pub body_time: Duration,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum number of open connections on the address for callers.
    pub connections: u64,
    /// Maximum number of requests of one organisation in flight at this instance.
    pub organisation_requests: u64,
    /// Maximum number of requests that wait for admission at this instance.
    pub queued_requests: u64,
    /// Maximum memory for the inputs that are retained for recovery, in bytes.
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

/// Deadlines and timeouts of requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestSettings {
    /// Deadline of a request that does not set one.
    pub deadline: Duration,
    /// Maximum deadline that a caller may set.
    pub deadline_limit: Duration,
    /// Timeout for connecting to an endpoint.
    pub connect_time: Duration,
    /// Minimum timeout of one step.
    pub step_floor: Duration,
    /// Maximum timeout of one step.
    pub step_limit: Duration,
    /// Lifetime of a session at an engine, renewed while the request runs.
    pub session_life: Duration,
    /// Time for which the state of a request can be queried after its end.
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
    /// Time for which a claim and its response are stored.
    pub retention: Duration,
    /// Maximum size of a response that is stored with a claim, in bytes.
    pub answer_bytes: u64,
    /// Number of claim shards, the same on every instance.
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
    /// Interval of heartbeats to one neighbour.
    pub heartbeat_interval: Duration,
    /// Maximum time to wait for the response to a heartbeat.
    pub heartbeat_timeout: Duration,
    /// Interval of reads of the platform's instance list.
    pub list_interval: Duration,
    /// Peer addresses to contact while the platform's instance list cannot be read.
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

/// Rollout of sheet revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutSettings {
    /// Number of instances in each failure domain that watch the platform for new revisions.
    pub watchers_per_domain: u64,
    /// Number of peers that confirm a new instance's revision while the platform is down.
    pub confirming_peers: u64,
    /// Interval of attempts to reach the platform.
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

/// Planned shutdown of the instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StopSettings {
    /// Time for which the load balancer may still send connections after readiness ends.
    pub balancer_lag: Duration,
    /// Maximum time for open requests to finish.
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
    /// Creates the settings from the identity and location of the instance.
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
