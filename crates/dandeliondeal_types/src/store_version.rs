//! Versions of the platform's store, which holds through restores from an older copy.

use serde::{Deserialize, Serialize};

use crate::id::{FencingNumber, StoreEra};

/// Distance between the fencing numbers of two eras; revisions are far lower.
const ERA_DISTANCE: FencingNumber = 1 << 40;

/// Version of the store or of one of its objects; each write increases it.
///
/// Revisions go back when the store is restored from a copy, and are assigned again to other content.
/// The era increases at each restore, so that versions are ordered by era, then by revision.
/// Versions of a store that states no era have the era 0.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(from = "VersionRecord", into = "VersionRecord")]
pub struct StoreVersion {
    /// Number of the store's restores.
    pub era: StoreEra,
    /// Number of changes within the era and in the copies that preceded it.
    pub revision: u64,
}

impl StoreVersion {
    /// Creates a version.
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the version after one more change.
    #[must_use]
    pub fn next(self) -> Self {
        Self {
            revision: self.revision + 1,
            ..self
        }
    }

    /// Returns the fencing number of a lease whose object has this version.
    ///
    /// It is higher than those of all earlier eras. The eras 0 and 1 both denote a store that was
    /// never restored.
    pub fn fencing_number(self) -> FencingNumber {
        let restores = self.era.saturating_sub(1);
        let base = restores.saturating_mul(ERA_DISTANCE);
        base.saturating_add(self.revision)
    }
}

/// Creates a version of a store that states no era.
impl From<u64> for StoreVersion {
    fn from(revision: u64) -> Self {
        Self { era: 0, revision }
    }
}

/// Serialized version; a plain revision belongs to a store that states no era.
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum VersionRecord {
    Revision(u64),
    EraAndRevision(StoreEra, u64),
}

impl From<VersionRecord> for StoreVersion {
    fn from(record: VersionRecord) -> Self {
        match record {
            VersionRecord::Revision(revision) => revision.into(),
            VersionRecord::EraAndRevision(era, revision) => Self { era, revision },
        }
    }
}

impl From<StoreVersion> for VersionRecord {
    fn from(version: StoreVersion) -> Self {
        match version {
            StoreVersion { era: 0, revision } => Self::Revision(revision),
            StoreVersion { era, revision } => Self::EraAndRevision(era, revision),
        }
    }
}
