//! Instances that are preferred as hubs, by processor time.

use std::net::SocketAddr;

use dandeliondeal_relay::hub_capacity::strong_members;
use dandeliondeal_relay::instance_registry::PeerInstance;

fn peers(processors: &[Option<u32>]) -> Vec<PeerInstance> {
    let peers = processors
        .iter()
        .enumerate()
        .map(|(index, &processor_milli)| PeerInstance {
            id: format!("router-{index}").into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            handover: None,
            failure_domain: "didube".into(),
            processor_milli,
        });
    peers.collect()
}

fn strong(processors: &[Option<u32>]) -> Vec<usize> {
    let peers = peers(processors);
    let members: Vec<&PeerInstance> = peers.iter().collect();
    let strong = strong_members(&members);
    let position = |peer: &PeerInstance| peers.iter().position(|other| other == peer);
    strong.into_iter().filter_map(position).collect()
}

/// Guards against a hub on a small machine that passes news on late.
#[test]
fn uneven_machines() {
    let processors = [Some(120), Some(500), Some(120), Some(500), Some(120)];
    assert_eq!(strong(&processors), [1, 3]);
}

/// Guards against fewer hub candidates where all machines are alike.
#[test]
fn even_machines() {
    assert_eq!(strong(&[Some(250), Some(250), Some(240)]), [0, 1, 2]);
}

/// Guards against instances of two versions that select different hubs.
#[test]
fn earlier_versions() {
    let processors = [None, None, Some(500), Some(120)];
    assert_eq!(strong(&processors), [0, 1, 2, 3]);
    // A removed instance of an earlier version leaves its registration behind.
    let processors = [None, Some(500), Some(120), Some(120)];
    assert_eq!(strong(&processors), [1]);
}

/// Guards against a domain without instances.
#[test]
fn empty_domain() {
    assert_eq!(strong(&[]), [0_usize; 0]);
}
