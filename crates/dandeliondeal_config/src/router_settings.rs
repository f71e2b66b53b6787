//! The settings of a router: an instance that relays requests to engines that run whole chains.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::InstanceSettings;
use crate::setting_table::{
    HOUR, MILLISECOND, MINUTE, SECOND, SettingField, SettingsTable, setting_field,
};

/// Everything that a router learns from its settings file.
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
    /// Who and where the instance is.
    pub instance: InstanceSettings,
    /// Where it listens.
    pub endpoints: RouterListen,
    /// The platform's store.
    pub store: StoreSettings,
    /// What the operators allow.
    pub allowances: AllowanceSettings,
    /// What the machine gives.
    pub machine: MachineSettings,
}

/// Where a router listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterListen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the balancer asks whether the instance is ready.
    pub readiness: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
}

impl Default for RouterListen {
    fn default() -> Self {
        Self {
            callers: loopback(8080),
            readiness: loopback(8083),
            peers: loopback(8082),
            metrics: loopback(9464),
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// How the platform's store is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Longest wait for the answer to a call.
    pub timeout: Duration,
    /// Longest time that one watch stays open.
    pub watch_limit: Duration,
    /// Reads a second that all instances together may make.
    pub reads_per_second: f64,
    /// Writes a second that all instances together may make.
    pub writes_per_second: f64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            address: loopback(8090),
            timeout: Duration::from_millis(600),
            watch_limit: Duration::from_secs(3),
            reads_per_second: 1_000.0,
            writes_per_second: 200.0,
        }
    }
}

/// What the operators allow.
#[derive(Clone, Debug, PartialEq)]
pub struct AllowanceSettings {
    /// Repeats allowed for each request of a service, over all instances.
    pub repeat_ratio: f64,
    /// Repeats allowed beside the ratio in each window, over all instances.
    pub repeat_slack: f64,
    /// Window in which repeats are counted.
    pub repeat_window: Duration,
    /// Time from the signal to stop until the process is killed.
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

/// What the machine gives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineSettings {
    /// File descriptors of the process.
    pub descriptors: u64,
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self { descriptors: 1_024 }
    }
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
            "Failure domain it runs in."
        ),
        setting_field!(instance.region, required, "Region it runs in."),
        setting_field!(endpoints.callers, required, "Address for callers."),
        setting_field!(
            endpoints.readiness,
            required,
            "Address at which the balancer asks whether the instance is ready."
        ),
        setting_field!(endpoints.peers, "Address for other instances."),
        setting_field!(endpoints.metrics, "Address of the metrics."),
        setting_field!(store.address, required, "Address of the platform's store."),
        setting_field!(
            store.timeout,
            MILLISECOND * 10,
            MINUTE,
            "Longest wait for the answer to a call."
        ),
        setting_field!(
            store.watch_limit,
            MILLISECOND * 100,
            MINUTE,
            "Longest time that one watch stays open."
        ),
        setting_field!(
            store.reads_per_second,
            1.0,
            1e6,
            "Reads a second that all instances together may make."
        ),
        setting_field!(
            store.writes_per_second,
            1.0,
            1e6,
            "Writes a second that all instances together may make."
        ),
        setting_field!(
            allowances.repeat_ratio,
            0.0,
            10.0,
            "Repeats allowed for each request of a service, over all instances."
        ),
        setting_field!(
            allowances.repeat_slack,
            0.0,
            1e6,
            "Repeats allowed beside the ratio in each window, over all instances."
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
            "Time from the signal to stop until the process is killed."
        ),
        setting_field!(
            machine.descriptors,
            64,
            1_048_576,
            "File descriptors of the process."
        ),
    ];
}
