//! What planning has to know of endpoints.

use std::fmt::Debug;
use std::time::Duration;

use crate::id::EndpointId;

/// Tells, for planning, which endpoints take new work and how long they let it wait.
pub trait EndpointView: Debug {
    /// Whether the endpoint may be given a new session now.
    fn is_usable(&self, endpoint: &EndpointId) -> bool;

    /// Expected wait before a new session's first step starts.
    fn expected_wait(&self, endpoint: &EndpointId) -> Duration;
}

/// A view in which every endpoint is usable and idle.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleView;

impl EndpointView for IdleView {
    fn is_usable(&self, _endpoint: &EndpointId) -> bool {
        true
    }

    fn expected_wait(&self, _endpoint: &EndpointId) -> Duration {
        Duration::ZERO
    }
}
