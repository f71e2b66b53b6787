//! A stand-in for a plain service.

mod service_handler;
mod service_standin;

pub use service_handler::{ServiceEntry, ServiceSettings};
pub use service_standin::ServiceStandin;
