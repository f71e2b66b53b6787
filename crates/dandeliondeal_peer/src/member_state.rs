//! The state chart of another instance, as one instance sees it.

use std::sync::Arc;

use dandeliondeal_chart::{ChartError, ChartTable, chart_labels};

chart_labels! {
    /// State of a member, as one instance sees it.
    pub enum MemberState {
        /// The member answers heartbeats.
        Alive = "alive",
        /// The member did not answer, and no second observer has confirmed it yet.
        Suspected = "suspected",
        /// The member is shutting down and takes no new work.
        Leaving = "leaving",
        /// Two observers could not reach the member.
        Failed = "failed",
    }
}

chart_labels! {
    /// Event in the state chart of a member.
    pub enum MemberEvent {
        /// The member sent a heartbeat or answered one.
        Answered = "answered",
        /// The member did not answer a heartbeat, not even over a new connection.
        Unanswered = "unanswered",
        /// A second observer could not reach the member.
        Confirmed = "confirmed",
        /// A second observer reached the member.
        Denied = "denied",
        /// A newer update reports that the member is alive.
        ReportedAlive = "told-alive",
        /// A newer update reports that the member is leaving.
        ReportedLeaving = "told-leaving",
        /// A newer update reports that the member has failed.
        ReportedFailed = "told-failed",
    }
}

const MEMBERSHIP_CHART: &str = include_str!("../../../charts/membership.ini");

/// Transition table of the membership chart.
pub type MemberTable = Arc<ChartTable<MemberState, MemberEvent>>;

/// Parses the membership chart.
///
/// # Errors
///
/// Returns an error if the chart file is invalid.
pub fn member_table() -> Result<MemberTable, ChartError> {
    ChartTable::parse(MEMBERSHIP_CHART).map(Arc::new)
}
