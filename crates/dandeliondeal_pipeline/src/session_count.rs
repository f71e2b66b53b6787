//! What a session has met.

/// Counts of dropped answers and of recoveries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SessionCount {
    /// Steps sent.
    pub steps: u64,
    /// Answers that belonged to another request.
    pub crossed: u64,
    /// Answers of an older lineage, or of a step that has been taken in already.
    pub stale: u64,
    /// Answers that the protocol does not allow.
    pub bad: u64,
    /// Steps that an engine went on with over a new connection.
    pub resumed: u64,
    /// Stages that moved with their KV cache.
    pub imported: u64,
    /// Stages that were fed again from logged inputs.
    pub fed: u64,
    /// Healthy stages that ran again because the log no longer held what the failed one needed.
    pub rerun: u64,
    /// Times that the whole chain was replaced.
    pub restarted: u64,
}
