//! Queries for a chain, and the settings of the planner.

use std::time::Duration;

use dandeliondeal_types::{EndpointId, FailureDomain, LayerRange, ModelId};

/// The decimal prefix kilo.
const KILO: u64 = 1_000;

/// Query for a chain over a range of layers of one model.
#[derive(Clone, Debug)]
pub struct PlanQuery<'a> {
    /// Id of the model.
    pub model: &'a ModelId,
    /// Layers to cover.
    pub range: LayerRange,
    /// Failure domains whose endpoints may be used; empty means all.
    pub failure_domains: &'a [FailureDomain],
    /// Failure domain of the instance that runs the request.
    pub instance_domain: &'a FailureDomain,
    /// Endpoints that must not be used.
    pub avoid: &'a [EndpointId],
    /// Selects among chains of equal cost; distinct values distribute load over equal endpoints.
    pub tie_breaker: u64,
}

/// Settings of the planner: the activation size, and defaults for links not named in the sheet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanSettings {
    /// One-way delay within a failure domain, if the sheet names no link for it.
    pub local_delay: Duration,
    /// One-way delay between two failure domains, if the sheet names no link between them.
    pub remote_delay: Duration,
    /// Transfer rate of a link that the sheet does not name, in kilobytes per second.
    pub kilobytes_per_second: u64,
    /// Size of the activations of one position on a link, in bytes.
    pub activation_bytes: u64,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            local_delay: Duration::from_micros(50),
            remote_delay: Duration::from_millis(1),
            kilobytes_per_second: 1_000_000,
            activation_bytes: 16 * KILO,
        }
    }
}

impl PlanSettings {
    /// Returns the network time of one step to an endpoint and back, without the computation.
    pub(crate) fn round_trip(&self, delay: Duration, kilobytes_per_second: u64) -> Duration {
        let bytes = 2 * self.activation_bytes;
        // Bytes divided by kilobytes per second are milliseconds.
        let microseconds = bytes.saturating_mul(KILO) / kilobytes_per_second.max(1);
        2 * delay + Duration::from_micros(microseconds)
    }
}
