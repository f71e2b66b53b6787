//! Chooses the instance to which a request is handed over.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dandeliondeal_types::InstanceId;
use rand::Rng;

use crate::instance_registry::PeerInstance;

/// Instance that a request is handed over to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HandoverPeer {
    /// Id of the instance.
    pub id: InstanceId,
    /// Address for requests that are handed over.
    pub address: SocketAddr,
}

/// Chooses an instance with links at random, in the own failure domain if there is one.
///
/// `own` is the id and the failure domain of this instance, `without_links` the instances that
/// reported that they cannot serve the request, `excluded` those that did not take one lately.
pub fn choose_peer<Source>(
    peers: &[PeerInstance],
    own: (&str, &str),
    without_links: &BTreeSet<InstanceId>,
    excluded: &BTreeSet<InstanceId>,
    random: &mut Source,
) -> Option<HandoverPeer>
where
    Source: Rng,
{
    let (own_id, own_domain) = own;
    let candidates = peers.iter().filter_map(|peer| {
        let is_candidate = *peer.id != *own_id
            && !without_links.contains(&peer.id)
            && !excluded.contains(&peer.id);
        let address = peer.handover.filter(|_| is_candidate)?;
        let candidate = HandoverPeer {
            id: InstanceId::clone(&peer.id),
            address,
        };
        Some((*peer.failure_domain == *own_domain, candidate))
    });
    let (near, far): (Vec<_>, Vec<_>) = candidates.partition(|(is_near, _)| *is_near);
    let mut candidates = if near.is_empty() { far } else { near };
    if candidates.is_empty() {
        return None;
    }
    let index = random.random_range(0..candidates.len());
    Some(candidates.swap_remove(index).1)
}
