//! The result of planning: a chain of endpoints.

use std::time::Duration;

use dandeliondeal_types::{EndpointId, LayerRange};

/// One stage of a chain: an endpoint and the layers that it is to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanStage {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers to run there; all or part of what the endpoint holds.
    pub range: LayerRange,
}

/// Endpoints whose ranges cover the planned layers in order, without gap or overlap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanChain {
    /// The stages in order of layers.
    pub stages: Vec<PlanStage>,
    /// Expected time of one token, with the wait for a first step.
    pub cost: Duration,
}

impl PlanChain {
    /// Whether the stages cover `range` in order, without gap or overlap.
    pub fn covers(&self, range: LayerRange) -> bool {
        let mut next = range.start;
        for stage in &self.stages {
            if stage.range.start != next || stage.range.is_empty() {
                return false;
            }
            next = stage.range.end;
        }
        next == range.end
    }
}
