//! Endpoint health, endpoint selection, slow start, silence inference and the retry budget.
//!
//! This crate makes decisions and performs no I/O. [`EndpointMonitor`] records events at the
//! endpoints and selects which of them to use. [`RetryBudget`] decides whether a failed attempt may
//! be repeated. [`SilenceInference`] infers lost engines from streams that fall silent together.

mod endpoint_group;
pub mod endpoint_health;
pub mod endpoint_load;
pub mod endpoint_monitor;
pub mod endpoint_profile;
mod endpoint_slot;
mod engine_life;
pub mod health_chart;
pub mod inference_settings;
pub mod load_report;
pub mod monitor_settings;
pub mod monitor_view;
pub mod report_schedule;
mod reported_silences;
pub mod retry_budget;
mod sample_rank;
pub mod signal_window;
pub mod silence_hub;
pub mod silence_inference;
mod silence_odds;
pub mod silence_report;
pub mod stable_subset;

#[doc(inline)]
pub use endpoint_health::EndpointHealth;
#[doc(inline)]
pub use endpoint_load::EndpointLoad;
#[doc(inline)]
pub use endpoint_monitor::EndpointMonitor;
#[doc(inline)]
pub use endpoint_profile::{CallResult, EndpointProfile, FailureSignal};
#[doc(inline)]
pub use health_chart::{HealthEvent, HealthState};
#[doc(inline)]
pub use inference_settings::InferenceSettings;
#[doc(inline)]
pub use load_report::LoadReport;
#[doc(inline)]
pub use monitor_settings::{HealthSettings, MonitorSettings, SelectionSettings};
#[doc(inline)]
pub use monitor_view::{FullView, SampledView};
#[doc(inline)]
pub use report_schedule::{ReportSchedule, ScheduleSettings};
#[doc(inline)]
pub use retry_budget::{RetryBudget, RetrySettings};
#[doc(inline)]
pub use silence_hub::{HubSettings, SilenceHub};
#[doc(inline)]
pub use silence_inference::{SilenceInference, StreamKey};
#[doc(inline)]
pub use silence_report::{ObserverReport, SilenceReport, SilentChain, Suspicion};
