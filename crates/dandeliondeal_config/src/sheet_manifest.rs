//! What the platform keeps of a revision beside its chunks.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use dandeliondeal_types::Revision;

use crate::audit_entry::ChangeEntry;
use crate::content_hash::ContentHash;
use crate::{RevisionStamp, SheetRows};

/// Name of the head object.
pub const HEAD_NAME: &str = "config/head";
/// Number of changes that the head remembers.
///
/// A lost answer has to be resolved before so many others changed the head.
pub const RECENT_LIMIT: usize = 128;

/// Name of a manifest or chunk.
pub fn content_name(hash: &str) -> String {
    format!("config/content/{hash}")
}

/// The chunks of a revision, and what came before it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SheetManifest {
    /// The revision.
    pub revision: Revision,
    /// Hash of the manifest before this one; empty for the first.
    pub parent: ContentHash,
    /// The change that made the revision.
    pub change: Arc<str>,
    /// Who made it.
    pub author: Arc<str>,
    /// Time of day, in milliseconds since 1970.
    pub at_milliseconds: u64,
    /// Hashes of the chunks.
    pub chunks: Vec<ContentHash>,
}

/// The head object: the revision in force and the change that led to it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SheetHead {
    /// The accepted revision.
    pub stamp: RevisionStamp,
    /// The change, for the audit trail; `None` before the first acceptance.
    pub change: Option<ChangeEntry>,
    /// Ids of the last changes, the newest last.
    pub recent: Vec<Arc<str>>,
}

/// A revision as read from the platform.
#[derive(Clone, Debug, Default)]
pub struct StoredSheet {
    /// The head.
    pub head: SheetHead,
    /// Version of the head object; `None` if it does not exist.
    pub version: Option<dandeliondeal_types::Version>,
    /// The manifest; `None` before the first acceptance.
    pub manifest: Option<SheetManifest>,
    /// The rows.
    pub rows: SheetRows,
}
