//! Relays requests to plain services and to chains of engines.
//!
//! [`RouterServer`] runs a router: its listeners, its graceful shutdown and the tasks that follow
//! the platform's store. [`request_handler`] serves one request. Requests to plain services go
//! through [`plain_relay`], streams from chains of engines through [`StreamRelay`].
//! [`LayoutController`] orders engines to hold layers. [`RequestDialect`] and [`FleetDialect`]
//! convert from and to the wire format of a deployment.

mod acknowledged_leaves;
pub mod admission_metrics;
mod admission_news;
pub mod backoff_metrics;
pub mod body_metrics;
pub mod call_guard;
pub mod chain_selection;
pub mod chain_watch;
pub mod change_feed;
mod crash_watch;
mod departed_records;
pub mod dialect;
mod endpoint_backoff;
pub mod endpoint_exchange;
mod endpoint_leave;
mod endpoint_limits;
pub mod engine_absence;
pub mod engine_calls;
pub mod engine_check;
mod engine_exclusion;
pub mod engine_survey;
mod era_watch;
pub mod event_splitter;
pub mod feed_reply;
pub mod first_engine_health;
mod first_reads;
pub mod fleet_change;
mod fleet_health;
mod fleet_room;
pub mod fleet_sinks;
pub mod fleet_view;
pub mod graded_service;
mod handover;
pub mod handover_entrance;
mod handover_stream;
pub mod handover_wire;
mod held_run;
pub mod hub_capacity;
pub mod hub_selection;
pub mod instance_registry;
pub mod layout_controller;
pub mod lease_contenders;
pub mod link_monitor;
pub mod link_state;
pub mod load_exchange;
pub mod load_tracker;
pub mod loss_board;
pub mod loss_exchange;
pub mod loss_notice;
pub mod loss_sweep;
pub mod move_order;
pub mod outage_probe;
pub mod peer_choice;
pub mod peer_roster;
mod plain_admission;
mod plain_attempt;
pub mod plain_relay;
mod process_pause;
pub mod process_watch;
pub mod quarantine_store;
pub mod refusal;
pub mod relay_body;
pub mod relay_context;
pub mod relay_error;
pub mod relay_lifecycle;
pub mod relay_metrics;
pub mod relay_outcome;
mod repeat_allowance;
pub mod repeat_metrics;
pub mod request_admission;
pub mod request_handler;
pub mod request_intake;
pub mod request_progress;
mod request_standing;
pub mod router_server;
mod run_source;
mod running_request;
mod service_gate;
pub mod shared_store;
mod silence_board;
mod silence_exchange;
pub mod silence_watch;
mod stop_admission;
pub mod store_watch;
mod stream_admission;
mod stream_handover;
mod stream_rejection;
pub mod stream_relay;
mod stream_replacement;
mod stream_run;
mod stream_standing;
mod stream_start;

#[doc(inline)]
pub use dialect::{
    AttemptFacts, CallerFacts, DecodeError, EngineReport, FleetDialect, LayerOrder, OrderReply,
    ReportedLoad, RequestDialect, ResponseFacts, StalledRequest,
};
#[doc(inline)]
pub use event_splitter::{EventError, EventSplitter};
#[doc(inline)]
pub use fleet_view::{FleetChange, FleetView};
#[doc(inline)]
pub use layout_controller::LayoutController;
#[doc(inline)]
pub use load_tracker::LoadTracker;
#[doc(inline)]
pub use refusal::RefusalCause;
#[doc(inline)]
pub use relay_body::RelayBody;
#[doc(inline)]
pub use relay_context::RelayContext;
#[doc(inline)]
pub use relay_error::RelayError;
#[doc(inline)]
pub use relay_lifecycle::RelayLifecycle;
#[doc(inline)]
pub use router_server::RouterServer;
#[doc(inline)]
pub use stream_relay::StreamRelay;
