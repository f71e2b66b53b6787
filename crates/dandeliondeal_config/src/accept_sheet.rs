//! Carries an operator's change through: contents, then the head, then the audit trail.

use dandeliondeal_store::WriteVerdict;
use dandeliondeal_types::{Clock, ObjectStore, Revision, StoreError};

use crate::SheetRows;
use crate::accept_error::AcceptError;
use crate::accept_plan::{AcceptPlan, ChangeRequest, conflict_with, plan_change, refusal_entry};
use crate::sheet_manifest::{HEAD_NAME, SheetHead, StoredSheet, content_name};
use crate::sheet_rows::RowChange;
use crate::store_call::{StoreCall, to_json};

/// What became of an accepted change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptReport {
    /// The revision that holds the sheet.
    pub revision: Revision,
    /// The rows that changed; empty if the sheet was in force already.
    pub changes: Vec<RowChange>,
    /// Whether the audit trail has the change; if not, the next change or `audit` adds it.
    pub audited: bool,
}

impl<Store, Time> StoreCall<'_, Store, Time>
where
    Store: ObjectStore,
    Time: Clock,
{
    /// Accepts a whole sheet.
    ///
    /// # Errors
    ///
    /// Why nothing of it was applied, or [`AcceptError::Unknown`].
    pub async fn accept_sheet(
        &self,
        rows: &SheetRows,
        request: &ChangeRequest,
    ) -> Result<AcceptReport, AcceptError> {
        self.change_sheet(request, |_stored| Ok(rows.clone())).await
    }

    /// Changes the accepted sheet by a function of it.
    ///
    /// # Errors
    ///
    /// As [`StoreCall::accept_sheet`], and the errors of `edit`.
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
            && (error.is_conflict() || error.is_input())
        {
            let entry = refusal_entry(request, stored.head.stamp.revision, error);
            // A refusal stands whether or not it can be recorded.
            let _ = self.append_entry(entry).await;
        }
        result
    }

    /// Records the refusal of a sheet that could not even be read.
    ///
    /// # Errors
    ///
    /// If the platform does not take the entry.
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
            return Err(conflict_with(stored, changes));
        }
        let rows = edit(&stored.rows)?;
        let Some(plan) = plan_change(stored, &rows, request)? else {
            return Ok(AcceptReport {
                revision: stored.head.stamp.revision,
                changes: Vec::new(),
                audited: true,
            });
        };
        // The head keeps only its own change, so the one before has to be in the trail first.
        self.append_head_entry(&stored.head).await?;
        self.write_contents(&plan).await?;
        self.write_head(stored, &plan, request).await?;
        Ok(AcceptReport {
            revision: plan.head.stamp.revision,
            audited: self.append_head_entry(&plan.head).await.is_ok(),
            changes: plan.changes,
        })
    }

    /// What changed since a revision; nothing is shown if it is unknown.
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
                return Err(AcceptError::damaged(&name, "its hash differs"));
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
            Ok(other) => {
                let changes = other.rows.changes_since(&stored.rows);
                conflict_with(&other, changes)
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
