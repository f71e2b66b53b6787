//! Registrations: changes, outdated writes, restarts and expiry during store outages.

use std::time::{Duration, Instant};

use dandeliondeal_balance::CallResult;
use dandeliondeal_relay::fleet_view::LAPSE_GRACE;
use dandeliondeal_relay::{FleetChange, FleetView};
use dandeliondeal_types::{EndpointRecord, LayerRange};
use rand::SeedableRng as _;
use rand::rngs::StdRng;

fn record(id: &str, write_count: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: "desk".into(),
        address: ([127, 0, 0, 1], 8000).into(),
        failure_domain: "didube".into(),
        slots: 6,
        is_draining: false,
        warm_up: Duration::ZERO,
        accelerator: None,
        layers: None,
        write_count,
        started_at_ms: 1_000,
    }
}

fn view() -> FleetView {
    FleetView::new(&"router".into()).expect("a valid chart")
}

#[test]
fn draining_endpoint() {
    let now = Instant::now();
    let mut view = view();
    view.update(record("a", 1), now);
    let mut draining = record("a", 2);
    draining.is_draining = true;
    assert_eq!(
        view.update(draining, now),
        Some(FleetChange::Draining("a".into()))
    );
    let mut random = rand::rng();
    assert!(view.ranked("desk", true, &mut random, now).is_empty());
}

#[test]
fn outdated_write() {
    let now = Instant::now();
    let mut view = view();
    let mut with_layers = record("a", 5);
    with_layers.layers = Some(LayerRange::new(0, 4));
    view.update(with_layers, now);
    assert_eq!(view.update(record("a", 4), now), None);
    assert!(
        view.record("a")
            .is_some_and(|record| record.layers.is_some())
    );
}

#[test]
fn restart_with_same_id() {
    let now = Instant::now();
    let mut view = view();
    let mut with_layers = record("a", 50);
    with_layers.layers = Some(LayerRange::new(0, 4));
    view.update(with_layers, now);
    let mut restarted = record("a", 1);
    restarted.started_at_ms = 2_000;
    assert_eq!(
        view.update(restarted, now),
        Some(FleetChange::Changed("a".into()))
    );
    assert!(
        view.record("a")
            .is_some_and(|record| record.layers.is_none())
    );
}

/// Guards against the end of a process that is lost because the registration of the later one goes away
/// before anyone asks.
#[test]
fn superseded_processes() {
    let now = Instant::now();
    let mut view = view();
    view.update(record("a", 1), now);
    for (id, started_at_ms) in [("a", 2_000), ("b", 3_000)] {
        let mut later = record(id, 2);
        later.started_at_ms = started_at_ms;
        view.update(later, now);
    }
    view.delete("b", None, now);
    let superseded = view.take_superseded();
    let starts = superseded.iter().map(|(former, later)| {
        let later = (&*later.id, later.started_at_ms);
        (&*former.id, former.started_at_ms, later)
    });
    let starts: Vec<_> = starts.collect();
    assert_eq!(
        starts,
        [("a", 1_000, ("a", 2_000)), ("a", 2_000, ("b", 3_000))]
    );
    assert!(view.take_superseded().is_empty());
}

#[test]
fn plain_deletion() {
    let now = Instant::now();
    let mut view = view();
    view.update(record("a", 1), now);
    assert_eq!(
        view.delete("a", None, now),
        Some(FleetChange::Gone("a".into()))
    );
    assert!(view.is_empty());
}

#[test]
fn lapse_in_outage() {
    let now = Instant::now();
    let mut view = view();
    view.update(record("a", 1), now);
    view.update(record("b", 1), now);
    assert_eq!(
        view.delete("a", Some(now + LAPSE_GRACE), now),
        Some(FleetChange::Lapsing("a".into()))
    );
    assert_eq!(
        view.delete("b", Some(now + LAPSE_GRACE), now),
        Some(FleetChange::Lapsing("b".into()))
    );
    view.update(record("a", 2), now + Duration::from_secs(1));
    let changes = view.tick(now + Duration::from_secs(3));
    assert_eq!(changes, [FleetChange::Gone("b".into())]);
    assert_eq!(view.len(), 1);
}

#[test]
fn draining_does_not_lapse() {
    let now = Instant::now();
    let mut view = view();
    let mut draining = record("a", 1);
    draining.is_draining = true;
    view.update(draining, now);
    assert_eq!(
        view.replace(Vec::new(), Some(now + LAPSE_GRACE), now),
        [FleetChange::Gone("a".into())]
    );
}

#[test]
fn unchanged_registration() {
    let now = Instant::now();
    let mut view = view();
    view.update(record("a", 1), now);
    assert_eq!(view.update(record("a", 2), now), None);
}

// Guards against an endpoint that a lone instance never calls, because others were measured to be
// faster than it is assumed to be.
#[test]
fn uncalled_endpoint() {
    let now = Instant::now();
    let mut view = view();
    for (id, port) in [("a", 8_000), ("b", 8_001)] {
        let mut record = record(id, 1);
        record.address = ([127, 0, 0, 1], port).into();
        view.update(record, now);
    }
    view.set_instance_count(1);
    let called = "a".into();
    for call in 0..100 {
        let started = now + Duration::from_millis(call * 2);
        view.call_started(&called, started);
        let ended = started + Duration::from_millis(1);
        view.call_finished(&called, started, CallResult::Answered, ended);
    }
    let mut random = StdRng::seed_from_u64(1);
    let now = now + Duration::from_millis(200);
    let best = (0..200).map(|_| view.ranked("desk", true, &mut random, now).remove(0).id);
    let uncalled = best.filter(|id| **id == *"b").count();
    assert!((60..=140).contains(&uncalled), "{uncalled} of 200");
}
