//! A bounded part of the audit trail, chained by hash.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::audit_entry::ChangeEntry;
use crate::content_hash::ContentHash;

/// Size of an open segment, in bytes, beyond which it is closed.
pub const SEGMENT_BYTES_LIMIT: usize = 65_536;
/// Number of ids that a new segment remembers of the one before.
const CARRIED_LIMIT: usize = 64;

/// An entry with the hash of the trail up to it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The change.
    pub entry: ChangeEntry,
    /// Hash over this entry and all before it.
    pub chain: ContentHash,
}

/// Part of the trail; the last one is open.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditSegment {
    /// Number of the segment, from 0.
    pub number: u64,
    /// Hash of the trail before this segment; empty for the first.
    pub previous: ContentHash,
    /// Ids of the last changes before this segment.
    pub carried: Vec<Arc<str>>,
    /// The entries.
    pub records: Vec<AuditRecord>,
}

/// A place at which the trail does not hold together.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum AuditBreak {
    /// A segment is not the one that has to follow.
    #[display("segment {number} does not continue the trail")]
    Segment {
        /// Number of the segment.
        number: u64,
    },
    /// An entry is not the one that was recorded.
    #[display("entry {change} in segment {number} was altered")]
    Entry {
        /// Number of the segment.
        number: u64,
        /// Id of the change.
        change: Arc<str>,
    },
    /// A change is recorded twice.
    #[display("entry {change} in segment {number} stands twice")]
    Doubled {
        /// Number of the segment.
        number: u64,
        /// Id of the change.
        change: Arc<str>,
    },
}

impl AuditSegment {
    /// Whether the change is recorded here or was shortly before.
    pub fn has(&self, change: &str) -> bool {
        let carried = self.carried.iter().any(|known| &**known == change);
        carried
            || self
                .records
                .iter()
                .any(|record| &*record.entry.change == change)
    }

    /// Hash of the trail with this segment.
    pub fn chain(&self) -> ContentHash {
        let last = self.records.last().map(|record| &record.chain);
        Arc::clone(last.unwrap_or(&self.previous))
    }

    /// Adds an entry.
    pub fn push(&mut self, entry: ChangeEntry) {
        let chain = entry.chain_hash(&self.chain());
        self.records.push(AuditRecord { entry, chain });
    }

    /// The empty segment that follows.
    #[must_use]
    pub fn successor(&self) -> Self {
        let ids = self.records.iter().rev().map(|record| &record.entry.change);
        Self {
            number: self.number + 1,
            previous: self.chain(),
            carried: ids.take(CARRIED_LIMIT).cloned().collect(),
            records: Vec::new(),
        }
    }
}

/// Checks that segments, from the first to the open one, form one unaltered trail.
///
/// # Errors
///
/// The first place at which they do not.
pub fn verify_trail(segments: &[AuditSegment]) -> Result<(), AuditBreak> {
    let mut chain: ContentHash = "".into();
    let mut seen = std::collections::BTreeSet::new();
    for (index, segment) in segments.iter().enumerate() {
        let number = segment.number;
        if number != index as u64 || segment.previous != chain {
            return Err(AuditBreak::Segment { number });
        }
        for record in &segment.records {
            let change = Arc::clone(&record.entry.change);
            if record.entry.chain_hash(&chain) != record.chain {
                return Err(AuditBreak::Entry { number, change });
            }
            if !seen.insert(Arc::clone(&change)) {
                return Err(AuditBreak::Doubled { number, change });
            }
            chain = Arc::clone(&record.chain);
        }
    }
    Ok(())
}
