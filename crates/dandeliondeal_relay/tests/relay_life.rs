//! Whether a request may have been executed, in each state of its lifecycle.

use dandeliondeal_relay::RelayLife;
use dandeliondeal_relay::relay_life::{LifeEvent, LifeState, life_table};

fn life(events: &[LifeEvent]) -> RelayLife {
    let mut life = RelayLife::new(life_table().expect("a sound chart"));
    for event in events {
        assert!(life.apply(*event), "{event:?} in {:?}", life.state());
    }
    life
}

#[test]
fn unsent_request() {
    assert!(life(&[]).is_not_run());
    assert!(life(&[LifeEvent::Admit]).is_not_run());
}

#[test]
fn rejected_offer() {
    let life = life(&[LifeEvent::Admit, LifeEvent::Offer, LifeEvent::Reject]);
    assert!(life.is_not_run());
}

#[test]
fn open_offer() {
    let mut life = life(&[LifeEvent::Admit, LifeEvent::Offer]);
    assert!(!life.is_not_run());
    assert!(!life.apply(LifeEvent::Refuse));
    assert_eq!(life.state(), LifeState::Offered);
}

#[test]
fn lost_then_rejected() {
    // An attempt without a response may have been executed, whatever a second endpoint states.
    let mut life = life(&[LifeEvent::Admit, LifeEvent::Offer]);
    life.lose_track();
    assert!(life.apply(LifeEvent::Offer));
    assert!(life.apply(LifeEvent::Reject));
    assert!(!life.is_not_run());
}

#[test]
fn begun_answer() {
    let mut life = life(&[LifeEvent::Admit, LifeEvent::Offer, LifeEvent::Start]);
    assert!(!life.apply(LifeEvent::Refuse));
    assert!(life.apply(LifeEvent::Complete));
    assert_eq!(life.state(), LifeState::Answered);
}
