//! Settings of an admission gate.

use std::time::Duration;

/// Settings of an admission gate.
#[derive(Clone, Debug, PartialEq)]
pub struct GateSettings {
    /// Part of the capacity at which the service counts as full.
    pub target_fill: f64,
    /// Part of the latency objective within which the open calls of a service whose endpoints queue
    /// are to be answered.
    pub objective_share: f64,
    /// Part of the demand of each rank that is always admitted.
    pub floor_share: f64,
    /// Part of the remaining objective for which a request may wait.
    pub wait_share: f64,
    /// Lowest share at which a request that is not admitted may wait.
    pub min_wait_share: f64,
    /// Time for which the supply is computed.
    pub horizon: Duration,
    /// Usual age of news when it arrives.
    pub news_age: Duration,
    /// Growth between two reports from which the recent rate counts instead of the mean.
    pub growth_factor: f64,
    /// Part of the capacity that is kept from the least urgent requests; it is not used if all have
    /// the same urgency.
    pub reserve_share: f64,
    /// Age from which news is not used.
    pub news_limit: Duration,
    /// Expected time between news, until it is measured.
    pub news_interval: Duration,
    /// Time constant of the arrival rates.
    pub demand_window: Duration,
    /// Minimum time between two releases of requests that wait for room.
    pub release_interval: Duration,
    /// Retry delay where few requests are refused.
    pub min_retry_delay: Duration,
    /// Retry delay where all requests are refused.
    pub max_retry_delay: Duration,
    /// Maximum retry delay, as a part of the time that the caller has left.
    pub retry_share: f64,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            target_fill: 0.9,
            objective_share: 0.5,
            floor_share: 0.1,
            wait_share: 0.5,
            min_wait_share: 0.5,
            horizon: Duration::from_millis(500),
            news_age: Duration::from_millis(300),
            growth_factor: 1.5,
            reserve_share: 0.04,
            news_limit: Duration::from_millis(1_200),
            news_interval: Duration::from_millis(200),
            demand_window: Duration::from_millis(500),
            release_interval: Duration::from_millis(100),
            min_retry_delay: Duration::from_secs(2),
            max_retry_delay: Duration::from_secs(8),
            retry_share: 0.3,
            max_waiting: 1_024,
        }
    }
}

impl GateSettings {
    /// Returns the maximum retry delay of a caller that has `time_left`, for
    /// [`GateRequest::max_retry_delay`](crate::GateRequest::max_retry_delay).
    pub fn retry_limit(&self, time_left: Duration) -> Duration {
        self.max_retry_delay
            .min(time_left.mul_f64(self.retry_share))
    }
}
