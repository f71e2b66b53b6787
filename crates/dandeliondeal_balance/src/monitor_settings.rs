//! Settings of the endpoint monitor.

use std::time::Duration;

/// Settings of choice and health.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MonitorSettings {
    /// How endpoints are chosen.
    pub choice: ChoiceSettings,
    /// How health is judged.
    pub health: HealthSettings,
}

/// How endpoints are chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct ChoiceSettings {
    /// Endpoints that are compared for one request.
    pub samples: usize,
    /// Fewest endpoints of a group that this instance uses.
    pub subset_size: usize,
    /// Entry instances that should know each endpoint, on average.
    pub subset_cover: usize,
    /// Service times after which a report has faded towards what is usual.
    ///
    /// Calls that a report counted are answered after about one service time.
    pub report_fade: f64,
    /// Weight of the newest answer in the measured service time.
    pub service_weight: f64,
    /// Predicted completion of a suspected endpoint is multiplied by this.
    pub suspicion_penalty: f64,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        Self {
            samples: 3,
            subset_size: 16,
            subset_cover: 4,
            report_fade: 1.0,
            service_weight: 0.05,
            suspicion_penalty: 4.0,
        }
    }
}

/// How health is judged.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSettings {
    /// Failures in a row that raise suspicion.
    pub suspicion_run: u32,
    /// Failures in a row that count as failure.
    pub failure_run: u32,
    /// Share of failed calls that raises suspicion.
    pub suspicion_share: f64,
    /// Share of failed calls that counts as failure.
    pub failure_share: f64,
    /// Share of failed calls below which suspicion ends.
    pub recovery_share: f64,
    /// Calls in the window before a share is judged.
    pub least_calls: f64,
    /// Half-life of the window of calls.
    pub window_half_life: Duration,
    /// A call that is open for this many times the usual service time is overdue.
    pub overdue_factor: f64,
    /// No call is overdue before this.
    pub overdue_floor: Duration,
    /// Overdue calls without any answer that count as failure.
    pub overdue_calls: u32,
    /// Wait before a failed endpoint is tested; doubles with each failed test.
    pub retry_wait: Duration,
    /// Longest wait before a failed endpoint is tested.
    pub retry_wait_limit: Duration,
    /// Longest lag of the instance list.
    pub list_lag: Duration,
    /// Duration of the slow start; zero, the default, switches it off.
    pub ramp: Duration,
    /// Share of a group that may count as failed without proof that the endpoint is gone.
    pub failed_share: f64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            suspicion_run: 2,
            failure_run: 3,
            suspicion_share: 0.07,
            failure_share: 0.5,
            recovery_share: 0.03,
            least_calls: 8.0,
            window_half_life: Duration::from_secs(10),
            overdue_factor: 8.0,
            overdue_floor: Duration::from_secs(1),
            overdue_calls: 3,
            retry_wait: Duration::from_secs(2),
            retry_wait_limit: Duration::from_secs(30),
            list_lag: Duration::from_secs(30),
            ramp: Duration::ZERO,
            failed_share: 0.5,
        }
    }
}
