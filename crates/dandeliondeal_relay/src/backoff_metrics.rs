//! Metrics of the pauses that endpoints ask for.

use prometheus::{Error, IntCounter, IntGauge, Registry};

use crate::relay_metrics::{register_counter, register_gauge};

/// Metrics of the pauses that endpoints ask for.
#[derive(Clone, Debug)]
pub struct BackoffMetrics {
    /// Number of endpoints whose pause is not over.
    pub endpoints: IntGauge,
    /// Number of answers that asked for a pause.
    pub requested: IntCounter,
    /// Number of requests that were sent to an endpoint within its pause; anything but 0 is a fault.
    pub breaches: IntCounter,
}

impl BackoffMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric definition is invalid or duplicate.
    pub fn new(registry: &Registry) -> Result<Self, Error> {
        Ok(Self {
            endpoints: register_gauge(
                registry,
                "dandeliondeal_backed_off_endpoints",
                "Endpoints that asked for a pause that is not over.",
            )?,
            requested: register_counter(
                registry,
                "dandeliondeal_endpoint_backoffs_total",
                "Answers of endpoints that asked for a pause.",
            )?,
            breaches: register_counter(
                registry,
                "dandeliondeal_backoff_breaches_total",
                "Requests sent to an endpoint within the pause that it asked for.",
            )?,
        })
    }
}
