//! Lifecycle of a relayed request, and whether it may have been executed in each state.

use std::sync::{Arc, OnceLock};

use dandeliondeal_chart::{ChartError, ChartMachine, ChartTable, chart_labels};

chart_labels! {
    /// State of a relayed request.
    pub enum LifeState {
        /// The request's headers have been received.
        Received = "received",
        /// The request may be sent to an endpoint.
        Admitted = "admitted",
        /// The request has been sent to an endpoint.
        Offered = "offered",
        /// The endpoint stated that it did not execute the request.
        Rejected = "rejected",
        /// A part of the response has been received.
        Running = "running",
        /// The complete response has been passed on.
        Answered = "answered",
        /// The caller was told that the request was not executed.
        Refused = "refused",
        /// The caller was told that the outcome is unknown.
        Failed = "failed",
    }
}

chart_labels! {
    /// Event in the lifecycle of a relayed request.
    pub enum LifeEvent {
        /// The request has a route, and its body has been read.
        Admit = "admit",
        /// The request is sent to an endpoint.
        Offer = "offer",
        /// The endpoint states that it did not execute the request.
        Reject = "reject",
        /// The first part of the response arrives.
        Start = "start",
        /// The response is complete.
        Complete = "complete",
        /// The caller is told that the request was not executed.
        Refuse = "refuse",
        /// The caller is told that the outcome is unknown.
        Fail = "fail",
    }
}

/// Transition table of the lifecycle chart.
pub type LifeTable = ChartTable<LifeState, LifeEvent>;

/// Returns the table of `charts/relay-life.ini`, parsed once.
///
/// # Errors
///
/// Returns [`ChartError`] if the chart file is invalid.
pub fn life_table() -> Result<Arc<LifeTable>, ChartError> {
    static TABLE: OnceLock<Result<Arc<LifeTable>, ChartError>> = OnceLock::new();
    let parse = || ChartTable::parse(include_str!("../../../charts/relay-life.ini")).map(Arc::new);
    TABLE.get_or_init(parse).clone()
}

/// Lifecycle of one request.
#[derive(Clone, Debug)]
pub struct RelayLife {
    machine: ChartMachine<LifeState, LifeEvent>,
    /// Whether an attempt ended without a statement of the endpoint. A rejection by another
    /// endpoint then does not prove that the request was not executed.
    was_run: bool,
}

impl RelayLife {
    /// Creates the lifecycle of a request whose headers have been received.
    pub fn new(table: Arc<LifeTable>) -> Self {
        Self {
            machine: ChartMachine::new(table),
            was_run: false,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> LifeState {
        self.machine.state()
    }

    /// Applies an event; returns `false` and changes nothing if the chart refuses it.
    pub fn apply(&mut self, event: LifeEvent) -> bool {
        self.machine.apply(event).is_ok()
    }

    /// Records that an attempt ended without a statement of the endpoint: the request may have been
    /// executed.
    pub fn lose_track(&mut self) {
        self.was_run = true;
    }

    /// Returns whether it is certain that the request was not and will not be executed.
    pub fn is_not_run(&self) -> bool {
        let state = self.state();
        let is_unsent = matches!(
            state,
            LifeState::Received | LifeState::Admitted | LifeState::Rejected
        );
        is_unsent && !self.was_run
    }
}
