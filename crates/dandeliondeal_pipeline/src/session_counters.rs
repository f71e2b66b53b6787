//! Counters of a session's steps, dropped answers and recoveries.

/// Counters of steps, dropped answers and recoveries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SessionCounters {
    /// Sends of steps, repeated ones included.
    pub steps: u64,
    /// Answers to another request.
    pub other_request: u64,
    /// Answers to an older lineage, or to a step that has been answered already.
    pub stale: u64,
    /// Answers that violate the protocol.
    pub invalid: u64,
    /// Steps that were sent again over a new connection to the same engine.
    pub resumed: u64,
    /// Stages that moved to another endpoint with their KV cache.
    pub imported: u64,
    /// Stages that were replaced and whose logged inputs were replayed.
    pub replayed: u64,
    /// Healthy stages that ran again because the failed stage's log had been trimmed.
    pub rerun: u64,
    /// Replacements of the whole chain.
    pub restarted: u64,
}
