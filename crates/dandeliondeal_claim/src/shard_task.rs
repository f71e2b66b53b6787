//! What is asked of a shard's log, and what its writer asks of the shell.

use std::time::Instant;

use dandeliondeal_types::{ObjectName, ObjectValue, RequestId, StoreError, Version};

use crate::claim_record::{ClaimRecord, OutcomeRecord};
use crate::claim_table::ClaimView;
use crate::shard_log::SegmentWrite;

/// Names one submission; the shell gives replies by it.
pub type TicketId = u64;

/// What is asked of a shard's log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardTask {
    /// Claim a key.
    Claim(ClaimRecord, ClaimOrigin),
    /// Record an outcome.
    Record(OutcomeRecord),
    /// Wait until the request is no longer running.
    Await(RequestId),
    /// Read what the log says of the request now.
    Look(RequestId),
}

/// Who else may write a claim to the log, and so who withdraws it if it is given up.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ClaimOrigin {
    /// Nobody else: it is withdrawn here if a write of it was sent.
    #[default]
    Local,
    /// A peer asked for it; that peer decides whether it is withdrawn.
    Peer,
    /// A peer was asked first and did not answer: it is withdrawn here in any case.
    Unanswered,
}

/// How a task ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardReply {
    /// The claim is in the log: the request may run.
    Claimed,
    /// An earlier request holds the key.
    Repeat(ClaimView),
    /// The key stands for a request of other content.
    KeyReused,
    /// The outcome is in the log.
    Recorded,
    /// What the log says of the request.
    Found(Option<ClaimView>),
    /// The request was withdrawn and may not run.
    Withdrawn,
    /// It was not confirmed in time; a claim is withdrawn and its request may not run.
    Unconfirmed(UnconfirmedCause),
}

/// Why a task was not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnconfirmedCause {
    /// Too many records wait.
    Overloaded,
    /// The deadline passed.
    Deadline,
    /// The log is broken.
    BrokenLog,
    /// The instances differ in the number of shards or the retention.
    OtherLayout,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// A task arrived.
    Submit {
        /// Its name.
        ticket: TicketId,
        /// What is asked.
        task: ShardTask,
        /// When to give up.
        deadline: Instant,
    },
    /// Answer to [`ShardAction::List`].
    Listed(Result<Vec<ObjectValue>, StoreError>),
    /// Answer to [`ShardAction::Get`].
    Read(Result<Option<ObjectValue>, StoreError>),
    /// Answer to [`ShardAction::Put`].
    Written(Result<Version, StoreError>),
    /// Answer to [`ShardAction::Delete`].
    Deleted(Result<(), StoreError>),
    /// The time asked for by [`ShardAction::Wake`] has come.
    Tick,
}

/// What the shell has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardAction {
    /// List the objects with this prefix.
    List(String),
    /// Read this object.
    Get(ObjectName),
    /// Send this write.
    Put(SegmentWrite),
    /// Delete this object at this version.
    Delete(ObjectName, Version),
    /// Give a reply.
    Reply(TicketId, ShardReply),
    /// Come back with [`ShardEvent::Tick`] at this time.
    Wake(Instant),
}
