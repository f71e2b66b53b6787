//! The holder of the layout lease and the other contenders are cut off from the store. Lost engines
//! are replaced only after another instance has taken the lease.

use std::net::SocketAddr;
use std::time::Duration;

use dandeliondeal_relay::instance_registry::PeerInstance;
use dandeliondeal_relay::lease_contenders::is_contender;
use dandeliondeal_types::InstanceId;

fn fleet(count: usize) -> Vec<PeerInstance> {
    let peers = (0..count).map(|index| PeerInstance {
        id: format!("router-{index}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        handover: None,
        failure_domain: "didube".into(),
        processor_milli: None,
    });
    peers.collect()
}

fn contenders(peers: &[PeerInstance], silence: Duration) -> Vec<InstanceId> {
    let ids = peers.iter().map(|peer| InstanceId::clone(&peer.id));
    ids.filter(|id| is_contender(id, peers, silence)).collect()
}

#[test]
fn few_contenders() {
    let peers = fleet(195);
    assert_eq!(contenders(&peers, Duration::ZERO).len(), 5);
    assert_eq!(contenders(&peers, Duration::from_secs(1)).len(), 5);
}

#[test]
fn all_cut_off() {
    let peers = fleet(195);
    let first = contenders(&peers, Duration::ZERO);
    let second = contenders(&peers, Duration::from_secs(3));
    let third = contenders(&peers, Duration::from_secs(7));
    let is_new = |id: &&InstanceId| !first.contains(id);
    assert!(second.iter().filter(is_new).count() >= 3);
    assert!(third.iter().filter(is_new).count() >= 3);
    assert_ne!(second, third);
    assert!(
        third.len() <= 10,
        "the store's rates do not grow with the fleet"
    );
}

#[test]
fn small_fleet() {
    let peers = fleet(3);
    assert_eq!(contenders(&peers, Duration::ZERO).len(), 3);
}
