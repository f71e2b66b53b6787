//! Counters and latency histograms of a router.

use std::time::Duration;

use prometheus::{
    Encoder, Error, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::admission_metrics::AdmissionMetrics;
use crate::backoff_metrics::BackoffMetrics;
use crate::body_metrics::BodyMetrics;
use crate::repeat_metrics::RepeatMetrics;

/// Upper bounds of the latency buckets in seconds, around the latency objectives of callers.
const LATENCY_BUCKETS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 20.0];

/// Metrics of one router.
#[derive(Clone, Debug)]
pub struct RelayMetrics {
    registry: Registry,
    /// Number of ended requests by service and outcome.
    pub outcomes: IntCounterVec,
    /// Time until the complete response, or until the first event of a stream, in seconds.
    pub latency: HistogramVec,
    /// Repeated attempts and their budget.
    pub repeats: RepeatMetrics,
    /// Number of checks of streams without events, by what was found.
    pub silences: IntCounterVec,
    /// Number of runs of streams that broke, by how far the response had come.
    pub stream_breaks: IntCounterVec,
    /// Runs that were given up before their answers were complete, by the stage of the answer.
    pub runs_given_up: IntCounterVec,
    /// Memory that bodies take while they are read.
    pub bodies: BodyMetrics,
    /// Number of failed calls to the platform's store, by kind and by what failed.
    pub store_failures: IntCounterVec,
    /// Number of orders to engines by reply.
    pub orders: IntCounterVec,
    /// Version of the active configuration.
    pub config_version: IntGauge,
    /// Number of the store's restores from a copy, as its answers state it.
    pub store_era: IntGauge,
    /// Number of parts of prompts that are refused because they crash engines.
    pub quarantined_parts: IntGauge,
    /// Number of services whose endpoints this instance cannot reach.
    pub lost_services: IntGauge,
    /// Number of requests that were handed over to other instances, by how that ended.
    pub handovers: IntCounterVec,
    /// Number of notices of lost engines by evidence and direction.
    pub loss_notices: IntCounterVec,
    /// Number of endpoints that state a request limit.
    pub limited_endpoints: IntGauge,
    /// Number of requests in progress.
    pub open_requests: IntGauge,
    /// Number of log lines dropped under load.
    pub dropped_logs: IntCounter,
    /// Admission to graded services.
    pub admission: AdmissionMetrics,
    /// Pauses that endpoints ask for.
    pub backoffs: BackoffMetrics,
}

impl RelayMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric definition is invalid or duplicate.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, Error>(counters)
        };
        let outcomes = counters(
            "dandeliondeal_relay_outcomes_total",
            "Ended requests by service and outcome.",
            &["service", "outcome"],
        )?;
        let silences = counters(
            "dandeliondeal_relay_silences_total",
            "Checks of streams without events, by what was found.",
            &["finding"],
        )?;
        let runs_given_up = counters(
            "dandeliondeal_runs_given_up_total",
            "Runs that were given up before their answers were complete.",
            &["stage"],
        )?;
        let stream_breaks = counters(
            "dandeliondeal_stream_breaks_total",
            "Runs of streams that broke, by how far the response had come.",
            &["stage"],
        )?;
        let store_failures = counters(
            "dandeliondeal_store_failures_total",
            "Calls to the platform's store that failed, by kind and by what failed.",
            &["kind", "cause"],
        )?;
        let orders = counters(
            "dandeliondeal_orders_total",
            "Orders to engines by reply.",
            &["reply"],
        )?;
        let options = HistogramOpts::new(
            "dandeliondeal_relay_latency_seconds",
            "Time until the whole answer, or until the first event of a stream.",
        );
        let latency = HistogramVec::new(options.buckets(LATENCY_BUCKETS.to_vec()), &["service"])?;
        registry.register(Box::new(latency.clone()))?;
        let counter = |name, help| register_counter(&registry, name, help);
        let dropped_logs = counter(
            "dandeliondeal_dropped_log_lines_total",
            "Log lines that were left out under load.",
        )?;
        let gauge = |name, help| register_gauge(&registry, name, help);
        let config_version = gauge(
            "dandeliondeal_config_version",
            "Version of the configuration in force.",
        )?;
        let store_era = gauge("dandeliondeal_store_era", "Era that the store states.")?;
        let lost_services = gauge(
            "dandeliondeal_lost_services",
            "Services whose endpoints this instance cannot reach.",
        )?;
        let handovers = counters(
            "dandeliondeal_handovers_total",
            "Requests handed over to other instances by result.",
            &["result"],
        )?;
        let loss_notices = counters(
            "dandeliondeal_loss_notices_total",
            "Notices of lost engines by evidence and direction.",
            &["evidence", "direction"],
        )?;
        let quarantined_parts = gauge(
            "dandeliondeal_quarantined_parts",
            "Parts of prompts that are refused because they crash engines.",
        )?;
        let limited_endpoints = gauge(
            "dandeliondeal_limited_endpoints",
            "Endpoints that state a request limit.",
        )?;
        let open_requests = gauge("dandeliondeal_open_requests", "Requests that are open.")?;
        Ok(Self {
            admission: AdmissionMetrics::new(&registry)?,
            backoffs: BackoffMetrics::new(&registry)?,
            bodies: BodyMetrics::new(&registry)?,
            repeats: RepeatMetrics::new(&registry)?,
            registry,
            outcomes,
            latency,
            silences,
            stream_breaks,
            runs_given_up,
            store_failures,
            orders,
            config_version,
            store_era,
            quarantined_parts,
            lost_services,
            handovers,
            loss_notices,
            limited_endpoints,
            open_requests,
            dropped_logs,
        })
    }

    /// Records the latency of a request.
    pub fn observe_latency(&self, service: &str, latency: Duration) {
        self.latency
            .with_label_values(&[service])
            .observe(latency.as_secs_f64());
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Creates and registers a counter.
pub(crate) fn register_counter(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<IntCounter, Error> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

pub(crate) fn register_gauge(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<IntGauge, Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}
