//! Request limits that endpoints state in their responses.

use std::time::{Duration, Instant};

use dandeliondeal_limit::{RateReport, SenderShare};
use dandeliondeal_types::rendezvous::member_rank;
use dandeliondeal_types::{Clock, EndpointId, InstanceId, ServiceId};
use xxhash_rust::xxh3::Xxh3;

use crate::relay_context::RelayContext;

/// Returns the place of this instance among those that may send to an endpoint with a limit.
pub(crate) fn sender_share<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    endpoint: &EndpointId,
) -> SenderShare
where
    Time: Clock,
{
    let own_id = &context.settings().instance.id;
    let peers = context.peers();
    if peers.is_empty() {
        // The instances are not counted yet, so that as many as possible are assumed.
        return SenderShare {
            rank: 0,
            instances: usize::MAX,
        };
    }
    let others = peers.iter().map(|peer| &peer.id).filter(|id| *id != own_id);
    let others: Vec<&InstanceId> = others.collect();
    SenderShare {
        rank: member_rank(endpoint, own_id, &others, Xxh3::new),
        instances: others.len() + 1,
    }
}

/// Sets what all instances send to endpoints with limits, and which instances do; removes limits that
/// have ended. `local` is the part of this instance in the report.
pub(crate) fn set_fleet_rates<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    fleet: &RateReport,
    local: &RateReport,
) where
    Time: Clock,
{
    let now = context.now();
    let share = |endpoint: &EndpointId, _| sender_share(context, endpoint);
    let mut rates = context.rates().borrow_mut();
    rates.set_fleet(fleet, local, share, now);
    count_limits(context, rates.len(now));
}

/// Sets which instances send to endpoints with limits when there is no report of the others, and
/// removes limits that have ended.
pub(crate) fn update_shares<Time, Dialect>(context: &RelayContext<Time, Dialect>)
where
    Time: Clock,
{
    let now = context.now();
    let share = |endpoint: &EndpointId, _| sender_share(context, endpoint);
    let mut rates = context.rates().borrow_mut();
    rates.set_shares(share, now);
    count_limits(context, rates.len(now));
}

/// Returns the time until an endpoint of a service has room for another request; `None` if no
/// endpoint is without room because of its limit.
pub(crate) fn reserve_room<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &ServiceId,
) -> Option<Duration>
where
    Time: Clock,
{
    let now = context.now();
    let mut rates = context.rates().borrow_mut();
    let full = rates.full_endpoints(now);
    let fleet = context.fleet().borrow();
    let is_own = |endpoint: &EndpointId| {
        let record = fleet.record(endpoint);
        record.is_some_and(|record| record.service == *service && !record.is_draining)
    };
    let full: Vec<EndpointId> = full
        .into_iter()
        .filter(|endpoint| is_own(endpoint))
        .collect();
    (!full.is_empty()).then(|| rates.reserve_return(service, &full, now))
}

/// Records the limit that an endpoint states in a response, or that it states none.
pub(crate) fn record_limit<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    endpoint: &EndpointId,
    limit: Option<f64>,
) where
    Time: Clock,
{
    let now = context.now();
    let mut rates = context.rates().borrow_mut();
    let Some(limit) = limit else {
        rates.record_unstated(endpoint, now);
        return;
    };
    let share = || sender_share(context, endpoint);
    if rates.record_limit(endpoint, limit, now, share) {
        tracing::info!(%endpoint, limit, "endpoint states a request limit");
        count_limits(context, rates.len(now));
    }
}

/// Renews the limits that held at `seen_at`, before a pause of the process that ended at `now`.
///
/// Without a statement for some seconds a limit ends, but during a pause none is read.
pub(crate) fn restate_limits<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    seen_at: Instant,
    now: Instant,
) where
    Time: Clock,
{
    let mut rates = context.unchecked_rates().borrow_mut();
    for (endpoint, claim) in rates.report(seen_at) {
        let share = || sender_share(context, &endpoint);
        rates.record_limit(&endpoint, claim.limit, now, share);
    }
}

fn count_limits<Time, Dialect>(context: &RelayContext<Time, Dialect>, count: usize)
where
    Time: Clock,
{
    let gauge = &context.metrics().limited_endpoints;
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}
