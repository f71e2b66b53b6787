//! Request routing, API keys and the active configuration.
//!
//! [`RouteConfig`] is one version of the operators' configuration. [`RouteTable`] looks up the
//! route, the organisation and the service of a request.

pub mod route_config;
pub mod route_table;
pub mod urgency_scale;

#[doc(inline)]
pub use route_config::{
    CallerLimits, OrganisationRule, RepeatClass, RouteConfig, RouteRule, ServiceRule, ServiceShare,
};
#[doc(inline)]
pub use route_table::{MatchError, RouteMatch, RouteTable};
#[doc(inline)]
pub use urgency_scale::{UrgencyPair, UrgencyScale};
