//! At-most-once claims for non-repeatable requests.
//!
//! The claims of all instances are stored in a log on the platform, which is split into shards by
//! a hash of organisation and idempotency key. A [`ShardWriter`] decides which platform calls to
//! make for one shard; a [`ClaimTable`] holds the state that results from the log. This crate
//! performs no input or output: the caller executes the returned actions.

pub mod claim_error;
pub mod claim_key;
pub mod claim_record;
pub mod claim_settings;
pub mod claim_state;
pub mod claim_table;
pub mod shard_log;
pub mod shard_task;
pub mod shard_writer;

#[doc(inline)]
pub use claim_error::ClaimError;
#[doc(inline)]
pub use claim_key::{ClaimKey, RequestFingerprint, ShardIndex};
#[doc(inline)]
pub use claim_record::{BatchStart, ClaimAnswer, ClaimRecord, LogLine, OutcomeRecord};
#[doc(inline)]
pub use claim_settings::ClaimSettings;
#[doc(inline)]
pub use claim_state::{ClaimEvent, ClaimState, claim_chart};
#[doc(inline)]
pub use claim_table::{ClaimDecision, ClaimTable, ClaimView};
#[doc(inline)]
pub use shard_log::{SegmentIndex, SegmentWrite, ShardLog};
#[doc(inline)]
pub use shard_task::{
    ClaimOrigin, ShardAction, ShardEvent, ShardReply, ShardTask, TicketId, UnconfirmedCause,
};
#[doc(inline)]
pub use shard_writer::ShardWriter;
