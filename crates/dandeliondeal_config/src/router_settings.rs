//! Settings of a router, an instance that relays requests to engines that run whole pipelines.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::InstanceSettings;
use crate::setting_table::{
    HOUR, MILLISECOND, MINUTE, SECOND, SettingField, SettingsTable, setting_field,
};

/// All settings of a router, one field per section of the settings file.
///
/// # Examples
///
/// ```
/// use dandeliondeal_config::{AllowanceSettings, RouterSettings};
///
/// let settings = RouterSettings {
///     allowances: AllowanceSettings { repeat_ratio: 0.1, ..AllowanceSettings::default() },
///     ..RouterSettings::default()
/// };
/// assert!(settings.allowances.repeat_ratio < 0.2);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouterSettings {
    /// Identity and location of the instance.
    pub instance: InstanceSettings,
    /// Addresses on which the router listens.
    pub endpoints: RouterListen,
    /// Connection to the platform's store.
    pub store: StoreSettings,
    /// Limits on repeated requests and on the time to stop.
    pub allowances: AllowanceSettings,
    /// Resources that the machine provides.
    pub machine: MachineSettings,
    /// Admission of requests by urgency.
    pub grading: GradingSettings,
}

/// Listen addresses of a router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterListen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the load balancer checks readiness.
    pub readiness: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address for requests that other instances hand over.
    pub handover: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
}

impl Default for RouterListen {
    fn default() -> Self {
        Self {
            callers: loopback(8080),
            readiness: loopback(8083),
            peers: loopback(8082),
            handover: loopback(8084),
            metrics: loopback(9464),
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Delay between changes that were received from the store and the next watch, so that one call
/// returns several changes.
pub const CHANGE_PAUSE: Duration = Duration::from_millis(350);
/// Mean delay before the first call after one without a response; it varies by half of it.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Time to read the objects of a kind over a new connection while the store works.
const LIST_TIME: Duration = Duration::from_millis(300);

/// Connection to the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Address of the platform's store.
    pub address: SocketAddr,
    /// Maximum time to wait for the response to a call.
    pub timeout: Duration,
    /// Maximum duration of one watch call.
    pub watch_limit: Duration,
    /// Time after a loss of its connections within which an instance has to know what has changed in
    /// the store.
    pub contact_window: Duration,
    /// Maximum reads per second of all instances together.
    pub reads_per_second: f64,
    /// Maximum writes per second of all instances together.
    pub writes_per_second: f64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            address: loopback(8090),
            timeout: Duration::from_millis(600),
            watch_limit: Duration::from_millis(1_500),
            contact_window: Duration::from_secs(3),
            reads_per_second: 1_000.0,
            writes_per_second: 200.0,
        }
    }
}

impl StoreSettings {
    /// Returns the longest time for which a change remains unknown after all open connections to the
    /// store stopped responding, while the store and new connections work.
    ///
    /// The next watch starts up to [`CHANGE_PAUSE`] later on such a connection. Only its timeout shows
    /// that the connection is dead; then the objects are read over a new one.
    pub fn max_staleness(&self) -> Duration {
        CHANGE_PAUSE + self.watch_limit + self.timeout + FIRST_BACKOFF * 3 / 2 + LIST_TIME
    }
}

/// Limits on repeated requests and on the time to stop.
#[derive(Clone, Debug, PartialEq)]
pub struct AllowanceSettings {
    /// Allowed repeats per request of a service, over all instances.
    pub repeat_ratio: f64,
    /// Repeats allowed in each window in addition to the ratio, over all instances.
    pub repeat_slack: f64,
    /// Window in which repeats are counted.
    pub repeat_window: Duration,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
}

impl Default for AllowanceSettings {
    fn default() -> Self {
        Self {
            repeat_ratio: 0.1,
            repeat_slack: 10.0,
            repeat_window: Duration::from_secs(10),
            grace: Duration::from_secs(8),
        }
    }
}

