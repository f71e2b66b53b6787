//! Refuses requests that a stopping instance cannot end before it exits.

use dandeliondeal_route::RepeatClass;
use dandeliondeal_types::Clock;

use crate::endpoint_backoff::as_ms;
use crate::relay_context::RelayContext;
use crate::request_intake::RelayRequest;

/// Returns whether the process exits before a request that starts now is expected to end.
///
/// `work` is the one of [`RunTimes`](dandeliondeal_limit::RunTimes). The request is expected to take
/// the latency objective of its route at least. A stream that may be resumed only has to begin: its
/// caller gets the rest from another instance, while a refusal would use up a retry.
pub(crate) fn outlasts_process<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    request: &RelayRequest,
    work: f64,
) -> bool
where
    Time: Clock,
{
    let Some(time_left) = context.time_until_exit() else {
        return false;
    };
    let times = context.run_times().borrow();
    let is_resumable = request.route_match.route.repeat_class == RepeatClass::ResumableStream;
    let expected_time = times.expected_time(&request.service, work);
    let expected_time = expected_time.filter(|_| !is_resumable);
    let objective = request.route_match.route.latency_objective;
    let is_late = time_left < expected_time.unwrap_or_default().max(objective);
    if is_late {
        tracing::info!(
            request = %request.facts.request,
            left_ms = as_ms(time_left), expected_ms = expected_time.map(as_ms),
            "request would outlast the process"
        );
    }
    is_late
}
