//! What can be wrong with a chart, or with an event.

use std::sync::Arc;

use derive_more::{Display, Error};

/// An error in a chart file, or an event that the chart refuses.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ChartError {
    /// The file is not INI.
    #[display("chart is not an INI file: {reason}")]
    Syntax {
        /// What the parser said.
        reason: Arc<str>,
    },
    /// A section or entry is missing.
    #[display("chart {chart}: {missing} is missing")]
    Missing {
        /// Name of the chart.
        chart: Arc<str>,
        /// What is missing.
        missing: Arc<str>,
    },
    /// A state or event is not one that the code knows.
    #[display("chart {chart}: {name} in {place} is not known")]
    Unknown {
        /// Name of the chart.
        chart: Arc<str>,
        /// The name as written.
        name: Arc<str>,
        /// The section it stands in.
        place: Arc<str>,
    },
    /// A state cannot be reached from the initial one.
    #[display("chart {chart}: state {state} cannot be reached")]
    Unreachable {
        /// Name of the chart.
        chart: Arc<str>,
        /// The state.
        state: Arc<str>,
    },
    /// The event may not happen in this state.
    #[display("chart {chart}: event {event} is refused in state {state}")]
    Refused {
        /// Name of the chart.
        chart: Arc<str>,
        /// The state.
        state: &'static str,
        /// The event.
        event: &'static str,
    },
}

impl ChartError {
    /// Whether the chart is sound and refused one event.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }
}
