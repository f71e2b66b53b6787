//! Identifies an accepted revision and its content.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use dandeliondeal_types::Revision;

use crate::content_hash::ContentHash;

/// Number of a revision with the hash of its manifest; sent in heartbeats.
#[derive(Clone, Debug, Default, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("revision {revision}")]
pub struct RevisionStamp {
    /// Number of the revision; 0 before the first acceptance.
    pub revision: Revision,
    /// Hash of the manifest; empty for revision 0.
    pub manifest: ContentHash,
}
