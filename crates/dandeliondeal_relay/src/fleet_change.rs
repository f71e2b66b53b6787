//! Changes of the registered endpoints.

use dandeliondeal_types::EndpointId;

/// Effect of a change in the registrations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetChange {
    /// The endpoint is new or has changed.
    Changed(EndpointId),
    /// The endpoint accepts no new requests.
    Draining(EndpointId),
    /// The endpoint is gone.
    Gone(EndpointId),
    /// The endpoint's registration is missing after a store outage; it is kept for a while in case
    /// only the registration expired.
    Lapsing(EndpointId),
}
