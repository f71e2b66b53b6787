//! Decides whether a change may be accepted, and what has to be written for it.

use std::collections::BTreeSet;
use std::sync::Arc;

use dandeliondeal_types::{Revision, SheetModel};

use crate::accept_error::AcceptError;
use crate::audit_entry::{ChangeEntry, ChangeVerdict};
use crate::content_hash::{ContentHash, content_hash};
use crate::sheet_chunk::{CHUNK_BYTES_LIMIT, split_sheet};
use crate::sheet_manifest::{RECENT_LIMIT, SheetHead, SheetManifest, StoredSheet};
use crate::sheet_rows::RowChange;
use crate::store_call::to_json;
use crate::{RevisionStamp, SheetColumn, SheetError, SheetRows, compile_sheet};

/// Share of what runs, from 0 to 1, that a sheet may remove without being told so.
pub const REMOVAL_SHARE: f64 = 0.1;

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Unique id of the change.
    pub change: Arc<str>,
    /// Who asks for it.
    pub author: Arc<str>,
    /// Time of day, in milliseconds since 1970.
    pub at_milliseconds: u64,
    /// The revision that the operator looked at, if the change depends on it.
    pub base: Option<Revision>,
    /// Whether the sheet may remove more than [`REMOVAL_SHARE`].
    pub allow_removals: bool,
}

/// What has to be written for an accepted change.
#[derive(Clone, Debug)]
pub struct AcceptPlan {
    /// Manifest and chunks that the revision before does not have, by hash.
    pub contents: Vec<(ContentHash, Arc<str>)>,
    /// The new head.
    pub head: SheetHead,
    /// The model of the new revision.
    pub model: SheetModel,
    /// The rows that change.
    pub changes: Vec<RowChange>,
}

/// Plans a change; `None` if the sheet says what is in force already.
///
/// # Errors
///
/// That the sheet is wrong or removes too much.
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
    if share > REMOVAL_SHARE && !request.allow_removals {
        return Err(AcceptError::Removal {
            share: share * 100.0,
            limit: REMOVAL_SHARE * 100.0,
        });
    }
    let entry = ChangeEntry {
        verdict: ChangeVerdict::Accepted,
        to: from + 1,
        ..entry_of(request, from, format!("{} rows changed", changes.len()))
    };
    build_plan(stored, rows, entry.with_changes(&changes), model, changes).map(Some)
}

/// The entry of a refused change.
pub fn refusal_entry(request: &ChangeRequest, from: Revision, error: &AcceptError) -> ChangeEntry {
    entry_of(request, from, error.to_string())
}

/// The error of a change that came second.
pub fn conflict_with(stored: &StoredSheet, changes: Vec<RowChange>) -> AcceptError {
    let author = stored.head.change.as_ref().map(|entry| &entry.author);
    AcceptError::Conflict {
        revision: stored.head.stamp.revision,
        author: author.cloned().unwrap_or_else(|| "nobody".into()),
        changes,
    }
}

fn entry_of(request: &ChangeRequest, from: Revision, summary: String) -> ChangeEntry {
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
    check_sizes(&chunks)?;
    let hashes: Vec<ContentHash> = chunks.iter().map(|body| content_hash(body)).collect();
    let manifest = to_json(&SheetManifest {
        revision: entry.to,
        parent: Arc::clone(&stored.head.stamp.manifest),
        change: Arc::clone(&entry.change),
        author: Arc::clone(&entry.author),
        at_milliseconds: entry.at_milliseconds,
        chunks: hashes.clone(),
    });
    let known = stored.manifest.iter().flat_map(|known| &known.chunks);
    let known: BTreeSet<&ContentHash> = known.collect();
    let stamp = RevisionStamp {
        revision: entry.to,
        manifest: content_hash(&manifest),
    };
    let mut contents: Vec<_> = hashes.into_iter().zip(chunks).collect();
    contents.retain(|(hash, _)| !known.contains(hash));
    contents.push((Arc::clone(&stamp.manifest), manifest));
    let mut recent = stored.head.recent.clone();
    recent.push(Arc::clone(&entry.change));
    recent.drain(..recent.len().saturating_sub(RECENT_LIMIT));
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

fn check_sizes(chunks: &[Arc<str>]) -> Result<(), AcceptError> {
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
