//! The outcome of a request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Outcome of a request, as reported to its caller.
///
/// A request finally is either [`Outcome::Answered`] or [`Outcome::NotRun`]. [`Outcome::InDoubt`]
/// means that it is not yet known which of the two applies.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete answer was delivered.
    #[display("answered")]
    Answered,
    /// It is proven that no step of the request ran.
    #[display("not-run")]
    NotRun,
    /// A step may have run; it is not yet known whether one did.
    #[display("in-doubt")]
    InDoubt,
}
