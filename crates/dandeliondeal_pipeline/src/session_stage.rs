//! One stage of a running session.

use std::time::Instant;

use dandeliondeal_types::{EndpointId, LayerRange, Lineage, Position};

use crate::{InputLog, StepEstimate};

/// An endpoint that runs a range of layers for a session.
#[derive(Clone, Debug)]
pub struct SessionStage {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers it runs.
    pub range: LayerRange,
    /// The attempt at this range.
    pub lineage: Lineage,
    /// Positions whose answers have been taken in, in this lineage.
    pub applied: Position,
    /// Inputs from the stage before; unused for the first stage, which reads the tokens.
    pub log: InputLog,
    /// Measured step times.
    pub estimate: StepEstimate,
    /// When the endpoint was last sent something that prolongs the session.
    pub touched: Option<Instant>,
    /// Whether the endpoint is leaving and the session has not been moved yet.
    pub is_leaving: bool,
}

impl SessionStage {
    /// Makes a stage that has run nothing.
    pub fn new(endpoint: EndpointId, range: LayerRange, lineage: Lineage) -> Self {
        Self {
            endpoint,
            range,
            lineage,
            applied: 0,
            log: InputLog::default(),
            estimate: StepEstimate::default(),
            touched: None,
            is_leaving: false,
        }
    }

    /// Starts the range again from position 0 under another lineage.
    pub(crate) fn restart(&mut self, lineage: Lineage) {
        self.lineage = lineage;
        self.applied = 0;
    }
}
