//! Classification of failed HTTP calls by whether the request may have reached the peer.

use awc::error::{ConnectError, SendRequestError};

/// Whether the request of a failed call may have been sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendFailure {
    /// No connection was established, so no byte of the request was sent.
    NotSent,
    /// The request may have reached the peer.
    AnswerLost,
}

impl SendFailure {
    /// Classifies an error returned by `awc`.
    ///
    /// `awc` reports a connection that closes before the answer as
    /// [`ConnectError::Disconnected`], although the request was written. Only errors while
    /// connecting prove that nothing was sent.
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
