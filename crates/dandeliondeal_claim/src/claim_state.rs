//! The state chart of a claim.

use std::sync::{Arc, OnceLock};

use dandeliondeal_chart::{ChartError, ChartTable, chart_labels};
use dandeliondeal_types::Outcome;

chart_labels! {
    /// Whether a claimed request ran.
    pub enum ClaimState {
        /// Its instance may be running it.
        Running = "running",
        /// It ran and its answer is recorded.
        Answered = "answered",
        /// It did not run and never will.
        NotRun = "not-run",
        /// It may have run.
        InDoubt = "in-doubt",
    }
}

chart_labels! {
    /// What is learned of a claimed request.
    pub enum ClaimEvent {
        /// It was answered.
        Answer = "answer",
        /// It is proved that it did not run.
        Disprove = "disprove",
        /// The answer was lost.
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
    /// The outcome as it is known now; `None` while the request runs.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Running => None,
            Self::Answered => Some(Outcome::Answered),
            Self::NotRun => Some(Outcome::NotRun),
            Self::InDoubt => Some(Outcome::InDoubt),
        }
    }
}

/// The table of `charts/claim.ini`.
///
/// # Errors
///
/// The chart file is not sound.
pub fn claim_chart() -> Result<Arc<ChartTable<ClaimState, ClaimEvent>>, ChartError> {
    static TABLE: OnceLock<Result<Arc<ChartTable<ClaimState, ClaimEvent>>, ChartError>> =
        OnceLock::new();
    let parse = || ChartTable::parse(include_str!("../../../charts/claim.ini")).map(Arc::new);
    TABLE.get_or_init(parse).clone()
}
