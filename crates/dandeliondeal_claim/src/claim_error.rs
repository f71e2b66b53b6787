//! Why the claim log cannot go on.

use std::sync::Arc;

use dandeliondeal_chart::ChartError;
use dandeliondeal_types::ObjectName;
use derive_more::{Display, Error, From};

/// An error of the claim log itself, not of a call to the platform.
#[derive(Clone, Debug, Display, Error, From)]
pub enum ClaimError {
    /// A segment does not hold what its writers may have written.
    #[display("claim log {name}: {reason}")]
    BrokenLog {
        /// The segment.
        name: ObjectName,
        /// What is wrong.
        reason: Arc<str>,
    },
    /// A record cannot be written as JSON.
    #[display("claim record cannot be encoded: {reason}")]
    Encoding {
        /// What the encoder said.
        reason: Arc<str>,
    },
    /// The chart of claims is not sound.
    #[display("{_0}")]
    #[from]
    Chart(ChartError),
}
