//! Errors of calls to other instances.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Display, Error};

/// Error of a call to a peer.
#[derive(Clone, Debug, Display, Error)]
pub enum PeerError {
    /// No connection could be made, so nothing was sent.
    #[display("{method} at {address}: no connection: {reason}")]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// Method that was called.
        method: &'static str,
        /// Error text of the connection.
        reason: Arc<str>,
    },
    /// The call was sent, but no answer arrived.
    #[display("{method} at {address}: no answer: {reason}")]
    NoAnswer {
        /// Address of the peer.
        address: SocketAddr,
        /// Method that was called.
        method: &'static str,
        /// Error text of the connection.
        reason: Arc<str>,
    },
    /// The peer, of another version, does not know the method.
    #[display("{method} is unknown to the peer")]
    UnknownMethod {
        /// Method that was called.
        method: &'static str,
    },
    /// The call was refused, or its body or reply could not be encoded or decoded.
    #[display("{method} refused: {reason}")]
    Refused {
        /// Method that was called.
        method: &'static str,
        /// Reason for the refusal.
        reason: Arc<str>,
    },
}

impl PeerError {
    /// Creates the error for a refused call.
    pub fn refused<Reason>(method: &'static str, reason: Reason) -> Self
    where
        Reason: Into<Arc<str>>,
    {
        Self::Refused {
            method,
            reason: reason.into(),
        }
    }

    /// Returns whether the peer may have acted on the call.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::NoAnswer { .. })
    }
}
