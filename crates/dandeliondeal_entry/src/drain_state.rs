//! State machine of the planned stop of an instance.

use std::sync::Arc;

use dandeliondeal_chart::{ChartError, ChartMachine, ChartTable, chart_labels};

chart_labels! {
    /// States of an instance during a planned stop.
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
        /// The operator or the platform requests the stop.
        Stop = "stop",
        /// The load balancer has had time to notice that the instance is not ready.
        BalancerMoved = "balancer-moved",
        /// No request is open.
        Idle = "idle",
    }
}

const CHART: &str = include_str!("../../../charts/drain.ini");

/// State machine for the drain chart.
#[derive(Clone, Debug)]
pub struct DrainMachine {
    machine: ChartMachine<DrainState, DrainEvent>,
}

impl DrainMachine {
    /// Starts in [`DrainState::Serving`].
    ///
    /// # Errors
    ///
    /// Returns an error if the chart is invalid.
    pub fn new() -> Result<Self, ChartError> {
        Ok(Self {
            machine: ChartMachine::new(Arc::new(ChartTable::parse(CHART)?)),
        })
    }

    /// Applies an event and returns the new state; an event that the state refuses is ignored.
    pub fn apply(&mut self, event: DrainEvent) -> DrainState {
        self.machine
            .apply(event)
            .unwrap_or_else(|_| self.machine.state())
    }

    /// Returns whether the load balancer should route new callers to this instance.
    pub fn is_ready(&self) -> bool {
        self.machine.state() == DrainState::Serving
    }
}
