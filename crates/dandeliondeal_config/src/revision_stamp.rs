//! Names one accepted revision and its content.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use dandeliondeal_types::Revision;

use crate::content_hash::ContentHash;

/// A revision and the hash of its manifest; heartbeats carry it.
#[derive(Clone, Debug, Default, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("revision {revision}")]
pub struct RevisionStamp {
    /// The revision; 0 before the first acceptance.
    pub revision: Revision,
    /// Hash of the manifest; empty for revision 0.
    pub manifest: ContentHash,
}
