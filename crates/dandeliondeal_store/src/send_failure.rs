//! Tells whether a failed HTTP call can have reached its peer.

use awc::error::{ConnectError, SendRequestError};

/// What a failed call proves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendFailure {
    /// No connection was made, so no byte of the request was written.
    NotSent,
    /// The request may have reached the peer.
    AnswerLost,
}

impl SendFailure {
    /// Classifies an error of `awc`.
    ///
    /// `awc` reports a connection that closes before the answer as
    /// [`ConnectError::Disconnected`], although the request was written; only the errors of
    /// making a connection prove that nothing was sent.
    pub fn classify(error: &SendRequestError) -> Self {
        match error {
            SendRequestError::Url(_)
            | SendRequestError::Connect(
                ConnectError::Io(_)
                | ConnectError::Timeout
                | ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Unresolved,
            ) => Self::NotSent,
            _ => Self::AnswerLost,
        }
    }
}
