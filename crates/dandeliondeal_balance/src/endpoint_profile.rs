//! Static properties of an endpoint, and the possible results of a call to it.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{AcceleratorKind, EndpointId};

/// Properties of an endpoint that are known from the sheet.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointProfile {
    /// Identifier of the endpoint.
    pub id: EndpointId,
    /// Name of its group. Endpoints of a group are interchangeable: they run the same service or
    /// the same layer range.
    pub group: Arc<str>,
    /// Accelerator kind. Times measured on one kind are used for unmeasured endpoints of that kind.
    pub accelerator: AcceleratorKind,
    /// Calls or sessions that the endpoint runs at once.
    pub capacity: u32,
    /// One-way network delay to the endpoint.
    pub link_delay: Duration,
    /// Expected time of one call at an idle endpoint, used until it has been measured.
    pub service_time: Duration,
}

/// Result of a call to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// A complete, valid answer arrived.
    Answered,
    /// No usable answer arrived.
    Failed(FailureSignal),
    /// The caller cancelled the call, which does not affect the endpoint's health.
    Cancelled,
}

/// Cause of a failed call, as far as the caller can tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureSignal {
    /// The connection was refused: no process is listening. Load does not cause this.
    Refused,
    /// No answer arrived in time, or the connection broke. Load may cause this.
    NoAnswer,
    /// The answer violates the protocol.
    BadAnswer,
    /// The endpoint reported that it is at capacity. It is alive.
    Busy,
    /// The endpoint reported that it is leaving.
    Leaving,
}
