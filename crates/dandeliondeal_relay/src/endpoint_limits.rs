//! Request limits that endpoints state in their responses.

use dandeliondeal_limit::{SenderShare, sender_count};
use dandeliondeal_types::rendezvous::member_rank;
use dandeliondeal_types::{Clock, EndpointId, InstanceId};
use xxhash_rust::xxh3::Xxh3;

use crate::relay_context::RelayContext;

/// Returns which instances send to an endpoint with a limit.
pub(crate) fn sender_share<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    endpoint: &EndpointId,
    limit: f64,
) -> SenderShare
where
    Time: Clock,
{
    let own_id = &context.settings().instance.id;
    let peers = context.peers();
    let others = peers.iter().map(|peer| &peer.id).filter(|id| *id != own_id);
    let others: Vec<&InstanceId> = others.collect();
    let senders = sender_count(limit, others.len() + 1);
    SenderShare {
        senders,
        is_sender: member_rank(endpoint, own_id, &others, Xxh3::new) < senders,
    }
}

/// Records the limit that an endpoint states in a response.
pub(crate) fn record_limit<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    endpoint: &EndpointId,
    limit: Option<f64>,
) where
    Time: Clock,
{
    let Some(limit) = limit else {
        return;
    };
    let now = context.now();
    let mut rates = context.rates().borrow_mut();
    let share = || sender_share(context, endpoint, limit);
    if rates.record_limit(endpoint, limit, now, share) {
        tracing::info!(%endpoint, limit, "endpoint states a request limit");
    }
    count_limits(context, rates.len());
}

pub(crate) fn count_limits<Time, Dialect>(context: &RelayContext<Time, Dialect>, count: usize)
where
    Time: Clock,
{
    let gauge = &context.metrics().limited_endpoints;
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}
