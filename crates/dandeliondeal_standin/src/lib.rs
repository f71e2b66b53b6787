//! Small stand-ins for the platform, engines and services.
//!
//! A stand-in serves the protocol of the real thing on a loopback socket, keeps a ledger of what
//! took effect, and brings about the failures that it is told to ([`FaultChange`]). It runs on the
//! arbiter that started it. Dropping a handle leaves the stand-in running; [`EngineStandin::kill`]
//! and [`EngineStandin::stop`] end it.

mod engine;
mod platform;
mod service;
mod shell;
pub mod site_sheet;
pub mod standin_error;
pub mod token_model;

#[doc(inline)]
pub use engine::{
    EngineCore, EngineEntry, EngineRefusal, EngineSettings, EngineStandin, StepDecision,
};
#[doc(inline)]
pub use platform::{CallCounts, PlatformEntry, PlatformSettings, PlatformStandin};
#[doc(inline)]
pub use service::{ServiceEntry, ServiceSettings, ServiceStandin};
#[doc(inline)]
pub use shell::fault_state::{BadAnswer, FaultChange, StandinFaults};
#[doc(inline)]
pub use standin_error::StandinError;
#[doc(inline)]
pub use token_model::reference_answer;
