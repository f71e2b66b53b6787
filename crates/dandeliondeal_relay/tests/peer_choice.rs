//! To which instance a request is handed over.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bolero_generator::TypeGenerator;
use dandeliondeal_relay::instance_registry::PeerInstance;
use dandeliondeal_relay::peer_choice::choose_peer;
use dandeliondeal_types::InstanceId;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn fleet(count: u16) -> Vec<PeerInstance> {
    let peers = (0..count).map(|index| PeerInstance {
        id: format!("router-{index}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        handover: Some(SocketAddr::from(([127, 0, 0, 1], index + 2))),
        failure_domain: format!("domain-{}", index % 3).into(),
        processor_milli: None,
    });
    peers.collect()
}

fn names(indexes: impl IntoIterator<Item = u16>) -> BTreeSet<InstanceId> {
    let names = indexes.into_iter();
    names
        .map(|index| format!("router-{index}").into())
        .collect()
}

/// Guards against bytes that cross failure domains without need, and against one instance that gets
/// all requests.
#[test]
fn own_domain() {
    let peers = fleet(30);
    let mut random = StdRng::seed_from_u64(1);
    let mut counts: BTreeMap<InstanceId, u32> = BTreeMap::new();
    for _ in 0..900 {
        let own = ("router-0", "domain-0");
        let peer = choose_peer(&peers, own, &names([3]), &names([6]), &mut random);
        *counts.entry(peer.expect("a peer").id).or_default() += 1;
    }
    let expected = names([9, 12, 15, 18, 21, 24, 27]);
    assert_eq!(counts.keys().cloned().collect::<BTreeSet<_>>(), expected);
    assert!(counts.values().all(|count| *count > 60), "{counts:?}");
}

/// Guards against a refusal when all instances of a domain, or all but one of the fleet, are cut.
#[test]
fn last_instance() {
    for count in [9, 100, 300] {
        let peers = fleet(count);
        let mut random = StdRng::seed_from_u64(2);
        let cut = names((0..count).filter(|index| *index != 7));
        let own = ("router-0", "domain-0");
        let peer = choose_peer(&peers, own, &cut, &BTreeSet::new(), &mut random);
        assert_eq!(&*peer.expect("a peer").id, "router-7");
    }
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct GeneratedPeer {
    is_cut: bool,
    is_excluded: bool,
    has_entrance: bool,
}

/// Guards against a request that is handed to its own instance, or to one that can't serve it.
#[test]
fn arbitrary_fleet() {
    bolero::check!()
        .with_type::<(u64, Vec<GeneratedPeer>)>()
        .for_each(|(seed, generated)| {
            let generated: Vec<GeneratedPeer> = generated.iter().take(40).copied().collect();
            let count = u16::try_from(generated.len()).expect("a small number");
            let mut peers = fleet(count);
            let select = |is_selected: fn(&GeneratedPeer) -> bool| {
                let indexes = (0..count).zip(&generated);
                let selected = indexes.filter(|(_, peer)| is_selected(peer));
                names(selected.map(|(index, _)| index))
            };
            for (peer, generated) in peers.iter_mut().zip(&generated) {
                peer.handover = peer.handover.filter(|_| generated.has_entrance);
            }
            let (cut, excluded) = (select(|peer| peer.is_cut), select(|peer| peer.is_excluded));
            let mut random = StdRng::seed_from_u64(*seed);
            let own = ("router-0", "domain-0");
            let chosen = choose_peer(&peers, own, &cut, &excluded, &mut random);
            let is_candidate = |peer: &&PeerInstance| {
                &*peer.id != "router-0"
                    && peer.handover.is_some()
                    && !cut.contains(&peer.id)
                    && !excluded.contains(&peer.id)
            };
            let candidates: Vec<&PeerInstance> = peers.iter().filter(is_candidate).collect();
            let Some(chosen) = chosen else {
                assert!(candidates.is_empty());
                return;
            };
            let found = candidates.iter().find(|peer| peer.id == chosen.id);
            let found = found.expect("a candidate");
            let has_near = candidates
                .iter()
                .any(|peer| &*peer.failure_domain == "domain-0");
            assert_eq!(&*found.failure_domain == "domain-0", has_near);
        });
}
