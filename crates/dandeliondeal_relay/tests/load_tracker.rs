//! Load of engines from own requests and from the engines' reports.

use std::time::{Duration, Instant};

use dandeliondeal_layout::{ChainHop, EngineChain};
use dandeliondeal_relay::LoadTracker;
use dandeliondeal_types::{EndpointId, LayerRange};

fn chain() -> EngineChain {
    let hop = |id: &str, start, end| ChainHop {
        id: id.into(),
        address: ([127, 0, 0, 1], 8000).into(),
        range: LayerRange::new(start, end),
    };
    EngineChain {
        hops: vec![hop("first", 0, 4), hop("second", 4, 8)],
        cost: 1.0,
        crossings: 0,
    }
}

#[test]
fn reservation_release() {
    let tracker = LoadTracker::default();
    let reservation = tracker.reserve(&chain(), 900.0);
    assert!((tracker.local_engine_load("second").tokens - 900.0).abs() < 0.1);
    drop(reservation);
    assert!(tracker.local_engine_load("second").running < 0.1);
}

#[test]
fn reported_running() {
    let now = Instant::now();
    let tracker = LoadTracker::default();
    let _before = tracker.reserve(&chain(), 1_000.0);
    let first = EndpointId::from("first");
    tracker.set_running(&first, 30, now);
    let _after = tracker.reserve(&chain(), 1_000.0);
    let load = tracker.engine_load("first", 9.0, now);
    assert!((load.running - 31.0).abs() < 0.1);
    assert!((load.tokens - 31_000.0).abs() < 1.0);
}

#[test]
fn outdated_report() {
    let now = Instant::now();
    let tracker = LoadTracker::default();
    let _before = tracker.reserve(&chain(), 1_000.0);
    tracker.set_running(&EndpointId::from("first"), 30, now);
    let later = now + Duration::from_secs(5);
    assert!((tracker.engine_load("first", 3.0, later).running - 3.0).abs() < 0.1);
}

#[test]
fn fleet_ratio() {
    let now = Instant::now();
    let tracker = LoadTracker::default();
    assert!((tracker.fleet_ratio(9, now) - 9.0).abs() < 0.1);
    let _before = tracker.reserve(&chain(), 1_000.0);
    let _after = tracker.reserve(&chain(), 1_000.0);
    tracker.set_running(&EndpointId::from("first"), 10, now);
    assert!((tracker.fleet_ratio(9, now) - 5.0).abs() < 0.1);
    assert!((tracker.fleet_ratio(3, now) - 3.0).abs() < 0.1);
}
