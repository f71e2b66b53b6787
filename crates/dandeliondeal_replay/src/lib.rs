//! Replay of recorded traces against stated outcomes.
//!
//! A [`Trace`] is a file of JSON lines: a header, timed events, and stated outcomes. [`replay`]
//! drives the same deterministic cores as the daemon with a clock of its own, over small fakes of
//! engines, services and the platform, and reports every outcome that differs from the stated one
//! and every breach of what always holds.

mod event_queue;
mod recorded_sessions;
mod replay_claims;
mod replay_engine;
mod replay_instance;
mod replay_invariants;
mod replay_leases;
mod replay_orders;
mod replay_outcomes;
mod replay_pipeline;
pub mod replay_report;
mod replay_run;
mod replay_session;
mod replay_sheets;
mod replay_store;
mod replay_world;
pub mod trace_coverage;
pub mod trace_error;
pub mod trace_event;
pub mod trace_file;

#[doc(inline)]
pub use replay_report::{ReplayMismatch, ReplayReport};
#[doc(inline)]
pub use replay_run::replay;
#[doc(inline)]
pub use trace_coverage::{FailureKind, Guarantee, coverage};
#[doc(inline)]
pub use trace_error::TraceError;
#[doc(inline)]
pub use trace_event::{SheetVerdict, StatedOutcome, TraceEvent, TraceOutcome};
#[doc(inline)]
pub use trace_file::{EngineSpec, Trace, TraceHeader, TraceLine, TraceSettings, TraceStep};
