//! Reads and appends the audit trail in the platform's store.
//!
//! Each entry is appended exactly once, also when the response to a write is lost.

use std::sync::Arc;

use dandeliondeal_store::WriteVerdict;
use dandeliondeal_types::{Clock, ObjectStore};

use crate::accept_error::AcceptError;
use crate::audit_entry::ChangeEntry;
use crate::audit_segment::{AuditSegment, SEGMENT_BYTES_LIMIT};
use crate::sheet_manifest::{HEAD_NAME, SheetHead};
use crate::store_session::{StoreSession, to_json};

/// Object name of the open segment.
pub const OPEN_SEGMENT_NAME: &str = "audit/open";

/// Returns the object name of a closed segment.
pub fn segment_name(number: u64) -> String {
    format!("audit/segment/{number:08}")
}

impl<Store, Time> StoreSession<'_, Store, Time>
where
    Store: ObjectStore,
    Time: Clock,
{
    /// Appends an entry unless the trail already contains it.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not store the entry before the deadline.
    pub async fn append_entry(&self, entry: ChangeEntry) -> Result<(), AcceptError> {
        loop {
            let (version, mut segment) = self.read_json::<AuditSegment>(OPEN_SEGMENT_NAME).await?;
            if segment.contains(&entry.change) {
                return Ok(());
            }
            if to_json(&segment).len() > SEGMENT_BYTES_LIMIT {
                self.close_segment(&segment).await?;
                segment = segment.successor();
            }
            segment.push(entry.clone());
            let is_ours = |body: &str| {
                serde_json::from_str::<AuditSegment>(body)
                    .is_ok_and(|found| found.contains(&entry.change))
            };
            let body = to_json(&segment);
            let verdict = self
                .write(OPEN_SEGMENT_NAME, version, body, is_ours)
                .await?;
            if matches!(verdict, WriteVerdict::Written(_)) {
                return Ok(());
            }
        }
    }

    /// Appends the change in the head, in case its author stopped before appending it.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`StoreSession::append_entry`].
    pub async fn append_head_entry(&self, head: &SheetHead) -> Result<(), AcceptError> {
        match &head.change {
            None => Ok(()),
            Some(entry) => self.append_entry(entry.clone()).await,
        }
    }

    /// Reads the whole trail, after appending the change in the head if it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond or a segment is missing or damaged.
    pub async fn read_trail(&self) -> Result<Vec<AuditSegment>, AcceptError> {
        let (_, head) = self.read_json::<SheetHead>(HEAD_NAME).await?;
        self.append_head_entry(&head).await?;
        let (_, open) = self.read_json::<AuditSegment>(OPEN_SEGMENT_NAME).await?;
        let mut segments = Vec::new();
        for number in 0..open.number {
            let name = segment_name(number);
            let (version, segment) = self.read_json::<AuditSegment>(&name).await?;
            if version.is_none() {
                return Err(AcceptError::damaged(&name, "the object is missing"));
            }
            segments.push(segment);
        }
        segments.push(open);
        Ok(segments)
    }

    /// Stores a full segment under its number.
    ///
    /// Another writer may have stored an earlier state of the segment with fewer records; that
    /// state is replaced. If the stored state has more records, `segment` is no longer the open
    /// one, and the conditional write of the open segment fails afterwards.
    async fn close_segment(&self, segment: &AuditSegment) -> Result<(), AcceptError> {
        let name = segment_name(segment.number);
        let body: Arc<str> = to_json(segment);
        loop {
            let (version, found) = self.read_json::<AuditSegment>(&name).await?;
            if version.is_some() && found.records.len() >= segment.records.len() {
                return Ok(());
            }
            let is_ours = |found: &str| *found == *body;
            let verdict = self
                .write(&name, version, Arc::clone(&body), is_ours)
                .await?;
            if matches!(verdict, WriteVerdict::Written(_)) {
                return Ok(());
            }
        }
    }
}
