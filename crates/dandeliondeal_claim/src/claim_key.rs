//! Idempotency keys and request fingerprints.

use std::sync::Arc;

use dandeliondeal_types::OrganisationId;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Index of a claim log shard.
pub type ShardIndex = u16;

/// Idempotency key, scoped to the organisation that uses it.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{organisation}/{key}")]
pub struct ClaimKey {
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Key as sent by the caller.
    pub key: Arc<str>,
}

impl ClaimKey {
    /// Returns the shard that stores the claims for this key.
    pub fn shard(&self, shards: ShardIndex) -> ShardIndex {
        let mut bytes = Vec::with_capacity(self.organisation.len() + self.key.len() + 1);
        bytes.extend_from_slice(self.organisation.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(self.key.as_bytes());
        let index = xxh3_64(&bytes) % u64::from(shards.max(1));
        ShardIndex::try_from(index).unwrap_or_default()
    }
}

/// Hash of a request's content, which distinguishes a retry from a different request.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct RequestFingerprint(u64, u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a request from its parts.
    ///
    /// Each part is prefixed with its length, so that moving bytes between parts changes the
    /// result.
    pub fn from_parts<'part, Parts>(parts: Parts) -> Self
    where
        Parts: IntoIterator<Item = &'part [u8]>,
    {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.digest128().to_le_bytes();
        let (low_bytes, high_bytes) = digest.split_at(size_of::<u64>());
        Self(u64_from_le(low_bytes), u64_from_le(high_bytes))
    }
}

fn u64_from_le(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |value, byte| (value << 8) | u64::from(*byte))
}
