//! An endpoint as it registers itself.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{AcceleratorKind, EndpointId, FailureDomain, ServiceId};
use crate::layer_range::LayerRange;

/// What an endpoint says of itself in the platform's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint's id; mostly new with each start.
    pub id: EndpointId,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Where it serves.
    pub address: SocketAddr,
    /// Failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it finishes what it has and takes no new work.
    pub is_draining: bool,
    /// How much longer it is slow after its start.
    pub warm_up: Duration,
    /// Model engines: the kind of accelerator it runs on.
    pub accelerator: Option<AcceleratorKind>,
    /// Model engines: the layers it holds.
    pub layers: Option<LayerRange>,
    /// Counts the registration's writes since the start of the process.
    pub beat: u64,
    /// Start of the process in milliseconds of its own time of day; tells starts under one id
    /// apart.
    pub start_ms: u64,
}

impl EndpointRecord {
    /// Whether this was written before `other`, which is of the same id.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.start_ms, self.beat) < (other.start_ms, other.beat)
    }

    /// Whether this says the same as `other`, apart from the count of writes.
    pub fn says_same_as(&self, other: &Self) -> bool {
        let beat = other.beat;
        Self {
            beat,
            ..self.clone()
        } == *other
    }
}