/// Resources that the machine provides.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineSettings {
    /// Maximum number of open file descriptors of the process.
    pub descriptors: u64,
    /// Processor time that the process may use, in cores.
    pub processor: f64,
    /// Memory that the process may use, in mebibytes.
    pub memory_mb: u64,
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self {
            descriptors: 1_024,
            processor: 1.0,
            memory_mb: 160,
        }
    }
}

/// Admission of requests by urgency.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GradingSettings {
    /// Which services are graded.
    pub mode: GradingMode,
}

/// Which services are graded, so that requests to them are admitted by urgency.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum GradingMode {
    /// The configuration in force decides.
    #[default]
    Auto,
    /// All services.
    On,
    /// No service.
    Off,
}

impl SettingsTable for RouterSettings {
    const FIELDS: &'static [SettingField<Self>] = &[
        setting_field!(
            instance.id,
            required,
            "Name of the instance, unique in the fleet."
        ),
        setting_field!(
            instance.failure_domain,
            required,
            "Failure domain in which the instance runs."
        ),
        setting_field!(
            instance.region,
            required,
            "Region in which the instance runs."
        ),
        setting_field!(endpoints.callers, required, "Address for callers."),
        setting_field!(
            endpoints.readiness,
            required,
            "Address at which the load balancer checks readiness."
        ),
        setting_field!(endpoints.peers, "Address for other instances."),
        setting_field!(
            endpoints.handover,
            "Address for requests that other instances hand over."
        ),
        setting_field!(endpoints.metrics, "Address at which metrics are served."),
        setting_field!(store.address, required, "Address of the platform's store."),
        setting_field!(
            store.timeout,
            MILLISECOND * 10,
            MINUTE,
            "Maximum time to wait for the response to a call."
        ),
        setting_field!(
            store.watch_limit,
            MILLISECOND * 100,
            MINUTE,
            "Maximum duration of one watch call. It ends, with the timeout and pauses, within the \
             contact window."
        ),
        setting_field!(
            store.contact_window,
            SECOND,
            MINUTE,
            "Time after a loss of connections within which changes in the store are known."
        ),
        setting_field!(
            store.reads_per_second,
            1.0,
            1e6,
            "Maximum reads per second of all instances together."
        ),
        setting_field!(
            store.writes_per_second,
            1.0,
            1e6,
            "Maximum writes per second of all instances together."
        ),
        setting_field!(
            allowances.repeat_ratio,
            0.0,
            10.0,
            "Allowed repeats per request of a service, over all instances."
        ),
        setting_field!(
            allowances.repeat_slack,
            0.0,
            1e6,
            "Repeats allowed in each window in addition to the ratio, over all instances."
        ),
        setting_field!(
            allowances.repeat_window,
            SECOND,
            HOUR,
            "Window in which repeats are counted."
        ),
        setting_field!(
            allowances.grace,
            SECOND,
            HOUR,
            "Time from the stop signal until the process is killed."
        ),
        setting_field!(
            machine.descriptors,
            64,
            1_048_576,
            "Maximum number of open file descriptors of the process."
        ),
        setting_field!(
            machine.processor,
            0.001,
            1_024.0,
            "Processor time that the process may use, in cores. Instances with most of it serve as \
             hubs."
        ),
        setting_field!(
            machine.memory_mb,
            16,
            1_048_576,
            "Memory that the process may use, in mebibytes; an eighth of it holds bodies of responses."
        ),
        setting_field!(
            grading.mode,
            "Which services admit requests by urgency: auto (where the configuration has requests \
             that differ in urgency or objective), on (all) or off (none)."
        ),
    ];

    fn validate(&self) -> Result<(), [&'static str; 4]> {
        if self.store.max_staleness() > self.store.contact_window {
            return Err([
                "store",
                "watch_limit",
                "too long: a connection that stops responding is noticed only after the contact \
                 window",
                "with the timeout and 0.8 s for pauses and a list at most the contact window",
            ]);
        }
        Ok(())
    }
}
