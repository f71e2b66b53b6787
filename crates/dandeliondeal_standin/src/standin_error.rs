//! Why a stand-in could not start.

use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error};

/// A stand-in could not listen on its address.
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

    /// The address that was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
