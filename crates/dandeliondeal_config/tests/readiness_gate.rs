//! Tests of the readiness of a new instance.

use dandeliondeal_config::{ReadinessEvent, ReadinessGate};

fn is_ready_after(events: &[ReadinessEvent]) -> bool {
    let mut gate = ReadinessGate::new(2);
    for event in events {
        gate.apply(event.clone());
    }
    gate.is_ready()
}

fn peer_revision(name: &str, revision: u64) -> ReadinessEvent {
    ReadinessEvent::PeerRevision {
        peer: name.into(),
        revision,
    }
}

const PLATFORM_HEAD: ReadinessEvent = ReadinessEvent::PlatformHead { revision: 5 };
const CURRENT_REVISION: ReadinessEvent = ReadinessEvent::InForce { revision: 5 };
const OLDER_REVISION: ReadinessEvent = ReadinessEvent::InForce { revision: 4 };
const PLATFORM_DOWN: ReadinessEvent = ReadinessEvent::PlatformDown;

#[test]
fn platform_up() {
    assert!(!is_ready_after(&[PLATFORM_HEAD]));
    assert!(!is_ready_after(&[PLATFORM_HEAD, OLDER_REVISION]));
    assert!(is_ready_after(&[
        PLATFORM_HEAD,
        OLDER_REVISION,
        CURRENT_REVISION
    ]));
}

#[test]
fn platform_down() {
    assert!(!is_ready_after(&[PLATFORM_DOWN, CURRENT_REVISION]));
    assert!(!is_ready_after(&[
        PLATFORM_DOWN,
        CURRENT_REVISION,
        peer_revision("a", 5)
    ]));
    assert!(!is_ready_after(&[
        PLATFORM_DOWN,
        OLDER_REVISION,
        peer_revision("a", 4),
        peer_revision("b", 5)
    ]));
    assert!(is_ready_after(&[
        PLATFORM_DOWN,
        CURRENT_REVISION,
        peer_revision("a", 4),
        peer_revision("b", 5)
    ]));
}

#[test]
fn peers_only() {
    // Peers do not confirm a revision unless the platform is known to be down.
    assert!(!is_ready_after(&[
        CURRENT_REVISION,
        peer_revision("a", 5),
        peer_revision("b", 5),
        peer_revision("c", 5)
    ]));
}
