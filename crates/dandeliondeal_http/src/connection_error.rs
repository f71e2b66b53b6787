//! Error on a connection to an endpoint.

use std::sync::Arc;

use derive_more::{Display, Error};

/// An error on a connection to an endpoint.
#[derive(Clone, Debug, Display, Error)]
#[display("{message}")]
pub struct ConnectionError {
    is_written: bool,
    is_invalid_answer: bool,
    is_refused: bool,
    message: Arc<str>,
}

impl ConnectionError {
    /// Creates an error that occurred before any byte of the request was written.
    pub fn before_write<Reason>(reason: &Reason) -> Self
    where
        Reason: std::fmt::Display + ?Sized,
    {
        Self {
            is_written: false,
            is_invalid_answer: false,
            is_refused: false,
            message: reason.to_string().into(),
        }
    }

    /// Creates an error for an address at which no process accepts connections.
    pub fn refused<Reason>(reason: &Reason) -> Self
    where
        Reason: std::fmt::Display + ?Sized,
    {
        Self {
            is_refused: true,
            ..Self::before_write(reason)
        }
    }

    /// Creates an error that occurred when the request may have reached the endpoint.
    pub fn after_write<Reason>(reason: &Reason) -> Self
    where
        Reason: std::fmt::Display + ?Sized,
    {
        Self {
            is_written: true,
            is_invalid_answer: false,
            is_refused: false,
            message: reason.to_string().into(),
        }
    }

    /// Creates an error for bytes of the endpoint that are no answer in the protocol.
    pub fn invalid_answer<Reason>(reason: &Reason) -> Self
    where
        Reason: std::fmt::Display + ?Sized,
    {
        Self {
            is_invalid_answer: true,
            ..Self::after_write(reason)
        }
    }

    /// Returns whether the endpoint sent bytes that are no answer in the protocol.
    pub fn is_invalid_answer(&self) -> bool {
        self.is_invalid_answer
    }

    /// Returns whether the connection was refused, rather than timed out or broken.
    pub fn is_refused(&self) -> bool {
        self.is_refused
    }

    /// Returns whether it is certain that no byte of the request was written.
    pub fn is_before_write(&self) -> bool {
        !self.is_written
    }
}
