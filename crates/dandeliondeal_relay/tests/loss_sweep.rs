//! Engines that the hub of a domain connects to after a loss.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_relay::FleetView;
use dandeliondeal_relay::loss_sweep::{SweepTimer, swept_engines};
use dandeliondeal_route::{RouteConfig, RouteTable, ServiceRule};
use dandeliondeal_types::{EndpointRecord, LayerRange};
use support::profile;

fn engine(index: u16, domain: &str, service: &str) -> EndpointRecord {
    EndpointRecord {
        id: format!("engine-{index}").into(),
        service: service.into(),
        address: ([127, 0, 0, 1], 8_000 + index).into(),
        failure_domain: domain.into(),
        slots: 6,
        is_draining: index == 5,
        warm_up: Duration::ZERO,
        accelerator: Some("card".into()),
        layers: Some(LayerRange::new(0, 4)),
        write_count: 1,
        started_at_ms: 1_000,
    }
}

/// Returns engines 0 to 5 in two domains, of which 4 has failed and 5 drains, and an order desk.
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
    let mut records: Vec<_> = (0..6)
        .map(|index| {
            let domain = if index == 1 { "isani" } else { "didube" };
            engine(index, domain, "drafting")
        })
        .collect();
    records.push(engine(9, "didube", "orders"));
    view.replace(records, None, now);
    view.mark_failed(&"engine-4".into(), now);
    view
}

/// Guards against the loss of several engines of which only the first ones of chains are noticed.
#[test]
fn usable_engines() {
    let view = view(Instant::now());
    let swept = |domain: &str| -> BTreeSet<String> {
        let engines = swept_engines(&view, &domain.into(), "engine-0");
        engines.iter().map(ToString::to_string).collect()
    };
    assert_eq!(
        swept("didube"),
        BTreeSet::from(["engine-2".to_owned(), "engine-3".to_owned()])
    );
    // The loss may have a common cause with others in another domain.
    assert_eq!(swept("isani"), BTreeSet::from(["engine-1".to_owned()]));
    assert!(swept_engines(&view, &"didube".into(), "unknown").is_empty());
}

/// Guards against a sweep for each notice of one loss.
#[test]
fn sweep_rate() {
    let start = Instant::now();
    let timer = SweepTimer::default();
    assert!(timer.try_start(start));
    assert!(!timer.try_start(start + Duration::from_millis(900)));
    assert!(timer.try_start(start + Duration::from_secs(1)));
}
