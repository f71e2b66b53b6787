//! Why a change was not accepted.

use std::sync::Arc;

use derive_more::{Display, Error};

use dandeliondeal_types::{Revision, StoreError};

use crate::SheetError;
use crate::sheet_rows::RowChange;

/// Why a change was not accepted, or that it is not known whether it was.
#[derive(Clone, Debug, Display, Error)]
pub enum AcceptError {
    /// The sheet has errors.
    #[display("the sheet has {} errors; the first: {}", errors.len(), first(errors))]
    Invalid {
        /// Every error.
        errors: Vec<SheetError>,
    },
    /// The sheet removes much of what runs.
    #[display(
        "the sheet removes {share:.0}% of what runs, more than {limit:.0}%; allow removals if that is meant"
    )]
    Removal {
        /// Share that it removes, in percent.
        share: f64,
        /// Share that it may remove, in percent.
        limit: f64,
    },
    /// Another change was first; nothing of this one was applied.
    #[display("conflict: revision {revision} by {author} was accepted first ({} rows differ); look at it and try again", changes.len())]
    Conflict {
        /// The other's revision.
        revision: Revision,
        /// The other author.
        author: Arc<str>,
        /// What the other changed since the revision that this change started from.
        changes: Vec<RowChange>,
    },
    /// The platform did not take the change; nothing of it was applied.
    #[display("not accepted: {step} at the platform: {error}")]
    Platform {
        /// What was tried.
        step: &'static str,
        /// What the platform said.
        error: StoreError,
    },
    /// An object of the platform is not what its name says.
    #[display("object {name} is damaged: {reason}")]
    #[error(ignore)]
    Damaged {
        /// The object.
        name: Arc<str>,
        /// What is wrong with it.
        reason: Arc<str>,
    },
    /// The platform's answer was lost and could not be settled before the deadline.
    #[display(
        "not known whether change {change} was accepted: {error}; `sheet history` tells once the platform answers"
    )]
    Unknown {
        /// Id of the change.
        change: Arc<str>,
        /// What the platform said last.
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

    /// Whether another change was first.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict { .. })
    }

    /// Whether the fault lies with the sheet.
    pub fn is_input(&self) -> bool {
        matches!(self, Self::Invalid { .. } | Self::Removal { .. })
    }

    /// Whether it is not known if the change was accepted.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

fn first(errors: &[SheetError]) -> String {
    errors.first().map(ToString::to_string).unwrap_or_default()
}
