//! Why a router does not start.

use dandeliondeal_chart::ChartError;
use derive_more::{Display, Error, From};

/// Why a router does not start.
#[derive(Debug, Display, Error, From)]
pub enum RelayError {
    /// A state chart is not sound.
    #[display("state chart: {_0}")]
    Chart(ChartError),
    /// A metric is defined wrongly.
    #[display("metrics: {_0}")]
    Metrics(prometheus::Error),
    /// An address cannot be bound.
    #[display("listening: {_0}")]
    Listen(std::io::Error),
}
