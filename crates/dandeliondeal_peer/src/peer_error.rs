//! Why a call to another instance failed.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Display, Error};

/// A call to a peer failed.
#[derive(Clone, Debug, Display, Error)]
pub enum PeerError {
    /// No connection was made; nothing was sent.
    #[display("{method} at {address}: no connection: {reason}")]
    Unreachable {
        /// The peer.
        address: SocketAddr,
        /// The method.
        method: &'static str,
        /// What the connection said.
        reason: Arc<str>,
    },
    /// The call was sent and no answer came.
    #[display("{method} at {address}: no answer: {reason}")]
    NoAnswer {
        /// The peer.
        address: SocketAddr,
        /// The method.
        method: &'static str,
        /// What the connection said.
        reason: Arc<str>,
    },
    /// The peer refused the call.
    #[display("{method} refused: {reason}")]
    Refused {
        /// The method.
        method: &'static str,
        /// Why.
        reason: Arc<str>,
    },
}

impl PeerError {
    /// Refuses a call.
    pub fn refused<Reason>(method: &'static str, reason: Reason) -> Self
    where
        Reason: Into<Arc<str>>,
    {
        Self::Refused {
            method,
            reason: reason.into(),
        }
    }

    /// Whether the peer may have acted on the call.
    pub fn is_open(&self) -> bool {
        matches!(self, Self::NoAnswer { .. })
    }
}
