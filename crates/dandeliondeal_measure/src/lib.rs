//! Measurements of the router's own code over loopback sockets or in virtual time.
//!
//! Each measurement is a module with a `run` function that prints a table and JSON lines. Where
//! machine noise would matter, figures are ratios to a baseline or a bound from the same run.

pub mod choice;
pub mod choice_policy;
pub mod choice_scenario;
pub mod choice_simulation;
pub mod claim_load;
pub mod claim_testbed;
pub mod claims;
pub mod engine_setup;
pub mod fleet_testbed;
pub mod footprint;
pub mod generation_testbed;
pub mod limits;
pub mod measure_error;
pub mod measure_settings;
pub mod membership;
pub mod overhead;
pub mod overload;
pub mod overload_simulation;
pub mod plot;
pub mod recovery;
pub mod rollout;
pub mod target_sheet;
pub mod throughput;

#[doc(inline)]
pub use measure_error::MeasureError;
#[doc(inline)]
pub use measure_settings::MeasureSettings;
