//! Tasks, events and actions of a [`ShardWriter`](crate::ShardWriter).
//!
//! The caller submits tasks and reports events; the writer returns actions for it to execute.

use std::time::Instant;

use dandeliondeal_types::{ObjectName, ObjectValue, RequestId, StoreError, StoreVersion};

use crate::claim_record::{ClaimRecord, OutcomeRecord};
use crate::claim_table::ClaimView;
use crate::shard_log::SegmentWrite;

/// Identifier of a submitted task, by which the caller matches replies.
pub type TicketId = u64;

/// Operation on a shard's log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardTask {
    /// Claims a key.
    Claim(ClaimRecord, ClaimOrigin),
    /// Records an outcome.
    Record(OutcomeRecord),
    /// Waits until the request is no longer running.
    Await(RequestId),
    /// Reads the current state of the request from the log.
    Find(RequestId),
}

/// Origin of a claim, which decides whether an abandoned claim has to be withdrawn here.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ClaimOrigin {
    /// Only this instance may write the claim. It is withdrawn if a write of it was sent.
    #[default]
    Local,
    /// A peer forwarded the claim. The peer decides whether it is withdrawn.
    Peer,
    /// The claim was forwarded to a peer that did not answer and may have written it. It is always
    /// withdrawn.
    UnresponsivePeer,
}

/// Result of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardReply {
    /// The claim is in the log, so the request may run.
    Claimed,
    /// An earlier request with the same content has claimed the key.
    Repeat(ClaimView),
    /// An earlier request with different content has claimed the key.
    KeyReused,
    /// The outcome is in the log.
    Recorded,
    /// State of the request in the log; `None` if the log has no such request.
    Found(Option<ClaimView>),
    /// The request was withdrawn and must not run.
    Withdrawn,
    /// The task was not confirmed. A claim is withdrawn, and its request must not run.
    Unconfirmed(UnconfirmedCause),
}

/// Reason why a task was not confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnconfirmedCause {
    /// Too many tasks are pending.
    Overloaded,
    /// The deadline passed.
    Deadline,
    /// The log is corrupt.
    BrokenLog,
    /// The instances are configured with different shard counts or retention periods.
    OtherLayout,
}

/// Input to the writer.
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// A task was submitted.
    Submit {
        /// Identifier of the task.
        ticket: TicketId,
        /// The task.
        task: ShardTask,
        /// Time at which the task is abandoned.
        deadline: Instant,
    },
    /// Result of [`ShardAction::List`].
    Listed(Result<Vec<ObjectValue>, StoreError>),
    /// Result of [`ShardAction::Get`].
    Read(Result<Option<ObjectValue>, StoreError>),
    /// Result of [`ShardAction::Put`].
    Written(Result<StoreVersion, StoreError>),
    /// Result of [`ShardAction::Delete`].
    Deleted(Result<(), StoreError>),
    /// The time requested by [`ShardAction::Wake`] was reached.
    Tick,
}

/// Action for the caller of the writer to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardAction {
    /// Lists the objects whose names start with this prefix.
    List(String),
    /// Reads this object.
    Get(ObjectName),
    /// Sends this write.
    Put(SegmentWrite),
    /// Deletes this object if it has this version.
    Delete(ObjectName, StoreVersion),
    /// Delivers the reply to this task.
    Reply(TicketId, ShardReply),
    /// Requests a [`ShardEvent::Tick`] at this time.
    Wake(Instant),
}
