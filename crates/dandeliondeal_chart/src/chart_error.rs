//! Errors in chart files and refused events.

use std::sync::Arc;

use derive_more::{Display, Error};

/// An error in a chart file, or an event that the chart refuses.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ChartError {
    /// The file is not valid INI.
    #[display("chart is not an INI file: {reason}")]
    Syntax {
        /// Error message of the INI parser.
        reason: Arc<str>,
    },
    /// A required section or entry is missing.
    #[display("chart {chart}: {missing} is missing")]
    Missing {
        /// Name of the chart.
        chart: Arc<str>,
        /// The missing section or entry.
        missing: Arc<str>,
    },
    /// The file names a state or event that the code does not define.
    #[display("chart {chart}: {name} in {section} is not known")]
    Unknown {
        /// Name of the chart.
        chart: Arc<str>,
        /// The name as it appears in the file.
        name: Arc<str>,
        /// The section that contains the name.
        section: Arc<str>,
    },
    /// A state cannot be reached from the initial state.
    #[display("chart {chart}: state {state} cannot be reached")]
    Unreachable {
        /// Name of the chart.
        chart: Arc<str>,
        /// The unreachable state.
        state: Arc<str>,
    },
    /// The event is not allowed in the current state.
    #[display("chart {chart}: event {event} is refused in state {state}")]
    Refused {
        /// Name of the chart.
        chart: Arc<str>,
        /// The current state.
        state: &'static str,
        /// The refused event.
        event: &'static str,
    },
}

impl ChartError {
    /// Returns whether a valid chart refused an event; other errors concern the chart file.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }
}
