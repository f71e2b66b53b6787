//! The life of one relayed request, and what may be said of it at each point.

use std::sync::{Arc, OnceLock};

use dandeliondeal_chart::{ChartError, ChartMachine, ChartTable, chart_labels};

chart_labels! {
    /// Where a relayed request stands.
    pub enum LifeState {
        /// Its head has arrived.
        Received = "received",
        /// It may be sent to an endpoint.
        Admitted = "admitted",
        /// It was written to an endpoint.
        Offered = "offered",
        /// The endpoint stated that it did not run.
        Rejected = "rejected",
        /// A part of its answer came.
        Running = "running",
        /// The whole answer was passed on.
        Answered = "answered",
        /// The caller was told that it has not run.
        Refused = "refused",
        /// The caller was told that the outcome is unknown.
        Failed = "failed",
    }
}

chart_labels! {
    /// What happens to a relayed request.
    pub enum LifeEvent {
        /// It has a route and capacity.
        Admit = "admit",
        /// It is written to an endpoint.
        Offer = "offer",
        /// The endpoint states that it did not run.
        Reject = "reject",
        /// The first part of the answer comes.
        Start = "start",
        /// The answer is whole.
        Complete = "complete",
        /// The caller is told that it has not run.
        Refuse = "refuse",
        /// The caller is told that the outcome is unknown.
        Fail = "fail",
    }
}

/// The compiled chart.
pub type LifeTable = ChartTable<LifeState, LifeEvent>;

/// The table of `charts/relay-life.ini`.
///
/// # Errors
///
/// The chart file is not sound.
pub fn life_table() -> Result<Arc<LifeTable>, ChartError> {
    static TABLE: OnceLock<Result<Arc<LifeTable>, ChartError>> = OnceLock::new();
    let parse = || ChartTable::parse(include_str!("../../../charts/relay-life.ini")).map(Arc::new);
    TABLE.get_or_init(parse).clone()
}

/// The life of one request.
#[derive(Clone, Debug)]
pub struct RelayLife {
    machine: ChartMachine<LifeState, LifeEvent>,
    /// Whether the last offer is still open, so that an earlier rejection proves nothing.
    was_run: bool,
}

impl RelayLife {
    /// Starts with a request whose head has arrived.
    pub fn new(table: Arc<LifeTable>) -> Self {
        Self {
            machine: ChartMachine::new(table),
            was_run: false,
        }
    }

    /// The state now.
    pub fn state(&self) -> LifeState {
        self.machine.state()
    }

    /// Applies an event; one that the chart refuses changes nothing.
    pub fn apply(&mut self, event: LifeEvent) -> bool {
        self.machine.apply(event).is_ok()
    }

    /// Notes that an offer ended without a statement of the endpoint: it may have run.
    pub fn lose_track(&mut self) {
        self.was_run = true;
    }

    /// Whether it is proved that the request has not run and will not.
    pub fn is_not_run(&self) -> bool {
        let state = self.state();
        let is_unsent = matches!(
            state,
            LifeState::Received | LifeState::Admitted | LifeState::Rejected
        );
        is_unsent && !self.was_run
    }
}
