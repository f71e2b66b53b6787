//! What a plan is asked for, and what it assumes of links.

use std::time::Duration;

use dandeliondeal_types::{EndpointId, FailureDomain, LayerRange, ModelId};

const KILOBYTE: u64 = 1_000;

/// Asks for a chain over a range of layers of one model.
#[derive(Clone, Debug)]
pub struct PlanQuery<'a> {
    /// The model.
    pub model: &'a ModelId,
    /// The layers to cover.
    pub range: LayerRange,
    /// Failure domains that stages may use; empty means all.
    pub domains: &'a [FailureDomain],
    /// Failure domain of the instance that will drive the chain.
    pub home: &'a FailureDomain,
    /// Endpoints that must not be used.
    pub avoid: &'a [EndpointId],
    /// Chooses among chains of equal cost, so that equal endpoints share the work.
    pub spread: u64,
}

/// Assumptions about links and steps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanSettings {
    /// One-way delay within a failure domain that no link names.
    pub local_delay: Duration,
    /// One-way delay between failure domains that no link names.
    pub remote_delay: Duration,
    /// Transfer rate of a link that the sheet does not name, in kilobytes a second.
    pub kilobytes_per_second: u64,
    /// Size of one position's activations on a link, in bytes.
    pub activation_bytes: u64,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            local_delay: Duration::from_micros(50),
            remote_delay: Duration::from_millis(1),
            kilobytes_per_second: 1_000_000,
            activation_bytes: 16 * KILOBYTE,
        }
    }
}

impl PlanSettings {
    /// Time of one step's way to an endpoint and back, without its work there.
    pub(crate) fn round_trip(&self, delay: Duration, kilobytes_per_second: u64) -> Duration {
        let bytes = 2 * self.activation_bytes;
        let microseconds = bytes.saturating_mul(KILOBYTE) / kilobytes_per_second.max(1);
        2 * delay + Duration::from_micros(microseconds)
    }
}
