//! Stand-ins for the platform, model engines and plain services, for tests and benchmarks.
//!
//! A stand-in implements the protocol of the component that it replaces, on a socket. It records
//! every operation that took effect in a ledger, and injects faults on request ([`FaultChange`]).
//! It runs on the arbiter that started it. Dropping a handle leaves the stand-in running;
//! [`EngineStandin::kill`] and [`EngineStandin::stop`] terminate it.

mod engine;
pub mod engine_sheet;
mod platform;
mod server;
mod service;
pub mod standin_error;
pub mod token_model;

#[doc(inline)]
pub use engine::{
    EngineCore, EngineEntry, EngineRefusal, EngineSettings, EngineStandin, StepDecision,
};
#[doc(inline)]
pub use platform::{CallCounts, PlatformEntry, PlatformSettings, PlatformStandin};
#[doc(inline)]
pub use server::fault_state::{BadAnswer, FaultChange, StandinFaults};
#[doc(inline)]
pub use service::{ServiceEntry, ServiceSettings, ServiceStandin};
#[doc(inline)]
pub use standin_error::StandinError;
#[doc(inline)]
pub use token_model::reference_answer;
