//! Finds parts of prompts that crash engines, and decides which requests are refused for it.
//!
//! This crate makes decisions and performs no I/O. [`CrashTable`] holds what one instance knows of
//! crashes and answers; [`CrashReport`] carries it to other instances. [`find_verdicts`] decides
//! from the merged evidence which parts are to blame.
//!
//! All requests that an engine was about to answer when its process ended are suspects. A part is
//! blamed if several processes ended under it and no answer was given under it since, and only
//! together with the parts that can't be told apart from it.

pub mod answer_memory;
pub mod crash_evidence;
pub mod crash_report;
pub mod crash_table;
pub mod crash_verdict;
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
pub use request_fingerprint::{RequestIdentity, is_fingerprint};
