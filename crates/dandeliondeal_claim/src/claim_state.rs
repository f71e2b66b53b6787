//! State chart of a claimed request.

use std::sync::{Arc, OnceLock};

use dandeliondeal_chart::{ChartError, ChartTable, chart_labels};
use dandeliondeal_types::Outcome;

chart_labels! {
    /// State of a claimed request.
    pub enum ClaimState {
        /// The claiming instance may be running the request.
        Running = "running",
        /// The request ran and its answer is recorded.
        Answered = "answered",
        /// The request did not run and never will.
        NotRun = "not-run",
        /// The request may have run; its outcome is unknown.
        InDoubt = "in-doubt",
    }
}

chart_labels! {
    /// Event that reports the outcome of a claimed request.
    pub enum ClaimEvent {
        /// The request was answered.
        Answer = "answer",
        /// The request is proven not to have run.
        Disprove = "disprove",
        /// The answer was lost, so that the outcome is unknown.
        Lose = "lose",
    }
}

impl From<Outcome> for ClaimEvent {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered => Self::Answer,
            Outcome::NotRun => Self::Disprove,
            Outcome::InDoubt => Self::Lose,
        }
    }
}

impl ClaimState {
    /// Returns the current outcome, or `None` while the request is running.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Running => None,
            Self::Answered => Some(Outcome::Answered),
            Self::NotRun => Some(Outcome::NotRun),
            Self::InDoubt => Some(Outcome::InDoubt),
        }
    }
}

/// Returns the state table parsed from `charts/claim.ini`.
///
/// # Errors
///
/// Returns an error if the chart file is invalid.
pub fn claim_chart() -> Result<Arc<ChartTable<ClaimState, ClaimEvent>>, ChartError> {
    static TABLE: OnceLock<Result<Arc<ChartTable<ClaimState, ClaimEvent>>, ChartError>> =
        OnceLock::new();
    let parse = || ChartTable::parse(include_str!("../../../charts/claim.ini")).map(Arc::new);
    TABLE.get_or_init(parse).clone()
}
