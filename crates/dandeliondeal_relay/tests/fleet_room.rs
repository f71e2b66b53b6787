//! Room of services from registrations, health and load.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_layout::{ChainHop, EngineChain};
use dandeliondeal_limit::ServiceRoom;
use dandeliondeal_relay::{FleetView, LoadTracker};
use dandeliondeal_route::{RouteConfig, RouteTable, ServiceRule};
use dandeliondeal_types::{EndpointId, EndpointRecord, LayerRange};
use support::profile;

fn record(id: &str, service: &str, layers: Option<LayerRange>) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: service.into(),
        address: ([127, 0, 0, 1], 8000).into(),
        failure_domain: "didube".into(),
        slots: 6,
        is_draining: false,
        warm_up: Duration::ZERO,
        accelerator: layers.is_some().then(|| "card".into()),
        layers,
        write_count: 1,
        started_at_ms: 1_000,
    }
}

/// Returns two engines for the first half of the layers, one for the second, and two replicas.
fn view(now: Instant) -> FleetView {
    let mut view = FleetView::new(&"router".into()).expect("a valid chart");
    let model = ServiceRule {
        id: "drafting".into(),
        health_path: "/health".into(),
        connection_limit: 10,
        engine: Some(Arc::new(profile())),
    };
    let config = RouteConfig {
        version: 1,
        services: vec![model],
        ..RouteConfig::default()
    };
    view.set_services(&RouteTable::new(config), now);
    let (first, second) = (LayerRange::new(0, 4), LayerRange::new(4, 8));
    let mut records = vec![
        record("a", "drafting", Some(first)),
        record("b", "drafting", Some(first)),
        record("c", "drafting", Some(second)),
        record("d", "orders", None),
        record("e", "orders", None),
    ];
    for (record, port) in records.iter_mut().zip(8_001..) {
        record.address.set_port(port);
    }
    view.replace(records, None, now);
    view
}

fn chain(engine: &str) -> EngineChain {
    let hop = ChainHop {
        id: engine.into(),
        address: ([127, 0, 0, 1], 8000).into(),
        range: LayerRange::new(0, 4),
    };
    EngineChain {
        hops: vec![hop],
        cost: 1.0,
        crossings: 0,
    }
}

fn model_room(view: &FleetView, tracker: &LoadTracker, now: Instant) -> ServiceRoom {
    view.model_room("drafting", &profile(), tracker, 1, now)
}

fn assert_room(room: ServiceRoom, capacity: f64, committed: f64) {
    let is_equal =
        (room.capacity - capacity).abs() < 1.0 && (room.committed - committed).abs() < 1.0;
    assert!(is_equal, "{room:?}, expected {capacity} and {committed}");
}

#[test]
fn tightest_layer() {
    let now = Instant::now();
    let (view, tracker) = (view(now), LoadTracker::default());
    assert_room(model_room(&view, &tracker, now), 4_000.0, 0.0);
    let _load = [
        tracker.reserve(&chain("a"), 3_000.0),
        tracker.reserve(&chain("b"), 2_500.0),
    ];
    // The first half of the layers has less free room now, although it has more engines.
    assert_room(model_room(&view, &tracker, now), 8_000.0, 5_500.0);
}

#[test]
fn failed_engine() {
    let now = Instant::now();
    let (mut view, tracker) = (view(now), LoadTracker::default());
    let _load = tracker.reserve(&chain("a"), 3_000.0);
    view.mark_failed(&EndpointId::from("b"), now);
    assert_room(model_room(&view, &tracker, now), 4_000.0, 3_000.0);
}

// An overcommitted layer must not hide that another one is missing.
#[test]
fn missing_layer() {
    let now = Instant::now();
    let (mut view, tracker) = (view(now), LoadTracker::default());
    let _load = tracker.reserve(&chain("a"), 9_000.0);
    view.exclude_mismatched(&EndpointId::from("c"), now);
    assert_room(model_room(&view, &tracker, now), 0.0, 0.0);
}

#[test]
fn plain_places() {
    let now = Instant::now();
    let mut view = view(now);
    assert_room(view.plain_room("orders", 5.0), 12.0, 5.0);
    let mut draining = record("e", "orders", None);
    draining.address.set_port(8_005);
    draining.is_draining = true;
    draining.write_count = 2;
    view.update(draining, now);
    assert_room(view.plain_room("orders", 5.0), 6.0, 5.0);
    assert_room(view.plain_room("absent", 0.0), 0.0, 0.0);
}
