//! The state chart of a session.

use std::sync::{Arc, OnceLock};

use dandeliondeal_chart::{ChartError, ChartTable, chart_labels};

const CHART: &str = include_str!("../../../charts/session.ini");

chart_labels! {
    /// Where a session stands.
    pub enum SessionState {
        New = "new",
        Stepping = "stepping",
        Asking = "asking",
        Placing = "placing",
        Exporting = "exporting",
        Importing = "importing",
        Paused = "paused",
        Done = "done",
        Failed = "failed",
    }
}

chart_labels! {
    /// What moves a session from one state to another.
    pub enum SessionSignal {
        Begun = "begun",
        Answered = "answered",
        Suspected = "suspected",
        Held = "held",
        Lost = "lost",
        Placed = "placed",
        Moving = "moving",
        Unplaced = "unplaced",
        Exported = "exported",
        Transferred = "transferred",
        Resumed = "resumed",
        Finished = "finished",
        GaveUp = "gave-up",
    }
}

pub(crate) type SessionTable = ChartTable<SessionState, SessionSignal>;

/// The compiled chart, read once.
///
/// # Errors
///
/// Says what is wrong with the chart file.
pub fn session_table() -> Result<Arc<SessionTable>, ChartError> {
    static TABLE: OnceLock<Result<Arc<SessionTable>, ChartError>> = OnceLock::new();
    TABLE
        .get_or_init(|| ChartTable::parse(CHART).map(Arc::new))
        .clone()
}
