//! Chooses a constant number of neighbours on a ring for each failure domain.
//!
//! Inside its domain an instance sends to the next one and to the one about the square root of the
//! domain's size further on; across domains to the one at the same place in each of the next two.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::peer_message::MemberCard;

/// Domains other than its own in which an instance has a neighbour.
const FOREIGN_NEIGHBOURS: usize = 2;

/// The neighbours of `own` among `members`, which contain `own`.
pub fn neighbours<'cards, Members>(own: &MemberCard, members: Members) -> Vec<&'cards MemberCard>
where
    Members: IntoIterator<Item = &'cards MemberCard>,
{
    let mut domains: BTreeMap<&str, Vec<&MemberCard>> = BTreeMap::new();
    for card in members {
        domains.entry(&card.failure_domain).or_default().push(card);
    }
    for ring in domains.values_mut() {
        ring.sort_unstable_by_key(|card| (xxh3_64(card.id.as_bytes()), card.id.clone()));
    }
    let names: Vec<&str> = domains.keys().copied().collect();
    let Some(home) = names.iter().position(|name| **name == *own.failure_domain) else {
        return Vec::new();
    };
    let ring = &domains[names[home]];
    let Some(place) = ring.iter().position(|card| card.id == own.id) else {
        return Vec::new();
    };
    let mut chosen = Vec::new();
    for stride in [1, ring.len().isqrt()] {
        add(&mut chosen, own, ring[(place + stride) % ring.len()]);
    }
    for step in 1..=FOREIGN_NEIGHBOURS.min(names.len() - 1) {
        let foreign = &domains[names[(home + step) % names.len()]];
        add(
            &mut chosen,
            own,
            foreign[place * foreign.len() / ring.len()],
        );
    }
    chosen
}

fn add<'cards>(chosen: &mut Vec<&'cards MemberCard>, own: &MemberCard, card: &'cards MemberCard) {
    if card.id != own.id && chosen.iter().all(|known| known.id != card.id) {
        chosen.push(card);
    }
}
