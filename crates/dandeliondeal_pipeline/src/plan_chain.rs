//! The result of planning: a chain of endpoints that covers a range of layers.

use std::time::Duration;

use dandeliondeal_types::{EndpointId, LayerRange};

/// One stage of a chain: an endpoint and the layers that it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanStage {
    /// Endpoint that runs the stage.
    pub endpoint: EndpointId,
    /// Layers that the stage runs; all or part of those that the endpoint serves.
    pub range: LayerRange,
}

/// Stages that cover the planned layers in order, without gap or overlap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanChain {
    /// Stages in the order of their layers.
    pub stages: Vec<PlanStage>,
    /// Expected time of one token, including the wait for the first step at each endpoint.
    pub cost: Duration,
}

impl PlanChain {
    /// Returns whether the stages cover `range` in order, without gap or overlap.
    pub fn covers(&self, range: LayerRange) -> bool {
        let mut next_layer = range.start;
        for stage in &self.stages {
            if stage.range.start != next_layer || stage.range.is_empty() {
                return false;
            }
            next_layer = stage.range.end;
        }
        next_layer == range.end
    }
}
