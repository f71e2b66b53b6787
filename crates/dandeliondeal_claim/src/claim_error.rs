//! Errors of the claim log.

use std::sync::Arc;

use dandeliondeal_chart::ChartError;
use dandeliondeal_types::ObjectName;
use derive_more::{Display, Error, From};

/// Error in the content of the claim log, as opposed to a failed platform call.
#[derive(Clone, Debug, Display, Error, From)]
pub enum ClaimError {
    /// A segment's content is not a valid continuation of the log.
    #[display("claim log segment {name} is corrupt: {reason}")]
    CorruptLog {
        /// Name of the segment object.
        name: ObjectName,
        /// Description of the corruption.
        reason: Arc<str>,
    },
    /// A record could not be serialised to JSON.
    #[display("claim record cannot be encoded: {reason}")]
    Encoding {
        /// Error message of the JSON serialiser.
        reason: Arc<str>,
    },
    /// The claim state chart is invalid.
    #[display("{_0}")]
    #[from]
    Chart(ChartError),
}
