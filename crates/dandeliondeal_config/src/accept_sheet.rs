//! Accepts a change of the sheet: writes its contents, then the head, then the audit trail.

use dandeliondeal_store::WriteVerdict;
use dandeliondeal_types::{Clock, ObjectStore, Revision, StoreError};

use crate::SheetRows;
use crate::accept_error::AcceptError;
use crate::accept_plan::{AcceptPlan, ChangeRequest, conflict_error, plan_change, refusal_entry};
use crate::sheet_manifest::{HEAD_NAME, SheetHead, StoredSheet, content_name};
use crate::sheet_rows::RowChange;
use crate::store_session::{StoreSession, to_json};

/// Result of an accepted change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptReport {
    /// Revision that contains the sheet.
    pub revision: Revision,
    /// Rows that changed; empty if the sheet equals the accepted one.
    pub changes: Vec<RowChange>,
    /// Whether the change is in the audit trail; if not, the next change or `audit` appends it.
    pub audited: bool,
}

impl<Store, Time> StoreSession<'_, Store, Time>
where
    Store: ObjectStore,
    Time: Clock,
{
    /// Accepts a sheet in place of the current one.
    ///
    /// # Errors
    ///
    /// Returns the reason that no part of the change was applied, or [`AcceptError::Unknown`] if
    /// that is not certain.
    pub async fn accept_sheet(
        &self,
        rows: &SheetRows,
        request: &ChangeRequest,
    ) -> Result<AcceptReport, AcceptError> {
        self.change_sheet(request, |_stored| Ok(rows.clone())).await
    }

    /// Replaces the accepted sheet with the result of `edit` on it.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`StoreSession::accept_sheet`] and those of `edit`.
    pub async fn change_sheet<Edit>(
        &self,
        request: &ChangeRequest,
        edit: Edit,
    ) -> Result<AcceptReport, AcceptError>
    where
        Edit: FnOnce(&SheetRows) -> Result<SheetRows, AcceptError>,
    {
        let stored = self.load_sheet().await?;
        let result = self.try_change(&stored, request, edit).await;
        if let Err(error) = &result
            && (error.is_conflict() || error.is_invalid_sheet())
        {
            let entry = refusal_entry(request, stored.head.stamp.revision, error);
            // The change is refused even if the refusal cannot be recorded.
            let _ = self.append_entry(entry).await;
        }
        result
    }

    /// Records the refusal of a sheet that could not be parsed.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not store the entry.
    pub async fn record_refusal(
        &self,
        request: &ChangeRequest,
        error: &AcceptError,
    ) -> Result<(), AcceptError> {
        let (_, head) = self.read_json::<SheetHead>(HEAD_NAME).await?;
        let entry = refusal_entry(request, head.stamp.revision, error);
        self.append_entry(entry).await
    }

    async fn try_change<Edit>(
        &self,
        stored: &StoredSheet,
        request: &ChangeRequest,
        edit: Edit,
    ) -> Result<AcceptReport, AcceptError>
    where
        Edit: FnOnce(&SheetRows) -> Result<SheetRows, AcceptError>,
    {
        if let Some(base) = request
            .base
            .filter(|base| *base != stored.head.stamp.revision)
        {
            let changes = self.changes_since(stored, base).await?;
            return Err(conflict_error(stored, changes));
        }
        let rows = edit(&stored.rows)?;
        let Some(plan) = plan_change(stored, &rows, request)? else {
            return Ok(AcceptReport {
                revision: stored.head.stamp.revision,
                changes: Vec::new(),
                audited: true,
            });
        };
        // The head contains only its latest change, so the previous one has to be in the trail
        // before the head is replaced.
        self.append_head_entry(&stored.head).await?;
        self.write_contents(&plan).await?;
        self.write_head(stored, &plan, request).await?;
        Ok(AcceptReport {
            revision: plan.head.stamp.revision,
            audited: self.append_head_entry(&plan.head).await.is_ok(),
            changes: plan.changes,
        })
    }

    /// Returns the rows that changed since a revision; empty if `base` is not in the history.
    async fn changes_since(
        &self,
        stored: &StoredSheet,
        base: Revision,
    ) -> Result<Vec<RowChange>, AcceptError> {
        let mut next = stored.manifest.clone();
        while let Some(manifest) = next.filter(|manifest| manifest.revision > base) {
            if manifest.parent.is_empty() {
                return Ok(stored.rows.changes_since(&SheetRows::default()));
            }
            let parent = self.load_manifest(&manifest.parent).await?;
            if parent.revision == base {
                let rows = self.load_rows(&parent).await?;
                return Ok(stored.rows.changes_since(&rows));
            }
            next = Some(parent);
        }
        Ok(Vec::new())
    }

    async fn write_contents(&self, plan: &AcceptPlan) -> Result<(), AcceptError> {
        for (hash, body) in &plan.contents {
            let name = content_name(hash);
            let is_ours = |found: &str| *found == **body;
            let verdict = self.write(&name, None, body.clone(), is_ours).await?;
            if matches!(verdict, WriteVerdict::NotWritten(_)) {
                return Err(AcceptError::damaged(
                    &name,
                    "its content does not match its hash",
                ));
            }
        }
        Ok(())
    }

    async fn write_head(
        &self,
        stored: &StoredSheet,
        plan: &AcceptPlan,
        request: &ChangeRequest,
    ) -> Result<(), AcceptError> {
        let is_ours = |body: &str| {
            serde_json::from_str::<SheetHead>(body)
                .is_ok_and(|head| head.recent.contains(&request.change))
        };
        let body = to_json(&plan.head);
        match self.write(HEAD_NAME, stored.version, body, is_ours).await {
            Ok(WriteVerdict::Written(_)) => Ok(()),
            Ok(WriteVerdict::NotWritten(_)) => Err(self.describe_conflict(stored).await),
            Err(AcceptError::Platform { error, .. }) if !error.is_not_written() => {
                let change = request.change.clone();
                Err(AcceptError::Unknown { change, error })
            }
            Err(error) => Err(error),
        }
    }

    async fn describe_conflict(&self, stored: &StoredSheet) -> AcceptError {
        match self.load_sheet().await {
            Ok(latest) => {
                let changes = latest.rows.changes_since(&stored.rows);
                conflict_error(&latest, changes)
            }
            Err(_) => AcceptError::Platform {
                step: "write",
                error: StoreError::Conflict {
                    name: HEAD_NAME.into(),
                    found: None,
                },
            },
        }
    }
}
