//! Planning of chains over layer ranges, and the sessions that run requests through them.
//!
//! The crate performs no input or output. [`PlanIndex`] finds the cheapest chain of endpoints whose
//! layer ranges cover a model. [`SessionMachine`] runs one request through such a chain: it
//! processes [`SessionEvent`]s and returns the [`SessionAction`]s to perform.

pub mod input_log;
pub mod plan_chain;
pub mod plan_index;
pub mod plan_query;
mod plan_search;
mod session_answer;
pub mod session_counters;
pub mod session_event;
pub mod session_machine;
mod session_move;
pub mod session_record;
mod session_recovery;
pub mod session_settings;
pub mod session_stage;
pub mod session_state;
pub mod step_estimate;

#[doc(inline)]
pub use input_log::InputLog;
#[doc(inline)]
pub use plan_chain::{PlanChain, PlanStage};
#[doc(inline)]
pub use plan_index::PlanIndex;
#[doc(inline)]
pub use plan_query::{PlanQuery, PlanSettings};
#[doc(inline)]
pub use session_counters::SessionCounters;
#[doc(inline)]
pub use session_event::{AttemptNumber, SessionAction, SessionEvent};
#[doc(inline)]
pub use session_machine::SessionMachine;
#[doc(inline)]
pub use session_settings::{SessionSettings, SessionSpec};
#[doc(inline)]
pub use session_stage::SessionStage;
#[doc(inline)]
pub use session_state::{SessionSignal, SessionState};
#[doc(inline)]
pub use step_estimate::StepEstimate;
