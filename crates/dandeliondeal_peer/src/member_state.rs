//! The chart of what an instance holds of another one.

use std::sync::Arc;

use dandeliondeal_chart::{ChartError, ChartTable, chart_labels};

chart_labels! {
    /// What is held of a member.
    pub enum MemberState {
        Alive = "alive",
        Suspected = "suspected",
        Leaving = "leaving",
        Failed = "failed",
    }
}

chart_labels! {
    /// What is learnt of a member.
    pub enum MemberEvent {
        /// A heartbeat came from it, or it answered one.
        Answered = "answered",
        /// It did not answer, over a new connection either.
        Unanswered = "unanswered",
        /// A second observer could not reach it.
        Confirmed = "confirmed",
        /// A second observer reached it.
        Denied = "denied",
        /// Newer news: it lives.
        ToldAlive = "told-alive",
        /// Newer news: it takes no new work.
        ToldLeaving = "told-leaving",
        /// Newer news: it failed.
        ToldFailed = "told-failed",
    }
}

const CHART: &str = include_str!("../../../charts/membership.ini");

/// Table of the chart.
pub type MemberTable = Arc<ChartTable<MemberState, MemberEvent>>;

/// Reads the chart.
///
/// # Errors
///
/// What is wrong with it.
pub fn member_table() -> Result<MemberTable, ChartError> {
    ChartTable::parse(CHART).map(Arc::new)
}
