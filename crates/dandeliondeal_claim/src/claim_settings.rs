//! Settings of the claim log.

use std::time::Duration;

use dandeliondeal_types::{Incarnation, InstanceId};

use crate::claim_key::ShardIndex;

/// Settings of the claim log.
///
/// `shards` and `retention` must be the same on every instance.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// Number of shards of the claim log.
    pub shards: ShardIndex,
    /// Minimum time for which a key stays bound to its first request.
    pub retention: Duration,
    /// Size in bytes at which a segment is sealed.
    pub segment_bytes: usize,
    /// Maximum number of bytes appended by one write; a larger record is written alone.
    pub batch_bytes: usize,
    /// Maximum size in bytes of a recorded answer body.
    pub answer_bytes: usize,
    /// Maximum number of pending tasks in one shard; further tasks are rejected.
    pub max_pending_tasks: usize,
    /// Delay after the first failed platform call; it doubles with each consecutive failure.
    pub initial_retry_delay: Duration,
    /// Maximum delay after a failed platform call.
    pub max_retry_delay: Duration,
    /// Interval between reads while a retry waits for the outcome of the first request.
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
            max_pending_tasks: 1_000,
            initial_retry_delay: Duration::from_millis(20),
            max_retry_delay: Duration::from_secs(1),
            poll_interval: Duration::from_millis(100),
        }
    }
}
