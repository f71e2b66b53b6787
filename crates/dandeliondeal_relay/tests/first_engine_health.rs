//! Counts of attempts at the first engines of chains, of one instance and of all.

use std::time::{Duration, Instant};

use dandeliondeal_relay::first_engine_health::{AttemptTotals, FirstEngineHealth};
use dandeliondeal_types::EndpointId;

/// Draw for which failing engines are not probed.
const NO_PROBE: f64 = 0.5;

fn engine(name: &str) -> EndpointId {
    EndpointId::from(name)
}

fn fleet_counts(instances: &[&FirstEngineHealth], now: Instant) -> AttemptTotals {
    let mut all = AttemptTotals::default();
    for health in instances {
        for (engine, counts) in health.local_counts(now) {
            all.entry(engine).or_default().add(counts);
        }
    }
    all
}

#[test]
fn local_failures() {
    let now = Instant::now();
    let health = FirstEngineHealth::default();
    for _ in 0..2 {
        health.record(&engine("grey"), false, now);
    }
    assert!(
        health.failing_engines(NO_PROBE, now).is_empty(),
        "two may be chance"
    );
    health.record(&engine("grey"), false, now);
    assert_eq!(health.failing_engines(NO_PROBE, now), [engine("grey")]);
    assert!(health.failing_engines(0.001, now).is_empty(), "a probe");
}

#[test]
fn fleet_failures() {
    // A failing engine attracts the requests of a large fleet, but each instance makes only one
    // attempt at it.
    let now = Instant::now();
    let instances: Vec<FirstEngineHealth> = (0..6).map(|_| FirstEngineHealth::default()).collect();
    for health in &instances {
        health.record(&engine("grey"), false, now);
        health.record(&engine("sound"), true, now);
    }
    let all = fleet_counts(&instances.iter().collect::<Vec<_>>(), now);
    for health in &instances {
        assert!(health.failing_engines(NO_PROBE, now).is_empty());
        health.set_fleet(&all, &health.local_counts(now), now);
        assert_eq!(health.failing_engines(NO_PROBE, now), [engine("grey")]);
    }
}

#[test]
fn unreachable_engine() {
    // One instance cannot reach engines that work for all other instances.
    let now = Instant::now();
    let (isolated, connected) = (FirstEngineHealth::default(), FirstEngineHealth::default());
    for _ in 0..5 {
        isolated.record(&engine("first"), false, now);
    }
    for _ in 0..20 {
        connected.record(&engine("first"), true, now);
    }
    let all = fleet_counts(&[&isolated, &connected], now);
    isolated.set_fleet(&all, &isolated.local_counts(now), now);
    connected.set_fleet(&all, &connected.local_counts(now), now);
    assert_eq!(isolated.failing_engines(NO_PROBE, now), [engine("first")]);
    assert!(connected.failing_engines(NO_PROBE, now).is_empty());
}

#[test]
fn failures_decay() {
    let now = Instant::now();
    let health = FirstEngineHealth::default();
    for _ in 0..4 {
        health.record(&engine("grey"), false, now);
    }
    let later = now + Duration::from_secs(10);
    assert!(health.failing_engines(NO_PROBE, later).is_empty());
    health.record(&engine("grey"), true, later);
    assert!(health.failing_engines(NO_PROBE, later).is_empty());
}
