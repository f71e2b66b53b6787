//! Load report of an endpoint.

use std::time::{Duration, Instant};

/// An endpoint's report of its own load, which may be out of date.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Calls or sessions at the endpoint, from all entry instances together.
    pub sessions: u32,
    /// Time of one step or call, if the endpoint reports it.
    pub service_time: Option<Duration>,
    /// Estimated time at which the endpoint measured its load.
    pub measured_at: Instant,
}
