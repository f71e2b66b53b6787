//! Settings of the claim log.

use std::time::Duration;

use dandeliondeal_types::{Incarnation, InstanceId};

use crate::claim_key::ShardIndex;

/// Settings of the claim log. `shards` and `retention` have to be the same on every instance.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// This instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of shards.
    pub shards: ShardIndex,
    /// A key stands for its first request for at least this long.
    pub retention: Duration,
    /// A segment is sealed beyond this size in bytes.
    pub segment_bytes: usize,
    /// One write appends at most this many bytes, or one record.
    pub batch_bytes: usize,
    /// Longest answer body that is recorded, in bytes.
    pub answer_bytes: usize,
    /// Records of one shard that may wait for a write.
    pub pending_limit: usize,
    /// First pause after a call to the platform failed; it doubles with each failure.
    pub retry_pause: Duration,
    /// Longest pause after a call failed.
    pub longest_pause: Duration,
    /// Time between reads while a repeat waits for the first request.
    pub poll_interval: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            instance: "entry".into(),
            incarnation: 1,
            shards: 16,
            retention: Duration::from_hours(24),
            segment_bytes: 32 * 1024,
            batch_bytes: 256 * 1024,
            answer_bytes: 8 * 1024,
            pending_limit: 1_000,
            retry_pause: Duration::from_millis(20),
            longest_pause: Duration::from_secs(1),
            poll_interval: Duration::from_millis(100),
        }
    }
}
