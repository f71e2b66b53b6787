//! View of the engines that planning uses for one request.

use std::time::Duration;

use dandeliondeal_types::{EndpointId, EndpointView};

use crate::engine_use::EngineUse;

/// Combines the session counts of this instance with the health and load from `Monitor`.
#[derive(Debug)]
pub struct PlanningView<'view, Monitor> {
    engine_use: &'view EngineUse,
    monitor: &'view Monitor,
}

impl<'view, Monitor> PlanningView<'view, Monitor> {
    /// Creates a view from both sources.
    pub fn new(engine_use: &'view EngineUse, monitor: &'view Monitor) -> Self {
        Self {
            engine_use,
            monitor,
        }
    }
}

impl<Monitor> EndpointView for PlanningView<'_, Monitor>
where
    Monitor: EndpointView,
{
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        self.engine_use.is_usable(endpoint) && self.monitor.is_usable(endpoint)
    }

    fn expected_wait(&self, endpoint: &EndpointId) -> Duration {
        self.engine_use.expected_wait(endpoint) + self.monitor.expected_wait(endpoint)
    }
}
