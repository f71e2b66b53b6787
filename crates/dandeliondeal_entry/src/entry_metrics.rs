//! Prometheus metrics of an entry instance.

use std::time::Duration;

use dandeliondeal_types::{Outcome, RequestStep};
use prometheus::{
    Encoder, Error, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Upper bounds of the histogram buckets in seconds.
const TIME_BUCKETS: [f64; 14] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Metrics of an entry instance.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    registry: Registry,
    requests: IntCounterVec,
    parts: HistogramVec,
    /// Number of tokens delivered to callers.
    pub tokens: IntCounter,
    /// Number of requests without an outcome.
    pub open_requests: IntGauge,
    /// Revision of the sheet in force.
    pub revision: IntGauge,
    /// Number of requests that wait for admission.
    pub admission_waiting: IntGauge,
    endpoints: IntGaugeVec,
    recoveries: IntCounterVec,
    dropped_answers: IntCounterVec,
}

impl EntryMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns the registry's error if two metrics have the same name.
    pub fn new() -> Result<Self, Error> {
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                Opts::new("dandeliondeal_requests_total", "Requests by outcome"),
                &["outcome"],
            )?,
            parts: HistogramVec::new(
                HistogramOpts::new("dandeliondeal_part_seconds", "Time of a request by part")
                    .buckets(TIME_BUCKETS.to_vec()),
                &["part"],
            )?,
            tokens: IntCounter::new("dandeliondeal_tokens_total", "Tokens delivered")?,
            open_requests: IntGauge::new("dandeliondeal_open_requests", "Requests in flight")?,
            revision: IntGauge::new("dandeliondeal_sheet_revision", "Revision in force")?,
            admission_waiting: IntGauge::new(
                "dandeliondeal_admission_waiting",
                "Requests that wait for a place",
            )?,
            endpoints: IntGaugeVec::new(
                Opts::new("dandeliondeal_endpoints", "Endpoints by state of health"),
                &["state"],
            )?,
            recoveries: IntCounterVec::new(
                Opts::new("dandeliondeal_recoveries_total", "Recoveries by way"),
                &["way"],
            )?,
            dropped_answers: IntCounterVec::new(
                Opts::new(
                    "dandeliondeal_dropped_answers_total",
                    "Answers dropped by reason",
                ),
                &["reason"],
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), Error> {
        self.registry.register(Box::new(self.requests.clone()))?;
        self.registry.register(Box::new(self.parts.clone()))?;
        self.registry.register(Box::new(self.tokens.clone()))?;
        self.registry
            .register(Box::new(self.open_requests.clone()))?;
        self.registry.register(Box::new(self.revision.clone()))?;
        self.registry
            .register(Box::new(self.admission_waiting.clone()))?;
        self.registry.register(Box::new(self.endpoints.clone()))?;
        self.registry.register(Box::new(self.recoveries.clone()))?;
        self.registry
            .register(Box::new(self.dropped_answers.clone()))
    }

    /// Returns the registry, to which other components add metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Sets the number of endpoints in a health state.
    pub fn set_endpoints(&self, state: &str, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.endpoints.with_label_values(&[state]).set(count);
    }

    /// Counts a request that has ended, by outcome.
    pub fn count_outcome(&self, outcome: Outcome) {
        self.requests
            .with_label_values(&[&outcome.to_string()])
            .inc();
    }

    /// Records the duration of one part of a request.
    pub fn observe_part(&self, step: RequestStep, time: Duration) {
        self.parts
            .with_label_values(&[&step.to_string()])
            .observe(time.as_secs_f64());
    }

    /// Counts recoveries by their method.
    pub fn count_recoveries(&self, way: &str, count: u64) {
        self.recoveries.with_label_values(&[way]).inc_by(count);
    }

    /// Counts dropped answers by reason.
    pub fn count_dropped(&self, reason: &str, count: u64) {
        self.dropped_answers
            .with_label_values(&[reason])
            .inc_by(count);
    }

    /// Returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn render(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
