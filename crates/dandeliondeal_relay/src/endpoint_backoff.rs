//! Pauses that endpoints ask for in their responses.

use std::collections::HashMap;
use std::time::Duration;

use dandeliondeal_types::{Clock, EndpointId, LayerRange, RequestId, ServiceId};

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
    if let Some(pause) = backoff {
        let earlier_pause = fleet.backoffs.record_backoff(endpoint, pause, now);
        context.metrics().backoffs.requested.inc();
        tracing::info!(
            %request, %endpoint, pause_ms = as_ms(pause), earlier_ms = as_ms(earlier_pause),
            "endpoint asks for a pause"
        );
    } else if fleet.backoffs.is_empty() {
        return;
    } else {
        fleet.backoffs.record_answer(endpoint, now);
    }
    let count = fleet.backoffs.len(now);
    let gauge = &context.metrics().backoffs.endpoints;
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
    if let Some(left) = fleet.backoffs.pause_left(endpoint, now) {
        context.metrics().backoffs.breaches.inc();
        tracing::warn!(
            %request, %endpoint, left_ms = as_ms(left), "request sent within an endpoint's pause"
        );
    }
    fleet.backoffs.record_request(endpoint, now);
}

/// Returns the endpoints to which no request may be sent now because of a pause.
pub(crate) fn backed_off_endpoints<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
) -> Vec<EndpointId>
where
    Time: Clock,
{
    let fleet = context.fleet().borrow();
    let waiting = fleet.backoffs.waiting(context.now());
    waiting
        .map(|(endpoint, _)| EndpointId::clone(endpoint))
        .collect()
}

/// Returns whether no request may be sent to an endpoint now because of a pause.
pub(crate) fn is_backed_off<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    endpoint: &EndpointId,
) -> bool
where
    Time: Clock,
{
    let fleet = context.fleet().borrow();
    fleet.backoffs.wait(endpoint, context.now()).is_some()
}

/// Returns the time until a service's first paused endpoint may be sent a request; `None` if none is
/// paused, or if the engines that are not paused hold all `layers` of the model.
pub(crate) fn pause_end<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &ServiceId,
    layers: Option<u32>,
) -> Option<Duration>
where
    Time: Clock,
{
    let fleet = context.fleet().borrow();
    let paused: HashMap<&EndpointId, Duration> = fleet.backoffs.waiting(context.now()).collect();
    let members = || {
        fleet
            .records()
            .filter(|record| record.service == *service && !record.is_draining)
    };
    let first_end = members()
        .filter_map(|record| paused.get(&record.id))
        .min()?;
    let ranges = members()
        .filter(|record| !paused.contains_key(&record.id))
        .filter_map(|record| record.layers);
    let is_covered = layers.is_some_and(|layers| has_all_layers(ranges.collect(), layers));
    (!is_covered).then_some(*first_end)
}

/// Returns whether ranges together contain each of the first `layers` layers.
fn has_all_layers(mut ranges: Vec<LayerRange>, layers: u32) -> bool {
    ranges.sort_unstable_by_key(|range| range.start);
    let covered = ranges.iter().fold(0, |covered, range| {
        if range.start <= covered {
            range.end.max(covered)
        } else {
            covered
        }
    });
    covered >= layers
}

/// Returns a duration in milliseconds, for logs.
pub(crate) fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
