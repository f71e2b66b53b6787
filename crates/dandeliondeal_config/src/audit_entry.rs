//! One change in the audit trail.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use dandeliondeal_types::Revision;

use crate::content_hash::{ContentHash, content_hash};
use crate::sheet_rows::RowChange;

/// Number of row changes that an entry shows.
pub const SHOWN_CHANGES: usize = 20;
/// Number of bytes of a value that an entry shows.
const SHOWN_BYTES: usize = 80;

/// What became of a change.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeVerdict {
    /// It is in force or comes into force.
    #[display("accepted")]
    Accepted,
    /// Nothing of it was applied.
    #[display("refused")]
    Refused,
}

/// Who changed what and when, accepted or refused.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{change} {verdict} by {author}: {from} -> {to}: {summary}")]
pub struct ChangeEntry {
    /// Unique id of the change.
    pub change: Arc<str>,
    /// Who made it.
    pub author: Arc<str>,
    /// Time of day, in milliseconds since 1970.
    pub at_milliseconds: u64,
    /// What became of it.
    pub verdict: ChangeVerdict,
    /// The revision before.
    pub from: Revision,
    /// The revision after; that before, if refused.
    pub to: Revision,
    /// What changed, or why it was refused.
    pub summary: Arc<str>,
    /// The first row changes.
    pub changes: Vec<RowChange>,
}

impl ChangeEntry {
    /// Adds the first row changes, with long values cut.
    #[must_use]
    pub fn with_changes(mut self, changes: &[RowChange]) -> Self {
        let shown = changes.iter().take(SHOWN_CHANGES).cloned();
        self.changes = shown
            .map(|change| RowChange {
                before: change.before.map(shorten),
                after: change.after.map(shorten),
                ..change
            })
            .collect();
        self
    }

    /// Hash of the trail up to and with this entry.
    pub fn chain_hash(&self, previous: &str) -> ContentHash {
        let body = serde_json::to_string(self).unwrap_or_default();
        content_hash(&format!("{previous}\n{body}"))
    }
}

fn shorten(text: Arc<str>) -> Arc<str> {
    if text.len() <= SHOWN_BYTES {
        return text;
    }
    let end = text.floor_char_boundary(SHOWN_BYTES);
    format!("{}...", &text[..end]).into()
}
