//! Finds requests that crash endpoints, and decides which ones are refused for it.
//!
//! This crate makes decisions and performs no I/O. [`CrashTable`] holds what one instance knows of
//! crashes and answers; [`CrashReport`] carries it to other instances. [`find_verdicts`] decides
//! from the merged evidence which parts are to blame.
//!
//! What requests have in common are features: the parts of their prompts, and the fingerprint that
//! copies of one request share. All requests that a process was about to answer when it ended are
//! suspects. A feature is blamed if several processes ended under it and no answer was given under it
//! since; a part of prompts only together with the parts that can't be told apart from it.
//!
//! An end counts only if it is certain that the process ended: an instance that has lost its links
//! to the endpoints sees all of them end.

pub mod answer_memory;
mod crash_decision;
pub mod crash_evidence;
mod crash_exchange;
pub mod crash_report;
pub mod crash_table;
pub mod crash_verdict;
pub mod held_runs;
mod process_memory;
pub mod request_fingerprint;

#[doc(inline)]
pub use answer_memory::AnswerMemory;
#[doc(inline)]
pub use crash_evidence::{CrashSettings, FeatureEvidence, FeatureKey, ProcessEnd, ProcessId};
#[doc(inline)]
pub use crash_report::{CrashReport, EndClaim, FeatureClaim, VerdictClaim};
#[doc(inline)]
pub use crash_table::{CrashTable, QuarantineChange, RequestStanding, SuspectRequest};
#[doc(inline)]
pub use crash_verdict::{FeatureVerdict, find_verdicts};
#[doc(inline)]
pub use held_runs::{HeldRuns, HoldSettings, RunRecord, RunStage};
#[doc(inline)]
pub use request_fingerprint::{RequestIdentity, is_fingerprint};
