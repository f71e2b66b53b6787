//! Whether a request may have been executed, in each state of its lifecycle.

use dandeliondeal_relay::RelayLifecycle;
use dandeliondeal_relay::relay_lifecycle::{LifecycleEvent, LifecycleState, lifecycle_table};

fn lifecycle_after(events: &[LifecycleEvent]) -> RelayLifecycle {
    let mut lifecycle = RelayLifecycle::new(lifecycle_table().expect("a valid chart"));
    for event in events {
        assert!(
            lifecycle.apply(*event),
            "{event:?} in {:?}",
            lifecycle.state()
        );
    }
    lifecycle
}

#[test]
fn unsent_request() {
    assert!(lifecycle_after(&[]).is_proven_not_run());
    assert!(lifecycle_after(&[LifecycleEvent::Admit]).is_proven_not_run());
}

#[test]
fn rejected_attempt() {
    let lifecycle = lifecycle_after(&[
        LifecycleEvent::Admit,
        LifecycleEvent::Offer,
        LifecycleEvent::Reject,
    ]);
    assert!(lifecycle.is_proven_not_run());
}

#[test]
fn attempt_in_progress() {
    let mut lifecycle = lifecycle_after(&[LifecycleEvent::Admit, LifecycleEvent::Offer]);
    assert!(!lifecycle.is_proven_not_run());
    assert!(!lifecycle.apply(LifecycleEvent::Refuse));
    assert_eq!(lifecycle.state(), LifecycleState::Offered);
}

#[test]
fn lost_then_rejected() {
    // An attempt without a response may have been executed, whatever a second endpoint states.
    let mut lifecycle = lifecycle_after(&[LifecycleEvent::Admit, LifecycleEvent::Offer]);
    lifecycle.mark_may_have_run();
    assert!(lifecycle.apply(LifecycleEvent::Offer));
    assert!(lifecycle.apply(LifecycleEvent::Reject));
    assert!(!lifecycle.is_proven_not_run());
}

#[test]
fn response_started() {
    let mut lifecycle = lifecycle_after(&[
        LifecycleEvent::Admit,
        LifecycleEvent::Offer,
        LifecycleEvent::Start,
    ]);
    assert!(!lifecycle.apply(LifecycleEvent::Refuse));
    assert!(lifecycle.apply(LifecycleEvent::Complete));
    assert_eq!(lifecycle.state(), LifecycleState::Answered);
}
