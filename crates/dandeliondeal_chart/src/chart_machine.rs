//! A state machine that runs one chart.

use std::sync::Arc;

use crate::{ChartError, ChartLabel, ChartTable};

/// The current state and the table of its transitions.
#[derive(Clone, Debug)]
pub struct ChartMachine<State, Event> {
    table: Arc<ChartTable<State, Event>>,
    state: State,
}

impl<State, Event> ChartMachine<State, Event>
where
    State: ChartLabel,
    Event: ChartLabel,
{
    /// Creates a machine in the chart's initial state.
    pub fn new(table: Arc<ChartTable<State, Event>>) -> Self {
        let state = table.initial();
        Self { table, state }
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Applies an event and returns the new state.
    ///
    /// # Errors
    ///
    /// Returns [`ChartError::Refused`] if the chart refuses the event; the state does not change.
    pub fn apply(&mut self, event: Event) -> Result<State, ChartError> {
        self.state = self.table.next(self.state, event)?;
        Ok(self.state)
    }
}
