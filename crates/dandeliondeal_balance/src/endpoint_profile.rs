//! What is known of an endpoint before any work, and how a call at it ended.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{AcceleratorKind, EndpointId};

/// What is known of an endpoint from the sheet.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointProfile {
    /// The endpoint.
    pub id: EndpointId,
    /// Endpoints of one group can stand in for each other: same service, or same layer range.
    pub group: Arc<str>,
    /// Accelerator kind; measured times of one kind stand in for unmeasured endpoints of it.
    pub accelerator: AcceleratorKind,
    /// Calls or sessions that it runs at once.
    pub capacity: u32,
    /// One-way delay to it.
    pub link_delay: Duration,
    /// Expected time of one call at an idle endpoint, until measured.
    pub service_time: Duration,
}

/// How a call at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// A whole, valid answer.
    Answered,
    /// No useful answer.
    Failed(FailureSignal),
    /// The caller gave up; this says nothing of the endpoint.
    Cancelled,
}

/// What a failed call says of the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureSignal {
    /// No connection: the process is not there. Load does not cause this.
    Refused,
    /// No answer in time, or the connection broke. Load may cause this.
    NoAnswer,
    /// An answer that the protocol does not allow.
    BadAnswer,
    /// The endpoint says that it is full. It is alive.
    Busy,
    /// The endpoint says that it is leaving.
    Leaving,
}
