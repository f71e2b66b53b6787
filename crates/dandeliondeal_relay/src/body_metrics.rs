//! Metrics of the memory that response bodies take while they are read.

use dandeliondeal_http::BodyMemory;
use prometheus::{Error, IntGauge, Registry};

use crate::relay_metrics::register_gauge;

/// Memory of bodies.
#[derive(Clone, Debug)]
pub struct BodyMetrics {
    bytes: IntGauge,
    denials: IntGauge,
}

impl BodyMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric definition is invalid or duplicate.
    pub fn new(registry: &Registry) -> Result<Self, Error> {
        let bytes = register_gauge(
            registry,
            "dandeliondeal_body_bytes",
            "Bytes of response bodies that are being read.",
        )?;
        let denials = register_gauge(
            registry,
            "dandeliondeal_body_denials",
            "Response bodies that were given up for want of memory.",
        )?;
        Ok(Self { bytes, denials })
    }

    /// Updates the metrics.
    pub fn update(&self, memory: &BodyMemory) {
        let to_metric = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.bytes.set(to_metric(memory.held() as u64));
        self.denials.set(to_metric(memory.denials()));
    }
}
