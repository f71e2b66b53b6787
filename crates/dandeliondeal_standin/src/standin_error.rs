//! The error of a stand-in that could not start.

use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Error returned when a stand-in cannot listen on its address.
#[derive(Debug, Display, Error)]
#[display("stand-in cannot listen on {address}: {source}")]
pub struct StandinError {
    address: SocketAddr,
    source: io::Error,
}

impl StandinError {
    pub(crate) fn listen(address: SocketAddr, source: io::Error) -> Self {
        Self { address, source }
    }

    /// Returns the address that the stand-in tried to listen on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
