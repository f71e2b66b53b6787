//! Leaves that endpoints state in their responses.

use std::time::Instant;

use dandeliondeal_types::{Clock, EndpointId, RequestId};

use crate::fleet_view::FleetView;
use crate::relay_context::RelayContext;

impl FleetView {
    /// Applies an endpoint's statement that it leaves; returns whether it was not known to.
    ///
    /// The statement belongs to the process that started at `started_at_ms`, and holds until another
    /// one registers.
    pub fn record_leave(&mut self, endpoint: &str, started_at_ms: u64, now: Instant) -> bool {
        let record = self.record(endpoint).cloned();
        let Some(mut record) = record.filter(|record| record.started_at_ms == started_at_ms) else {
            return false;
        };
        let is_new = !record.is_draining;
        record.is_draining = true;
        self.leaves.announce(&record, now);
        if is_new {
            self.update(record, now);
        }
        is_new
    }
}

/// Records that an endpoint states its leave in a response to a request.
pub(crate) fn record_leave<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RequestId,
    endpoint: &EndpointId,
    started_at_ms: Option<u64>,
) where
    Time: Clock,
{
    let Some(started_at_ms) = started_at_ms else {
        return;
    };
    let now = context.now();
    let mut fleet = context.fleet().borrow_mut();
    if fleet.record_leave(endpoint, started_at_ms, now) {
        tracing::info!(%request, %endpoint, started_at_ms, "endpoint states that it leaves");
    }
}
