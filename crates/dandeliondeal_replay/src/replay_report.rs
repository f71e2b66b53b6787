//! What a replay found.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

/// One stated outcome that did not come, or one breach of what always holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplayMismatch {
    /// Line of the trace; 0 for what always holds.
    pub line: usize,
    /// What was stated or always holds.
    pub expected: Arc<str>,
    /// What was found.
    pub found: Arc<str>,
}

impl Display for ReplayMismatch {
    fn fmt(&self, output: &mut Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(output, "always: ")?,
            line => write!(output, "line {line}: ")?,
        }
        write!(output, "expected {}, found {}", self.expected, self.found)
    }
}

/// The result of replaying one trace.
#[derive(Clone, Debug)]
pub struct ReplayReport {
    /// Name of the trace.
    pub trace: Arc<str>,
    /// Number of events.
    pub events: usize,
    /// Number of stated outcomes.
    pub outcomes: usize,
    /// What differed.
    pub mismatches: Vec<ReplayMismatch>,
}

impl ReplayReport {
    /// Whether everything came as stated.
    pub fn is_match(&self) -> bool {
        self.mismatches.is_empty()
    }
}
