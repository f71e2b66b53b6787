//! When a new instance is ready.

use dandeliondeal_config::{ReadinessEvent, ReadinessGate};

fn gate_after(events: &[ReadinessEvent]) -> bool {
    let mut gate = ReadinessGate::new(2);
    for event in events {
        gate.apply(event.clone());
    }
    gate.is_ready()
}

fn peer(name: &str, revision: u64) -> ReadinessEvent {
    ReadinessEvent::PeerRevision {
        peer: name.into(),
        revision,
    }
}

const HEAD: ReadinessEvent = ReadinessEvent::PlatformHead { revision: 5 };
const IN_FORCE: ReadinessEvent = ReadinessEvent::InForce { revision: 5 };
const OLDER: ReadinessEvent = ReadinessEvent::InForce { revision: 4 };
const DOWN: ReadinessEvent = ReadinessEvent::PlatformDown;

#[test]
fn platform_up() {
    assert!(!gate_after(&[HEAD]));
    assert!(!gate_after(&[HEAD, OLDER]));
    assert!(gate_after(&[HEAD, OLDER, IN_FORCE]));
}

#[test]
fn platform_down() {
    assert!(!gate_after(&[DOWN, IN_FORCE]));
    assert!(!gate_after(&[DOWN, IN_FORCE, peer("a", 5)]));
    assert!(!gate_after(&[DOWN, OLDER, peer("a", 4), peer("b", 5)]));
    assert!(gate_after(&[DOWN, IN_FORCE, peer("a", 4), peer("b", 5)]));
}

#[test]
fn peers_alone() {
    // As long as the platform may answer, peers are not enough.
    assert!(!gate_after(&[
        IN_FORCE,
        peer("a", 5),
        peer("b", 5),
        peer("c", 5)
    ]));
}
