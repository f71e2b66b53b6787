//! Settings of the endpoint monitor.

use std::time::Duration;

/// Settings of endpoint selection and health.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MonitorSettings {
    /// Settings of endpoint selection.
    pub selection: SelectionSettings,
    /// Settings of endpoint health.
    pub health: HealthSettings,
}

/// Settings of endpoint selection.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectionSettings {
    /// Number of endpoints that are compared for one request.
    pub samples: usize,
    /// Minimum number of endpoints of a group that this instance uses.
    pub subset_size: usize,
    /// Average number of entry instances whose subset contains a given endpoint.
    pub instances_per_endpoint: usize,
    /// Time constant of the decay of a load report, in service times.
    ///
    /// Calls counted in a report are answered after about one service time.
    pub report_time_constant: f64,
    /// Weight of the newest answer in the measured service time.
    pub service_time_weight: f64,
    /// Factor on the predicted completion time of a suspected endpoint.
    pub suspicion_penalty: f64,
}

impl Default for SelectionSettings {
    fn default() -> Self {
        Self {
            samples: 3,
            subset_size: 16,
            instances_per_endpoint: 4,
            report_time_constant: 1.0,
            service_time_weight: 0.05,
            suspicion_penalty: 4.0,
        }
    }
}

/// Settings of endpoint health.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    /// Consecutive failures that make an endpoint suspected.
    pub suspicion_run: u32,
    /// Consecutive failures that count as a failed endpoint.
    pub failure_run: u32,
    /// Share of failed calls that makes an endpoint suspected.
    pub suspicion_share: f64,
    /// Share of failed calls that counts as a failed endpoint.
    pub failure_share: f64,
    /// Maximum share of failed calls at which suspicion ends.
    pub recovery_share: f64,
    /// Minimum number of calls in the window before the share of failed calls is evaluated.
    pub min_window_calls: f64,
    /// Half-life of the calls in the window.
    pub window_half_life: Duration,
    /// Multiple of the average service time after which an open call is overdue.
    pub overdue_factor: f64,
    /// Minimum time before a call is overdue.
    pub min_overdue_time: Duration,
    /// Number of overdue calls without any answer that counts as a failed endpoint.
    pub overdue_calls: u32,
    /// Wait before a failed endpoint is tested. It doubles with each failed test.
    pub test_delay: Duration,
    /// Maximum wait before a failed endpoint is tested.
    pub max_test_delay: Duration,
    /// Maximum lag of the instance list.
    pub list_lag: Duration,
    /// Duration of the slow start; zero, the default, disables it.
    pub slow_start: Duration,
    /// Maximum share of a group that may count as failed on indirect evidence.
    ///
    /// A refused connection is direct evidence and has no such limit.
    pub max_failed_share: f64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            suspicion_run: 2,
            failure_run: 3,
            suspicion_share: 0.07,
            failure_share: 0.5,
            recovery_share: 0.03,
            min_window_calls: 8.0,
            window_half_life: Duration::from_secs(10),
            overdue_factor: 8.0,
            min_overdue_time: Duration::from_secs(1),
            overdue_calls: 3,
            test_delay: Duration::from_secs(2),
            max_test_delay: Duration::from_secs(30),
            list_lag: Duration::from_secs(30),
            slow_start: Duration::ZERO,
            max_failed_share: 0.5,
        }
    }
}
