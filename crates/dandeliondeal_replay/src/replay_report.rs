//! The report of a replay.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

/// An outcome that differs from the expected one, or a violation of an invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplayMismatch {
    /// Line number in the trace, from 1; 0 for an invariant.
    pub line: usize,
    /// The expected outcome or the invariant.
    pub expected: Arc<str>,
    /// The actual outcome.
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
    /// Number of replayed events.
    pub events: usize,
    /// Number of expected outcomes that were checked.
    pub outcomes: usize,
    /// The mismatches and invariant violations found.
    pub mismatches: Vec<ReplayMismatch>,
}

impl ReplayReport {
    /// Returns whether all outcomes are as expected and all invariants hold.
    pub fn is_match(&self) -> bool {
        self.mismatches.is_empty()
    }
}
