//! The error of a measurement that did not finish.

use std::sync::Arc;

use derive_more::{Display, Error};

/// Reports that a measurement could not be set up, or that an answer during it was wrong.
#[derive(Clone, Debug, Display, Error)]
#[display("measure {measurement}: {message}")]
pub struct MeasureError {
    measurement: &'static str,
    message: Arc<str>,
}

impl MeasureError {
    /// Creates an error of the named measurement.
    pub fn new<Text>(measurement: &'static str, message: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self {
            measurement,
            message: message.into(),
        }
    }
}
