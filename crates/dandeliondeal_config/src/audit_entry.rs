//! Entry of the audit trail for one change.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use dandeliondeal_types::Revision;

use crate::content_hash::{ContentHash, content_hash};
use crate::sheet_rows::RowChange;

/// Maximum number of row changes that an entry contains.
pub const ENTRY_CHANGES_LIMIT: usize = 20;
/// Maximum number of bytes of a value that an entry contains.
const VALUE_BYTES_LIMIT: usize = 80;

/// Outcome of a change.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeVerdict {
    /// The change was accepted as a new revision.
    #[display("accepted")]
    Accepted,
    /// No part of the change was applied.
    #[display("refused")]
    Refused,
}

/// Record of one accepted or refused change.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{change} {verdict} by {author}: {from} -> {to}: {summary}")]
pub struct ChangeEntry {
    /// Unique id of the change.
    pub change: Arc<str>,
    /// Author of the change.
    pub author: Arc<str>,
    /// Wall-clock time of the request, in milliseconds since the Unix epoch.
    pub at_milliseconds: u64,
    /// Outcome of the change.
    pub verdict: ChangeVerdict,
    /// Revision before the change.
    pub from: Revision,
    /// Revision after the change; equals `from` if the change was refused.
    pub to: Revision,
    /// Summary of the change, or the reason for its refusal.
    pub summary: Arc<str>,
    /// First row changes, at most [`ENTRY_CHANGES_LIMIT`].
    pub changes: Vec<RowChange>,
}

impl ChangeEntry {
    /// Adds the first row changes, with long values truncated.
    #[must_use]
    pub fn with_changes(mut self, changes: &[RowChange]) -> Self {
        let first_changes = changes.iter().take(ENTRY_CHANGES_LIMIT).cloned();
        self.changes = first_changes
            .map(|change| RowChange {
                before: change.before.map(truncate_value),
                after: change.after.map(truncate_value),
                ..change
            })
            .collect();
        self
    }

    /// Returns the hash of the trail up to and including this entry.
    pub fn chain_hash(&self, previous: &str) -> ContentHash {
        let body = serde_json::to_string(self).unwrap_or_default();
        content_hash(&format!("{previous}\n{body}"))
    }
}

fn truncate_value(text: Arc<str>) -> Arc<str> {
    if text.len() <= VALUE_BYTES_LIMIT {
        return text;
    }
    let end = text.floor_char_boundary(VALUE_BYTES_LIMIT);
    format!("{}...", &text[..end]).into()
}
