//! Validates a change of the sheet and prepares the objects that have to be written for it.

use std::collections::BTreeSet;
use std::sync::Arc;

use dandeliondeal_types::{Revision, SheetModel};

use crate::accept_error::AcceptError;
use crate::audit_entry::{ChangeEntry, ChangeVerdict};
use crate::content_hash::{ContentHash, content_hash};
use crate::sheet_chunk::{CHUNK_BYTES_LIMIT, split_sheet};
use crate::sheet_manifest::{RECENT_CHANGES_LIMIT, SheetHead, SheetManifest, StoredSheet};
use crate::sheet_rows::RowChange;
use crate::store_session::to_json;
use crate::{RevisionStamp, SheetColumn, SheetError, SheetRows, compile_sheet};

/// Share of the accepted entities, from 0 to 1, that a sheet may remove by default.
pub const REMOVED_SHARE_LIMIT: f64 = 0.1;

/// Change requested by an operator.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Unique id of the change.
    pub change: Arc<str>,
    /// Name of the operator who requests the change.
    pub author: Arc<str>,
    /// Wall-clock time of the request, in milliseconds since the Unix epoch.
    pub at_milliseconds: u64,
    /// Revision that must still be the latest one, if the change depends on it.
    pub base: Option<Revision>,
    /// Whether the sheet may remove more than [`REMOVED_SHARE_LIMIT`].
    pub allow_removals: bool,
}

/// Objects that have to be written to accept a change.
#[derive(Clone, Debug)]
pub struct AcceptPlan {
    /// Manifest, and the chunks that the previous revision does not have, each with its hash.
    pub contents: Vec<(ContentHash, Arc<str>)>,
    /// New head object.
    pub head: SheetHead,
    /// Compiled model of the new revision.
    pub model: SheetModel,
    /// Rows that differ from the previous revision.
    pub changes: Vec<RowChange>,
}

/// Plans a change; returns `None` if the sheet equals the accepted one.
///
/// # Errors
///
/// Returns an error if the sheet is invalid or removes too many entities.
pub fn plan_change(
    stored: &StoredSheet,
    rows: &SheetRows,
    request: &ChangeRequest,
) -> Result<Option<AcceptPlan>, AcceptError> {
    let from = stored.head.stamp.revision;
    let model = compile_sheet(from + 1, rows).map_err(|errors| AcceptError::Invalid { errors })?;
    let changes = rows.changes_since(&stored.rows);
    if changes.is_empty() {
        return Ok(None);
    }
    let share = rows.removed_share(&stored.rows);
    if share > REMOVED_SHARE_LIMIT && !request.allow_removals {
        return Err(AcceptError::Removal {
            share: share * 100.0,
            limit: REMOVED_SHARE_LIMIT * 100.0,
        });
    }
    let entry = ChangeEntry {
        verdict: ChangeVerdict::Accepted,
        to: from + 1,
        ..build_entry(request, from, format!("{} rows changed", changes.len()))
    };
    build_plan(stored, rows, entry.with_changes(&changes), model, changes).map(Some)
}

/// Builds the audit entry of a refused change.
pub fn refusal_entry(request: &ChangeRequest, from: Revision, error: &AcceptError) -> ChangeEntry {
    build_entry(request, from, error.to_string())
}

/// Builds the error of a change that lost to the revision in `stored`.
pub fn conflict_error(stored: &StoredSheet, changes: Vec<RowChange>) -> AcceptError {
    let author = stored.head.change.as_ref().map(|entry| &entry.author);
    AcceptError::Conflict {
        revision: stored.head.stamp.revision,
        author: author.cloned().unwrap_or_else(|| "nobody".into()),
        changes,
    }
}

fn build_entry(request: &ChangeRequest, from: Revision, summary: String) -> ChangeEntry {
    ChangeEntry {
        change: Arc::clone(&request.change),
        author: Arc::clone(&request.author),
        at_milliseconds: request.at_milliseconds,
        verdict: ChangeVerdict::Refused,
        from,
        to: from,
        summary: summary.into(),
        changes: Vec::new(),
    }
}

fn build_plan(
    stored: &StoredSheet,
    rows: &SheetRows,
    entry: ChangeEntry,
    model: SheetModel,
    changes: Vec<RowChange>,
) -> Result<AcceptPlan, AcceptError> {
    let chunks = split_sheet(rows);
    check_chunk_sizes(&chunks)?;
    let hashes: Vec<ContentHash> = chunks.iter().map(|body| content_hash(body)).collect();
    let manifest = to_json(&SheetManifest {
        revision: entry.to,
        parent: Arc::clone(&stored.head.stamp.manifest),
        change: Arc::clone(&entry.change),
        author: Arc::clone(&entry.author),
        at_milliseconds: entry.at_milliseconds,
        chunks: hashes.clone(),
    });
    let stored_chunks = stored.manifest.iter().flat_map(|previous| &previous.chunks);
    let stored_chunks: BTreeSet<&ContentHash> = stored_chunks.collect();
    let stamp = RevisionStamp {
        revision: entry.to,
        manifest: content_hash(&manifest),
    };
    let mut contents: Vec<_> = hashes.into_iter().zip(chunks).collect();
    contents.retain(|(hash, _)| !stored_chunks.contains(hash));
    contents.push((Arc::clone(&stamp.manifest), manifest));
    let mut recent = stored.head.recent.clone();
    recent.push(Arc::clone(&entry.change));
    recent.drain(..recent.len().saturating_sub(RECENT_CHANGES_LIMIT));
    Ok(AcceptPlan {
        contents,
        head: SheetHead {
            stamp,
            change: Some(entry),
            recent,
        },
        model,
        changes,
    })
}

fn check_chunk_sizes(chunks: &[Arc<str>]) -> Result<(), AcceptError> {
    match chunks.iter().find(|body| body.len() > CHUNK_BYTES_LIMIT) {
        None => Ok(()),
        Some(body) => {
            let problem = format!("a part of the sheet has {} bytes", body.len());
            let expected = format!("at most {CHUNK_BYTES_LIMIT} bytes, by shorter values");
            let error = SheetError::new(1, SheetColumn::Row, problem, expected);
            Err(AcceptError::Invalid {
                errors: vec![error],
            })
        }
    }
}
