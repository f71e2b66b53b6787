//! Why a trace cannot be replayed.

use std::sync::Arc;

use derive_more::{Display, Error};

/// A trace that cannot be read or whose events make no sense.
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

    /// The line, from 1.
    pub fn line(&self) -> usize {
        self.line
    }
}
