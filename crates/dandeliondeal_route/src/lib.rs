//! Routes, keys and the configuration in force.
//!
//! [`RouteConfig`] is what operators state; [`RouteTable`] answers for one request which route,
//! organisation and service it has. [`RetryWindow`] bounds repeats by what the operators allow.

pub mod retry_window;
pub mod route_config;
pub mod route_table;

#[doc(inline)]
pub use retry_window::{RetryWindow, WindowSettings};
#[doc(inline)]
pub use route_config::{
    CallerLimits, OrganisationRule, RepeatClass, RouteConfig, RouteRule, ServiceRule, ServiceShare,
};
#[doc(inline)]
pub use route_table::{MatchError, RouteMatch, RouteTable};
