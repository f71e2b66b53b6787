//! What planning sees of the engines for one request.

use std::time::Duration;

use dandeliondeal_types::{EndpointId, EndpointView};

use crate::engine_use::EngineUse;

/// Joins the sessions of this instance with what `Board` knows of health and load.
#[derive(Debug)]
pub struct PlanningView<'view, Board> {
    engines: &'view EngineUse,
    board: &'view Board,
}

impl<'view, Board> PlanningView<'view, Board> {
    /// Joins both.
    pub fn new(engines: &'view EngineUse, board: &'view Board) -> Self {
        Self { engines, board }
    }
}

impl<Board> EndpointView for PlanningView<'_, Board>
where
    Board: EndpointView,
{
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        self.engines.is_usable(endpoint) && self.board.is_usable(endpoint)
    }

    fn expected_wait(&self, endpoint: &EndpointId) -> Duration {
        self.engines.expected_wait(endpoint) + self.board.expected_wait(endpoint)
    }
}
