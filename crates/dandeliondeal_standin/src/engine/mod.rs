//! A stand-in for a model engine.

mod engine_core;
mod engine_handler;
mod engine_order;
mod engine_session;
mod engine_settings;
mod engine_standin;

pub use engine_core::{EngineCore, EngineEntry, EngineRefusal, StepDecision};
pub use engine_settings::EngineSettings;
pub use engine_standin::EngineStandin;
