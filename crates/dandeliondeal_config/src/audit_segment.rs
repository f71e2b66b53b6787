//! Segment of the audit trail: a bounded list of entries in a hash chain.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::audit_entry::ChangeEntry;
use crate::content_hash::ContentHash;

/// Size in bytes above which an open segment is closed.
pub const SEGMENT_BYTES_LIMIT: usize = 65_536;
/// Maximum number of change ids that a new segment carries over from the previous one.
const CARRIED_IDS_LIMIT: usize = 64;

/// Entry with the hash of the trail up to and including it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The recorded change.
    pub entry: ChangeEntry,
    /// Hash of this entry and all entries before it.
    pub chain: ContentHash,
}

/// Part of the trail; the last segment is open and receives new entries.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditSegment {
    /// Number of the segment, counted from 0.
    pub number: u64,
    /// Hash of the trail before this segment; empty for the first.
    pub previous: ContentHash,
    /// Ids of the last changes in the previous segment, to detect a repeated append.
    pub carried: Vec<Arc<str>>,
    /// Entries in the order of their append.
    pub records: Vec<AuditRecord>,
}

/// Integrity error of the audit trail.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum AuditError {
    /// A segment has the wrong number or does not continue the hash chain.
    #[display("segment {number} does not continue the trail")]
    Segment {
        /// Number of the segment.
        number: u64,
    },
    /// The content of an entry does not match its recorded hash.
    #[display("entry {change} in segment {number} was altered")]
    Entry {
        /// Number of the segment.
        number: u64,
        /// Id of the change.
        change: Arc<str>,
    },
    /// A change is recorded twice.
    #[display("entry {change} in segment {number} is recorded twice")]
    Duplicate {
        /// Number of the segment.
        number: u64,
        /// Id of the change.
        change: Arc<str>,
    },
}

impl AuditSegment {
    /// Returns whether the change is in this segment or among the carried ids.
    pub fn contains(&self, change: &str) -> bool {
        let is_carried = self.carried.iter().any(|id| &**id == change);
        is_carried
            || self
                .records
                .iter()
                .any(|record| &*record.entry.change == change)
    }

    /// Returns the hash of the trail up to the end of this segment.
    pub fn last_hash(&self) -> ContentHash {
        let last = self.records.last().map(|record| &record.chain);
        Arc::clone(last.unwrap_or(&self.previous))
    }

    /// Appends an entry and its chained hash.
    pub fn push(&mut self, entry: ChangeEntry) {
        let chain = entry.chain_hash(&self.last_hash());
        self.records.push(AuditRecord { entry, chain });
    }

    /// Returns the empty segment that follows this one.
    #[must_use]
    pub fn successor(&self) -> Self {
        let ids = self.records.iter().rev().map(|record| &record.entry.change);
        Self {
            number: self.number + 1,
            previous: self.last_hash(),
            carried: ids.take(CARRIED_IDS_LIMIT).cloned().collect(),
            records: Vec::new(),
        }
    }
}

/// Verifies that the segments, from the first to the open one, form an unaltered trail.
///
/// # Errors
///
/// Returns the first integrity error.
pub fn verify_trail(segments: &[AuditSegment]) -> Result<(), AuditError> {
    let mut last_hash: ContentHash = "".into();
    let mut seen = std::collections::BTreeSet::new();
    for (index, segment) in segments.iter().enumerate() {
        let number = segment.number;
        if number != index as u64 || segment.previous != last_hash {
            return Err(AuditError::Segment { number });
        }
        for record in &segment.records {
            let change = Arc::clone(&record.entry.change);
            if record.entry.chain_hash(&last_hash) != record.chain {
                return Err(AuditError::Entry { number, change });
            }
            if !seen.insert(Arc::clone(&change)) {
                return Err(AuditError::Duplicate { number, change });
            }
            last_hash = Arc::clone(&record.chain);
        }
    }
    Ok(())
}
