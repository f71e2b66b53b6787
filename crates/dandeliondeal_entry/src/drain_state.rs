//! The planned stop of this instance.

use std::sync::Arc;

use dandeliondeal_chart::{ChartError, ChartMachine, ChartTable, chart_labels};

chart_labels! {
    /// States of an instance with respect to its planned stop.
    pub enum DrainState {
        Serving = "serving",
        Unready = "unready",
        Finishing = "finishing",
        Stopped = "stopped",
    }
}

chart_labels! {
    /// Events of a planned stop.
    pub enum DrainEvent {
        /// The operator or the platform asks for the stop.
        Stop = "stop",
        /// The balancer has had time to notice that the instance is not ready.
        BalancerMoved = "balancer-moved",
        /// No request is open.
        Idle = "idle",
    }
}

const CHART: &str = include_str!("../../../charts/drain.ini");

/// Runs the chart of a planned stop.
#[derive(Clone, Debug)]
pub struct DrainMachine {
    machine: ChartMachine<DrainState, DrainEvent>,
}

impl DrainMachine {
    /// Starts in [`DrainState::Serving`].
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the chart.
    pub fn new() -> Result<Self, ChartError> {
        Ok(Self {
            machine: ChartMachine::new(Arc::new(ChartTable::parse(CHART)?)),
        })
    }

    /// Applies an event; one that may not happen now changes nothing.
    pub fn apply(&mut self, event: DrainEvent) -> DrainState {
        self.machine
            .apply(event)
            .unwrap_or_else(|_| self.machine.state())
    }

    /// Whether the balancer should send new callers.
    pub fn is_ready(&self) -> bool {
        self.machine.state() == DrainState::Serving
    }
}
