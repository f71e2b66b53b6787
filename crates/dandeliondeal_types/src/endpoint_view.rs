//! The state of endpoints that planning depends on.

use std::fmt::Debug;
use std::time::Duration;

use crate::id::EndpointId;

/// Reports which endpoints accept new sessions and how long a session would wait there.
pub trait EndpointView: Debug {
    /// Returns whether a new session may be assigned to the endpoint now.
    fn is_usable(&self, endpoint: &EndpointId) -> bool;

    /// Returns the expected wait before the first step of a new session starts.
    fn expected_wait(&self, endpoint: &EndpointId) -> Duration;
}

/// A view that reports every endpoint as usable and idle.
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
