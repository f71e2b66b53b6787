//! The state chart of a session.

use std::sync::{Arc, OnceLock};

use dandeliondeal_chart::{ChartError, ChartTable, chart_labels};

const CHART: &str = include_str!("../../../charts/session.ini");

chart_labels! {
    /// The states of a session.
    pub enum SessionState {
        /// Nothing was sent.
        ///
        New = "new",
        /// A step is in flight at an endpoint.
        ///
        Stepping = "stepping",
        /// An endpoint was asked for the session's status over a new connection.
        ///
        Asking = "asking",
        /// A chain was requested, for the whole model or for the range of one stage.
        ///
        Placing = "placing",
        /// The KV cache was requested from an endpoint that still answers.
        ///
        Exporting = "exporting",
        /// The KV cache was sent to the replacement.
        ///
        Importing = "importing",
        /// No chain exists; the instance tries again after a pause.
        ///
        Paused = "paused",
        /// The complete output was delivered.
        ///
        Done = "done",
        /// The request was ended without its complete output.
        ///
        Failed = "failed",
    }
}

chart_labels! {
    /// The signals that move a session from one state to another.
    pub enum SessionSignal {
        /// The session was started.
        ///
        Begun = "begun",
        /// A valid answer to the pending step arrived.
        ///
        Answered = "answered",
        /// A step was not answered in time, or its answer was invalid.
        ///
        Suspected = "suspected",
        /// The endpoint still has the session, at the pending step.
        ///
        Held = "held",
        /// The session or its endpoint was lost, or a stage is to be moved.
        ///
        Lost = "lost",
        /// A chain was found, or the stage is kept where it is.
        ///
        Placed = "placed",
        /// A stage moves with its KV cache.
        ///
        Moving = "moving",
        /// No chain was found.
        ///
        Unplaced = "unplaced",
        /// The KV cache arrived from the old endpoint.
        ///
        Exported = "exported",
        /// The replacement imported the KV cache.
        ///
        Transferred = "transferred",
        /// The pause is over.
        ///
        Resumed = "resumed",
        /// The output is complete.
        ///
        Finished = "finished",
        /// The request is ended without its complete output.
        ///
        GaveUp = "gave-up",
    }
}

pub(crate) type SessionTable = ChartTable<SessionState, SessionSignal>;

/// Returns the built-in state chart, which is parsed on the first call.
///
/// # Errors
///
/// Returns an error if the chart file is invalid.
pub fn session_table() -> Result<Arc<SessionTable>, ChartError> {
    static TABLE: OnceLock<Result<Arc<SessionTable>, ChartError>> = OnceLock::new();
    TABLE
        .get_or_init(|| ChartTable::parse(CHART).map(Arc::new))
        .clone()
}
