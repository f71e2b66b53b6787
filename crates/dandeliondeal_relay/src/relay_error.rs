//! Errors that prevent a router from starting.

use dandeliondeal_chart::ChartError;
use derive_more::{Display, Error, From};

/// Error that prevents a router from starting.
#[derive(Debug, Display, Error, From)]
pub enum RelayError {
    /// A state chart is invalid.
    #[display("state chart: {_0}")]
    Chart(ChartError),
    /// A metric definition is invalid.
    #[display("metrics: {_0}")]
    Metrics(prometheus::Error),
    /// An address cannot be bound.
    #[display("listening: {_0}")]
    Listen(std::io::Error),
}
