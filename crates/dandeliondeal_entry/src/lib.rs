//! The entry instance: caller API, endpoint client, peer server, metrics and planned stop.
//!
//! All components of an instance run on one arbiter and share their state through
//! [`EntryContext`]. The lower-level crates make the decisions; this crate provides the sockets and
//! timers.

pub mod admission;
pub mod admission_capacity;
pub mod body_reader;
pub mod caller_api;
pub mod caller_headers;
pub mod claim_coordinator;
pub mod claim_flow;
pub mod claim_link;
pub mod claim_rpc;
pub mod completion_claim;
pub mod completion_handler;
pub mod completion_reply;
pub mod completion_request;
pub mod drain_state;
pub mod endpoint_watch;
pub mod engine_http;
pub mod engine_use;
pub mod entry_context;
pub mod entry_metrics;
pub mod entry_server;
pub mod generation;
pub mod http_pool;
pub mod load_poll;
pub mod log_budget;
pub mod operator_api;
pub mod order_call;
pub mod order_runner;
pub mod organisation_limits;
pub mod peer_directory;
pub mod peer_handler;
pub mod peer_link;
pub mod planning_view;
pub mod reply;
pub mod request_id;
pub mod request_lookup;
pub mod request_registry;
pub mod rollout;
pub mod route_table;
pub mod service_call;
pub mod service_dispatch;
pub mod session_driver;
pub mod session_recorder;
pub mod settlement;
pub mod shared_monitor;
pub mod table_cell;
pub mod token_text;
pub mod watched_engine;

#[doc(inline)]
pub use entry_context::{EntryContext, EntryError};
#[doc(inline)]
pub use entry_server::EntryServer;
