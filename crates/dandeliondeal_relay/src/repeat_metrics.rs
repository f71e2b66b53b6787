//! Metrics of repeated attempts and their budget.

use prometheus::{Error, GaugeVec, IntCounterVec, Opts, Registry};

/// Repeats by service.
#[derive(Clone, Debug)]
pub struct RepeatMetrics {
    /// Number of attempts beyond the first of a request, by service and cause.
    pub sent: IntCounterVec,
    /// Number of repeats that the budget denied.
    pub denied: IntCounterVec,
    /// Number of repeats left in the budget.
    pub saved: GaugeVec,
}

impl RepeatMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric definition is invalid or duplicate.
    pub fn new(registry: &Registry) -> Result<Self, Error> {
        let options = Opts::new(
            "dandeliondeal_relay_repeats_total",
            "Attempts beyond the first of a request, by service and cause.",
        );
        let sent = IntCounterVec::new(options, &["service", "cause"])?;
        registry.register(Box::new(sent.clone()))?;
        let options = Opts::new(
            "dandeliondeal_repeat_denials_total",
            "Repeats that the budget did not allow, by service.",
        );
        let denied = IntCounterVec::new(options, &["service"])?;
        registry.register(Box::new(denied.clone()))?;
        let options = Opts::new(
            "dandeliondeal_saved_repeats",
            "Repeats that are left in the budget, by service.",
        );
        let saved = GaugeVec::new(options, &["service"])?;
        registry.register(Box::new(saved.clone()))?;
        Ok(Self {
            sent,
            denied,
            saved,
        })
    }
}
