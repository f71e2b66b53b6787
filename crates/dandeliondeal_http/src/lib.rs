//! HTTP on the current actix arbiter: listeners for callers and connections to endpoints.
//!
//! [`HttpListener`] serves requests and limits the time that each request head may take.
//! [`EndpointConnection`] carries one request at a time and exposes what the connection pools of
//! client libraries hide: whether any byte was written, how a body ended, and whether bytes were
//! left over. [`ConnectionPool`] stores idle connections for reuse.

pub mod body_memory;
mod caller_bound;
pub mod connection_error;
pub mod connection_pool;
pub mod endpoint_connection;
pub mod head_timer;
pub mod http_listener;
pub mod response_body;

#[doc(inline)]
pub use body_memory::BodyMemory;
#[doc(inline)]
pub use connection_error::ConnectionError;
#[doc(inline)]
pub use connection_pool::{ConnectionPool, PoolSettings};
#[doc(inline)]
pub use endpoint_connection::{BodyFraming, EndpointConnection, OutboundRequest, ResponseHead};
#[doc(inline)]
pub use http_listener::{HttpListener, ListenerSettings};
#[doc(inline)]
pub use response_body::ResponseBody;
