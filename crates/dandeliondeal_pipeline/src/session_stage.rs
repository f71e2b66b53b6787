//! One stage of a running session.

use std::time::Instant;

use dandeliondeal_types::{EndpointId, LayerRange, Lineage, Position};

use crate::{InputLog, StepEstimate};

/// A range of layers of a session, and the endpoint that runs it.
#[derive(Clone, Debug)]
pub struct SessionStage {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers that the endpoint runs.
    pub range: LayerRange,
    /// Number of the current run over this range; a restart at position 0 gets a higher one.
    pub lineage: Lineage,
    /// First position that has not been answered yet in this lineage.
    pub next_position: Position,
    /// Inputs from the previous stage; unused by the first stage, which reads the tokens.
    pub log: InputLog,
    /// Estimated step time.
    pub estimate: StepEstimate,
    /// When the last call that extends the session's lifetime was sent to the endpoint.
    pub last_contact: Option<Instant>,
    /// Whether the endpoint is leaving and the stage has neither moved nor been kept there.
    pub is_leaving: bool,
}

impl SessionStage {
    /// Creates a stage that has not run any position.
    pub fn new(endpoint: EndpointId, range: LayerRange, lineage: Lineage) -> Self {
        Self {
            endpoint,
            range,
            lineage,
            next_position: 0,
            log: InputLog::default(),
            estimate: StepEstimate::default(),
            last_contact: None,
            is_leaving: false,
        }
    }

    /// Restarts the range at position 0 under another lineage.
    pub(crate) fn restart(&mut self, lineage: Lineage) {
        self.lineage = lineage;
        self.next_position = 0;
    }
}
