//! One running instance of a chart.

use std::sync::Arc;

use crate::{ChartError, ChartLabel, ChartTable};

/// A state and the table that moves it.
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
    /// Starts in the chart's initial state.
    pub fn new(table: Arc<ChartTable<State, Event>>) -> Self {
        let state = table.initial();
        Self { table, state }
    }

    /// The state now.
    pub fn state(&self) -> State {
        self.state
    }

    /// Applies an event and returns the state after it.
    ///
    /// # Errors
    ///
    /// [`ChartError::Refused`] if the chart refuses the event; the state stays as it is.
    pub fn apply(&mut self, event: Event) -> Result<State, ChartError> {
        self.state = self.table.next(self.state, event)?;
        Ok(self.state)
    }
}
