//! Why a measurement did not finish.

use std::sync::Arc;

use derive_more::{Display, Error};

/// A measurement could not be set up, or an answer in it was wrong.
#[derive(Clone, Debug, Display, Error)]
#[display("measure {measurement}: {message}")]
pub struct MeasureError {
    measurement: &'static str,
    message: Arc<str>,
}

impl MeasureError {
    /// Makes an error of the named measurement.
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
