//! Lifecycle of a relayed request, and whether it may have been executed in each state.

use std::sync::{Arc, OnceLock};

use dandeliondeal_chart::{ChartError, ChartMachine, ChartTable, chart_labels};

chart_labels! {
    /// State of a relayed request.
    pub enum LifecycleState {
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
    pub enum LifecycleEvent {
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
pub type LifecycleTable = ChartTable<LifecycleState, LifecycleEvent>;

/// Returns the table of `charts/relay-life.ini`, parsed once.
///
/// # Errors
///
/// Returns [`ChartError`] if the chart file is invalid.
pub fn lifecycle_table() -> Result<Arc<LifecycleTable>, ChartError> {
    static TABLE: OnceLock<Result<Arc<LifecycleTable>, ChartError>> = OnceLock::new();
    let parse = || ChartTable::parse(include_str!("../../../charts/relay-life.ini")).map(Arc::new);
    TABLE.get_or_init(parse).clone()
}

/// Lifecycle of one request.
#[derive(Clone, Debug)]
pub struct RelayLifecycle {
    machine: ChartMachine<LifecycleState, LifecycleEvent>,
    /// Whether an attempt ended without a statement of the endpoint. A rejection by another
    /// endpoint then does not prove that the request was not executed.
    may_have_run: bool,
}

impl RelayLifecycle {
    /// Creates the lifecycle of a request whose headers have been received.
    pub fn new(table: Arc<LifecycleTable>) -> Self {
        Self {
            machine: ChartMachine::new(table),
            may_have_run: false,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> LifecycleState {
        self.machine.state()
    }

    /// Applies an event; returns `false` and changes nothing if the chart refuses it.
    pub fn apply(&mut self, event: LifecycleEvent) -> bool {
        self.machine.apply(event).is_ok()
    }

    /// Records that an attempt ended without a statement of the endpoint: the request may have been
    /// executed.
    pub fn mark_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    /// Returns whether it is certain that the request was not and will not be executed.
    pub fn is_proven_not_run(&self) -> bool {
        let state = self.state();
        let is_unsent = matches!(
            state,
            LifecycleState::Received | LifecycleState::Admitted | LifecycleState::Rejected
        );
        is_unsent && !self.may_have_run
    }
}
