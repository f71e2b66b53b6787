//! Errors of accepting a change of the sheet.

use std::sync::Arc;

use derive_more::{Display, Error};

use dandeliondeal_types::{Revision, StoreError};

use crate::SheetError;
use crate::sheet_rows::RowChange;

/// Reason that a change was not accepted, or that its outcome is unknown.
#[derive(Clone, Debug, Display, Error)]
pub enum AcceptError {
    /// The sheet is invalid.
    #[display("the sheet has {} errors; the first: {}", errors.len(), first_error(errors))]
    Invalid {
        /// All errors of the sheet.
        errors: Vec<SheetError>,
    },
    /// The sheet removes a larger share of the accepted entities than is allowed.
    #[display(
        "the sheet removes {share:.0}% of what runs, more than {limit:.0}%; \
         allow removals if that is meant"
    )]
    Removal {
        /// Share of the accepted entities that the sheet removes, in percent.
        share: f64,
        /// Share that a sheet may remove without an explicit permission, in percent.
        limit: f64,
    },
    /// Another change was accepted first; no part of this change was applied.
    #[display(
        "conflict: revision {revision} by {author} was accepted first ({} rows differ); \
         look at it and try again",
        changes.len()
    )]
    Conflict {
        /// Revision of the change that was accepted first.
        revision: Revision,
        /// Author of the change that was accepted first.
        author: Arc<str>,
        /// Rows that differ from the revision on which this change is based.
        changes: Vec<RowChange>,
    },
    /// The platform refused or failed a call; no part of the change was applied.
    #[display("not accepted: {step} call to the platform failed: {error}")]
    Platform {
        /// Kind of the call that failed.
        step: &'static str,
        /// Error of the call.
        error: StoreError,
    },
    /// A stored object is missing, or its content is not what its name requires.
    #[display("object {name} is damaged: {reason}")]
    #[error(ignore)]
    Damaged {
        /// Name of the object.
        name: Arc<str>,
        /// Problem found.
        reason: Arc<str>,
    },
    /// The response to the write was lost and the outcome was not found before the deadline.
    #[display(
        "unknown whether change {change} was accepted: {error}; \
         check `sheet history` once the platform responds"
    )]
    Unknown {
        /// Id of the change.
        change: Arc<str>,
        /// Last error of the platform.
        error: StoreError,
    },
}

impl AcceptError {
    pub(crate) fn platform(step: &'static str, error: StoreError) -> Self {
        Self::Platform { step, error }
    }

    pub(crate) fn damaged(name: &str, reason: &str) -> Self {
        Self::Damaged {
            name: name.into(),
            reason: reason.into(),
        }
    }

    /// Returns whether another change was accepted first.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict { .. })
    }

    /// Returns whether the sheet itself was rejected.
    pub fn is_invalid_sheet(&self) -> bool {
        matches!(self, Self::Invalid { .. } | Self::Removal { .. })
    }

    /// Returns whether the outcome of the change is unknown.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

fn first_error(errors: &[SheetError]) -> String {
    errors.first().map(ToString::to_string).unwrap_or_default()
}
