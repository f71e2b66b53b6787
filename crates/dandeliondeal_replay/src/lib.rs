//! Deterministic replay of traces with expected outcomes.
//!
//! A [`Trace`] is a file of JSON lines: a header, timed events, and expected outcomes. [`replay`]
//! drives the daemon's deterministic state machines with a manual clock and simulated engines,
//! services and platform. It reports every outcome that differs from the expected one and every
//! violation of an invariant.

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
mod replay_simulation;
mod replay_store;
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
pub use trace_event::{RequestOutcome, SheetVerdict, TraceEvent, TraceExpectation};
#[doc(inline)]
pub use trace_file::{EngineSpec, Trace, TraceHeader, TraceLine, TraceSettings, TraceStep};
