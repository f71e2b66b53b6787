//! The registration of an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{AcceleratorKind, EndpointId, FailureDomain, ServiceId};
use crate::layer_range::LayerRange;

/// The registration that an endpoint writes to the platform's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointRecord {
    /// Id of the endpoint; usually new for each process start.
    pub id: EndpointId,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Address at which it serves requests.
    pub address: SocketAddr,
    /// Failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it finishes its current work and accepts no new work.
    pub is_draining: bool,
    /// Remaining time for which the endpoint runs at reduced speed after its start.
    pub warm_up: Duration,
    /// Accelerator kind, for model engines.
    pub accelerator: Option<AcceleratorKind>,
    /// Loaded layers, for model engines.
    pub layers: Option<LayerRange>,
    /// Number of times that the registration was written since the process start.
    pub write_count: u64,
    /// Time of the process start by the endpoint's own wall clock, in milliseconds.
    ///
    /// Distinguishes several processes that use the same id.
    pub started_at_ms: u64,
}

impl EndpointRecord {
    /// Returns whether this was written before `other`, a record with the same id.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.started_at_ms, self.write_count) < (other.started_at_ms, other.write_count)
    }

    /// Returns whether all fields except [`Self::write_count`] equal those of `other`.
    pub fn has_same_content(&self, other: &Self) -> bool {
        let write_count = other.write_count;
        Self {
            write_count,
            ..self.clone()
        } == *other
    }
}
