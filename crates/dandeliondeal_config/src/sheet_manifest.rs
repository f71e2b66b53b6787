//! Objects that the platform stores for a revision in addition to its chunks.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use dandeliondeal_types::Revision;

use crate::audit_entry::ChangeEntry;
use crate::content_hash::ContentHash;
use crate::{RevisionStamp, SheetRows};

/// Object name of the head.
pub const HEAD_NAME: &str = "config/head";
/// Number of change ids that the head stores.
///
/// The outcome of a write whose response was lost can be found until this many later changes
/// were accepted.
pub const RECENT_CHANGES_LIMIT: usize = 128;

/// Returns the object name of a manifest or chunk.
pub fn content_name(hash: &str) -> String {
    format!("config/content/{hash}")
}

/// List of the chunks of a revision, with a link to the previous manifest.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SheetManifest {
    /// Number of the revision.
    pub revision: Revision,
    /// Hash of the previous manifest; empty for the first revision.
    pub parent: ContentHash,
    /// Id of the change that created the revision.
    pub change: Arc<str>,
    /// Author of the change.
    pub author: Arc<str>,
    /// Wall-clock time of the change, in milliseconds since the Unix epoch.
    pub at_milliseconds: u64,
    /// Hashes of the chunks.
    pub chunks: Vec<ContentHash>,
}

/// Head object: the accepted revision and the change that created it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SheetHead {
    /// Latest accepted revision.
    pub stamp: RevisionStamp,
    /// Change that created the revision, for the audit trail; `None` before the first acceptance.
    pub change: Option<ChangeEntry>,
    /// Ids of the latest changes, the newest last.
    pub recent: Vec<Arc<str>>,
}

/// Revision of the sheet as read from the platform.
#[derive(Clone, Debug, Default)]
pub struct StoredSheet {
    /// Head object.
    pub head: SheetHead,
    /// Version of the head object; `None` if it does not exist.
    pub version: Option<dandeliondeal_types::StoreVersion>,
    /// Manifest of the revision; `None` before the first acceptance.
    pub manifest: Option<SheetManifest>,
    /// Rows of the sheet.
    pub rows: SheetRows,
}
