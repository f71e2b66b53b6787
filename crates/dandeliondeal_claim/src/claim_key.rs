//! What a caller's idempotency key stands for.

use std::sync::Arc;

use dandeliondeal_types::OrganisationId;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Index of a shard of the claim log.
pub type ShardIndex = u16;

/// An idempotency key within its organisation.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{organisation}/{key}")]
pub struct ClaimKey {
    /// The caller's organisation.
    pub organisation: OrganisationId,
    /// The key as the caller gave it.
    pub key: Arc<str>,
}

impl ClaimKey {
    /// The shard that holds the claims of this key.
    pub fn shard(&self, shards: ShardIndex) -> ShardIndex {
        let mut text = Vec::with_capacity(self.organisation.len() + self.key.len() + 1);
        text.extend_from_slice(self.organisation.as_bytes());
        text.push(0);
        text.extend_from_slice(self.key.as_bytes());
        let index = xxh3_64(&text) % u64::from(shards.max(1));
        ShardIndex::try_from(index).unwrap_or_default()
    }
}

/// Hash of a request's content, by which a repeat is told from another request.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct RequestFingerprint(u64, u64);

impl RequestFingerprint {
    /// Fingerprint of a request by its parts.
    pub fn of<'part, Parts>(parts: Parts) -> Self
    where
        Parts: IntoIterator<Item = &'part [u8]>,
    {
        let mut hash = Xxh3::new();
        for part in parts {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest = hash.digest128().to_le_bytes();
        let (low, high) = digest.split_at(size_of::<u64>());
        Self(word(low), word(high))
    }
}

fn word(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |word, byte| (word << 8) | u64::from(*byte))
}
