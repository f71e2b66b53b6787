//! Request routing, API keys and the active configuration.
//!
//! [`RouteConfig`] is one version of the operators' configuration. [`RouteTable`] looks up the
//! route, the organisation and the service of a request. [`RetryWindow`] limits repeats of
//! requests to the share that operators allow.

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
