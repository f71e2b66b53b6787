//! An endpoint's own report of its load.

use std::time::{Duration, Instant};

/// What an endpoint said of its load. It was true some time ago.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Calls or sessions at the endpoint, from all entry instances together.
    pub sessions: u32,
    /// Time of one step or call, if the endpoint tells.
    pub service_time: Option<Duration>,
    /// When it was true, as far as known.
    pub measured: Instant,
}
