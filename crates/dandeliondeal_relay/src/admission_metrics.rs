//! Metrics of the admission to graded services.

use prometheus::{Error, GaugeVec, Histogram, HistogramOpts, IntCounterVec, Opts, Registry};

/// Upper bounds of the buckets of waits in seconds, up to half of the longest usual objective.
const WAIT_BUCKETS: [f64; 7] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8];

/// Metrics of the admission to graded services.
#[derive(Clone, Debug)]
pub struct AdmissionMetrics {
    /// Number of decisions by service, urgency and decision.
    pub decisions: IntCounterVec,
    /// Time for which requests waited for a decision or for room, in seconds.
    pub wait: Histogram,
    /// Share of the requests that is admitted, by service and rank.
    pub share: GaugeVec,
    /// Part of a service's capacity that is committed.
    pub fill: GaugeVec,
}

impl AdmissionMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric definition is invalid or duplicate.
    pub fn new(registry: &Registry) -> Result<Self, Error> {
        let options = Opts::new(
            "dandeliondeal_admission_decisions_total",
            "Decisions on requests to graded services.",
        );
        let decisions = IntCounterVec::new(options, &["service", "urgency", "decision"])?;
        registry.register(Box::new(decisions.clone()))?;
        let options = HistogramOpts::new(
            "dandeliondeal_admission_wait_seconds",
            "Time for which requests to graded services waited for a decision or for room.",
        );
        let wait = Histogram::with_opts(options.buckets(WAIT_BUCKETS.to_vec()))?;
        registry.register(Box::new(wait.clone()))?;
        let options = Opts::new(
            "dandeliondeal_admission_share",
            "Share of the requests to a graded service that is admitted, by rank.",
        );
        let share = GaugeVec::new(options, &["service", "rank"])?;
        registry.register(Box::new(share.clone()))?;
        let options = Opts::new(
            "dandeliondeal_service_fill",
            "Part of the capacity of a graded service that is committed.",
        );
        let fill = GaugeVec::new(options, &["service"])?;
        registry.register(Box::new(fill.clone()))?;
        Ok(Self {
            decisions,
            wait,
            share,
            fill,
        })
    }
}
