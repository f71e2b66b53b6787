//! Pauses that endpoints ask for in their responses.

use std::time::Duration;

use dandeliondeal_types::{Clock, EndpointId, RequestId};

use crate::relay_context::RelayContext;

/// Records the pause that an endpoint asks for in its response to a request, or that it asks for none.
pub(crate) fn record_backoff<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RequestId,
    endpoint: &EndpointId,
    backoff: Option<Duration>,
) where
    Time: Clock,
{
    let now = context.now();
    let mut fleet = context.fleet().borrow_mut();
    let Some(pause) = backoff else {
        fleet.backoffs.record_answer(endpoint, now);
        return;
    };
    let started_at_ms = fleet.process_start(endpoint);
    let earlier_pause = fleet
        .backoffs
        .record_backoff(endpoint, started_at_ms, pause, now);
    context.metrics().backoffs.inc();
    tracing::info!(
        %request, %endpoint, pause_ms = as_ms(pause), earlier_ms = as_ms(earlier_pause),
        "endpoint asks for a pause"
    );
    let count = fleet.backoffs.len(now);
    let gauge = &context.metrics().backed_off_endpoints;
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}

/// Records that a request is sent to an endpoint.
pub(crate) fn record_send<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RequestId,
    endpoint: &EndpointId,
) where
    Time: Clock,
{
    let now = context.now();
    let mut fleet = context.fleet().borrow_mut();
    if fleet.backoffs.is_empty() {
        return;
    }
    let started_at_ms = fleet.process_start(endpoint);
    if let Some(left) = fleet.backoffs.pause_left(endpoint, started_at_ms, now) {
        context.metrics().backoff_breaches.inc();
        tracing::warn!(
            %request, %endpoint, left_ms = as_ms(left), "request sent within an endpoint's pause"
        );
    }
    fleet.backoffs.record_request(endpoint, now);
}

/// Returns a duration in milliseconds, for logs.
fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
