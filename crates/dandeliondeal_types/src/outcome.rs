//! How a request ended.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The end of a request, as told to its caller.
///
/// There are two true outcomes, [`Outcome::Answered`] and [`Outcome::NotRun`].
/// [`Outcome::InDoubt`] says that it is not known yet which of them holds.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer was delivered.
    #[display("answered")]
    Answered,
    /// Proof exists that no step of the request ran.
    #[display("not-run")]
    NotRun,
    /// Something may have run, and whether it did is not known yet.
    #[display("in-doubt")]
    InDoubt,
}
