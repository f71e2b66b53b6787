//! Instances stay counted while a restored store lacks their registrations.
//!
//! The shares of budgets and limits are cut by the count: with too few instances counted, all together
//! send more than allowed.

use std::time::{Duration, Instant};

use dandeliondeal_relay::instance_registry::PeerInstance;
use dandeliondeal_relay::peer_roster::PeerRoster;

fn instances(count: usize) -> Vec<PeerInstance> {
    let instance = |index| PeerInstance {
        id: format!("router-{index}").into(),
        address: ([127, 0, 0, 1], 7_200).into(),
        handover: None,
        failure_domain: "didube".into(),
        processor_milli: None,
    };
    (0..count).map(instance).collect()
}

#[test]
fn lost_registrations() {
    let now = Instant::now();
    let mut roster = PeerRoster::default();
    assert_eq!(roster.update(instances(9), 1, now).len(), 9);
    assert_eq!(roster.update(Vec::new(), 2, now).len(), 9);
    let later = now + Duration::from_secs(8);
    assert_eq!(roster.update(instances(4), 2, later).len(), 9);
}

#[test]
fn restores_in_series() {
    let now = Instant::now();
    let mut roster = PeerRoster::default();
    roster.update(instances(9), 1, now);
    roster.update(instances(2), 2, now);
    let later = now + Duration::from_secs(14);
    assert_eq!(roster.update(instances(3), 3, later).len(), 9);
    let last = later + Duration::from_secs(14);
    assert_eq!(roster.update(instances(3), 3, last).len(), 9);
}

#[test]
fn missing_afterwards() {
    // An instance that does not register again is gone.
    let now = Instant::now();
    let mut roster = PeerRoster::default();
    roster.update(instances(9), 1, now);
    roster.update(instances(8), 2, now);
    let later = now + Duration::from_secs(16);
    assert_eq!(roster.update(instances(8), 2, later).len(), 8);
}

#[test]
fn removed_registration() {
    // Without a restore, a missing registration was removed.
    let now = Instant::now();
    let mut roster = PeerRoster::default();
    roster.update(instances(9), 1, now);
    assert_eq!(roster.update(instances(8), 1, now).len(), 8);
}
