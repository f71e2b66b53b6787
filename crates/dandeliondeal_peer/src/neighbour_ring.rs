//! Selects a constant number of neighbours from one ring per failure domain.
//!
//! In its own domain, an instance selects the next member of the ring, and the member about the
//! square root of the ring's size further on. In each of the next two domains, it selects the
//! member at the same relative position.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::peer_message::MemberIdentity;

/// Number of other failure domains in which an instance has a neighbour.
const REMOTE_NEIGHBOURS: usize = 2;

/// Returns the neighbours of `own` among `members`, which have to include `own`.
pub fn neighbours<'members, Members>(
    own: &MemberIdentity,
    members: Members,
) -> Vec<&'members MemberIdentity>
where
    Members: IntoIterator<Item = &'members MemberIdentity>,
{
    let mut domains: BTreeMap<&str, Vec<&MemberIdentity>> = BTreeMap::new();
    for identity in members {
        domains
            .entry(&identity.failure_domain)
            .or_default()
            .push(identity);
    }
    for ring in domains.values_mut() {
        ring.sort_unstable_by_key(|identity| {
            (xxh3_64(identity.id.as_bytes()), identity.id.clone())
        });
    }
    let domain_names: Vec<&str> = domains.keys().copied().collect();
    let Some(own_domain) = domain_names
        .iter()
        .position(|name| **name == *own.failure_domain)
    else {
        return Vec::new();
    };
    let ring = &domains[domain_names[own_domain]];
    let Some(position) = ring.iter().position(|identity| identity.id == own.id) else {
        return Vec::new();
    };
    let mut neighbours = Vec::new();
    for stride in [1, ring.len().isqrt()] {
        add_neighbour(&mut neighbours, own, ring[(position + stride) % ring.len()]);
    }
    for offset in 1..=REMOTE_NEIGHBOURS.min(domain_names.len() - 1) {
        let remote_ring = &domains[domain_names[(own_domain + offset) % domain_names.len()]];
        add_neighbour(
            &mut neighbours,
            own,
            remote_ring[position * remote_ring.len() / ring.len()],
        );
    }
    neighbours
}

fn add_neighbour<'members>(
    neighbours: &mut Vec<&'members MemberIdentity>,
    own: &MemberIdentity,
    identity: &'members MemberIdentity,
) {
    if identity.id != own.id
        && neighbours
            .iter()
            .all(|neighbour| neighbour.id != identity.id)
    {
        neighbours.push(identity);
    }
}
