//! The HTTP server that all stand-ins share, with its connections and fault injection.

pub(crate) mod call_handler;
pub(crate) mod connection_gate;
pub(crate) mod fault_state;
pub(crate) mod standin_call;
pub(crate) mod standin_handle;
pub(crate) mod standin_server;

pub(crate) use call_handler::{CallHandler, HandlerAnswer};
pub(crate) use fault_state::FaultChange;
pub(crate) use standin_call::{StandinCall, StandinReply};
pub(crate) use standin_handle::standin_handle;
pub(crate) use standin_server::StandinServer;
