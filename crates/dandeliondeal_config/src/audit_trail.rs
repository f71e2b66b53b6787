//! The audit trail in the platform: appended without loss or doubling, read back and verified.

use std::sync::Arc;

use dandeliondeal_store::WriteVerdict;
use dandeliondeal_types::{Clock, ObjectStore};

use crate::accept_error::AcceptError;
use crate::audit_entry::ChangeEntry;
use crate::audit_segment::{AuditSegment, SEGMENT_BYTES_LIMIT};
use crate::sheet_manifest::{HEAD_NAME, SheetHead};
use crate::store_call::{StoreCall, to_json};

/// Name of the open segment.
pub const OPEN_SEGMENT_NAME: &str = "audit/open";

/// Name of a closed segment.
pub fn segment_name(number: u64) -> String {
    format!("audit/segment/{number:08}")
}

impl<Store, Time> StoreCall<'_, Store, Time>
where
    Store: ObjectStore,
    Time: Clock,
{
    /// Appends an entry unless the trail has it.
    ///
    /// # Errors
    ///
    /// If the platform does not take it before the deadline.
    pub async fn append_entry(&self, entry: ChangeEntry) -> Result<(), AcceptError> {
        loop {
            let (version, mut segment) = self.read_json::<AuditSegment>(OPEN_SEGMENT_NAME).await?;
            if segment.has(&entry.change) {
                return Ok(());
            }
            if to_json(&segment).len() > SEGMENT_BYTES_LIMIT {
                self.close_segment(&segment).await?;
                segment = segment.successor();
            }
            segment.push(entry.clone());
            let is_ours = |body: &str| {
                serde_json::from_str::<AuditSegment>(body)
                    .is_ok_and(|found| found.has(&entry.change))
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

    /// Appends the change that the head carries, if its author did not come to it.
    ///
    /// # Errors
    ///
    /// As [`StoreCall::append_entry`].
    pub async fn append_head_entry(&self, head: &SheetHead) -> Result<(), AcceptError> {
        match &head.change {
            None => Ok(()),
            Some(entry) => self.append_entry(entry.clone()).await,
        }
    }

    /// Reads the whole trail, after adding the change of the head if it is missing.
    ///
    /// # Errors
    ///
    /// If the platform does not answer or a segment is missing or damaged.
    pub async fn read_trail(&self) -> Result<Vec<AuditSegment>, AcceptError> {
        let (_, head) = self.read_json::<SheetHead>(HEAD_NAME).await?;
        self.append_head_entry(&head).await?;
        let (_, open) = self.read_json::<AuditSegment>(OPEN_SEGMENT_NAME).await?;
        let mut segments = Vec::new();
        for number in 0..open.number {
            let name = segment_name(number);
            let (version, segment) = self.read_json::<AuditSegment>(&name).await?;
            if version.is_none() {
                return Err(AcceptError::damaged(&name, "it does not exist"));
            }
            segments.push(segment);
        }
        segments.push(open);
        Ok(segments)
    }

    /// Keeps a full segment under its number.
    ///
    /// Another writer may have kept a shorter form of it that was open a moment earlier; that one
    /// is replaced. A longer form means that `segment` is no longer the open one, and the
    /// conditional write of the open segment then fails.
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
