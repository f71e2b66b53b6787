//! The error of a trace that cannot be replayed.

use std::sync::Arc;

use derive_more::{Display, Error};

/// An error in a trace that cannot be parsed or replayed.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("line {line}: {reason}")]
pub struct TraceError {
    line: usize,
    reason: Arc<str>,
}

impl TraceError {
    pub(crate) fn new<Reason>(line: usize, reason: Reason) -> Self
    where
        Reason: Into<Arc<str>>,
    {
        Self {
            line,
            reason: reason.into(),
        }
    }

    /// Returns the number of the line in error, from 1.
    pub fn line(&self) -> usize {
        self.line
    }
}
