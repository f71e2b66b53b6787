//! Endpoints that leave stay out of use when a restored store lists them as before.
//!
//! They exit soon, and the requests that they run then are cut off.

use std::time::{Duration, Instant};

use dandeliondeal_relay::FleetView;
use dandeliondeal_types::{EndpointRecord, StoreEra};

/// Time after a restore for which an endpoint that left is not used.
const HOLD_TIME: Duration = Duration::from_secs(10);

fn record() -> EndpointRecord {
    EndpointRecord {
        id: "a".into(),
        service: "desk".into(),
        address: ([127, 0, 0, 1], 8000).into(),
        failure_domain: "didube".into(),
        slots: 6,
        is_draining: false,
        warm_up: Duration::ZERO,
        accelerator: None,
        layers: None,
        write_count: 4,
        started_at_ms: 1_000,
    }
}

fn draining() -> EndpointRecord {
    EndpointRecord {
        is_draining: true,
        ..record()
    }
}

/// Returns a view that has read the endpoint in the era 1.
fn view(now: Instant) -> FleetView {
    let mut view = FleetView::new(&"router".into()).expect("a valid chart");
    read(&mut view, 1, vec![record()], now);
    view
}

fn read(view: &mut FleetView, era: StoreEra, records: Vec<EndpointRecord>, now: Instant) {
    view.record_store_era(era, now);
    view.replace(records, None, now);
}

fn is_used(view: &FleetView, now: Instant) -> bool {
    let mut random = rand::rng();
    !view.ranked("desk", true, &mut random, now).is_empty()
}

#[test]
fn lost_drain() {
    let now = Instant::now();
    let mut view = view(now);
    view.update(draining(), now);
    read(&mut view, 2, vec![record()], now);
    assert!(!is_used(&view, now));
    // The drain is written again, and the endpoint goes.
    let later = now + Duration::from_secs(3);
    view.update(draining(), later);
    view.delete("a", None, later);
    view.tick(now + HOLD_TIME);
    assert!(!is_used(&view, now + HOLD_TIME));
}

#[test]
fn lost_removal() {
    let now = Instant::now();
    let mut view = view(now);
    view.delete("a", None, now);
    read(&mut view, 2, vec![record()], now);
    assert!(!is_used(&view, now));
    view.update(record(), now);
    assert!(!is_used(&view, now));
    view.delete("a", None, now + Duration::from_secs(1));
    view.tick(now + HOLD_TIME);
    assert!(!is_used(&view, now + HOLD_TIME));
}

#[test]
fn missing_in_list() {
    // The removal that is written again may be known from a list.
    let now = Instant::now();
    let mut view = view(now);
    view.delete("a", None, now);
    read(&mut view, 2, vec![record()], now);
    read(&mut view, 2, Vec::new(), now + Duration::from_secs(1));
    view.tick(now + HOLD_TIME);
    assert!(!is_used(&view, now + HOLD_TIME));
}

#[test]
fn restores_in_series() {
    let now = Instant::now();
    let mut view = view(now);
    view.update(draining(), now);
    read(&mut view, 2, vec![record()], now);
    let later = now + Duration::from_secs(8);
    view.update(draining(), later);
    read(&mut view, 3, vec![record()], later);
    view.tick(now + HOLD_TIME + Duration::from_secs(1));
    assert!(!is_used(&view, now + HOLD_TIME + Duration::from_secs(1)));
}

#[test]
fn endpoint_in_use() {
    // An endpoint that does not leave after all is used again.
    let now = Instant::now();
    let mut view = view(now);
    view.delete("a", None, now);
    read(&mut view, 2, vec![record()], now);
    view.tick(now + HOLD_TIME);
    assert!(is_used(&view, now + HOLD_TIME));
}

#[test]
fn later_registration() {
    // A later write or a later process is not from the copy.
    let now = Instant::now();
    let later_write = EndpointRecord {
        write_count: 5,
        ..record()
    };
    let later_process = EndpointRecord {
        started_at_ms: 2_000,
        write_count: 1,
        ..record()
    };
    for later in [later_write, later_process] {
        let mut view = view(now);
        view.delete("a", None, now);
        read(&mut view, 2, vec![later], now);
        assert!(is_used(&view, now));
    }
}

#[test]
fn return_without_restore() {
    // A registration that merely expired is back in the same era.
    let now = Instant::now();
    let mut view = view(now);
    view.delete("a", None, now);
    view.update(record(), now);
    assert!(is_used(&view, now));
}

#[test]
fn returned_endpoint() {
    // An endpoint that was missing for a while and serves again has not left.
    let now = Instant::now();
    let mut view = view(now);
    view.delete("a", None, now);
    view.update(record(), now);
    read(&mut view, 2, vec![record()], now);
    assert!(is_used(&view, now));
}
