//! Fleet-wide organisation limits, admission queues and load shedding.
//!
//! This crate makes decisions and performs no I/O. [`AdmissionQueue`] shares the capacity of one
//! instance among organisations. [`AdmissionGate`] shares the room of a graded service by urgency.
//! [`GrantOwner`] and [`GrantHolder`] share an organisation's limit among instances.
//! [`EndpointRates`] shares limits that endpoints state, and [`EndpointBackoffs`] keeps the pauses that
//! they ask for. [`LocalLimit`] applies an instance's share of the limit to single requests.
//! [`RunTimes`] estimates how long requests take.

pub mod admission_gate;
pub mod admission_queue;
pub mod admission_rank;
mod admission_share;
pub mod cost_estimate;
mod demand_meter;
pub mod demand_report;
mod demand_trend;
pub mod drain_rate;
pub mod endpoint_backoffs;
pub mod endpoint_rate;
pub mod endpoint_rates;
pub mod gate_request;
pub mod gate_settings;
pub mod gate_state;
pub mod grant_holder;
pub mod grant_message;
pub mod grant_owner;
pub mod limit_amount;
pub mod local_limit;
mod organisation_queue;
pub mod rate_bucket;
pub mod rate_claim;
mod retry_delay;
mod room_forecast;
pub mod run_times;
pub mod service_room;
mod service_times;
mod wait_queue;
pub mod water_fill;

#[doc(inline)]
pub use admission_gate::AdmissionGate;
#[doc(inline)]
pub use admission_queue::{
    AdmissionAction, AdmissionQueue, AdmissionSettings, QueuedRequest, RefusalReason,
};
#[doc(inline)]
pub use admission_rank::AdmissionRank;
#[doc(inline)]
pub use cost_estimate::CostEstimate;
#[doc(inline)]
pub use demand_report::{DemandReport, RankDemand};
#[doc(inline)]
pub use endpoint_backoffs::{BackoffSettings, EndpointBackoffs};
#[doc(inline)]
pub use endpoint_rate::{SenderShare, sender_count};
#[doc(inline)]
pub use endpoint_rates::{EndpointRates, RateSettings};
#[doc(inline)]
pub use gate_request::{GateAction, GateRequest};
#[doc(inline)]
pub use gate_settings::GateSettings;
#[doc(inline)]
pub use gate_state::GateState;
#[doc(inline)]
pub use grant_holder::GrantHolder;
#[doc(inline)]
pub use grant_message::{GrantAnswer, GrantRequest, HeldGrant};
#[doc(inline)]
pub use grant_owner::{GrantOwner, GrantSettings};
#[doc(inline)]
pub use limit_amount::LimitAmount;
#[doc(inline)]
pub use local_limit::LocalLimit;
#[doc(inline)]
pub use rate_bucket::RateBucket;
#[doc(inline)]
pub use rate_claim::{RateClaim, RateReport};
#[doc(inline)]
pub use run_times::RunTimes;
#[doc(inline)]
pub use service_room::ServiceRoom;
