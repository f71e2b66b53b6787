//! Counts of attempts at the first engines of chains, of one instance and of all.

use std::time::{Duration, Instant};

use dandeliondeal_relay::first_health::{FirstHealth, OfferSum};
use dandeliondeal_types::EndpointId;

/// Draw for which failing engines are not probed.
const NO_TRIAL: f64 = 0.5;

fn engine(name: &str) -> EndpointId {
    EndpointId::from(name)
}

fn sum(of: &[&FirstHealth], now: Instant) -> OfferSum {
    let mut all = OfferSum::default();
    for health in of {
        for (engine, counts) in health.own_sum(now) {
            all.entry(engine).or_default().add(counts);
        }
    }
    all
}

#[test]
fn own_failures() {
    let now = Instant::now();
    let health = FirstHealth::default();
    for _ in 0..2 {
        health.note(&engine("grey"), false, now);
    }
    assert!(
        health.failing(NO_TRIAL, now).is_empty(),
        "two may be chance"
    );
    health.note(&engine("grey"), false, now);
    assert_eq!(health.failing(NO_TRIAL, now), [engine("grey")]);
    assert!(health.failing(0.001, now).is_empty(), "a trial");
}

#[test]
fn fleet_failures() {
    // A failing engine attracts the requests of a large fleet, but each instance makes only one
    // attempt at it.
    let now = Instant::now();
    let instances: Vec<FirstHealth> = (0..6).map(|_| FirstHealth::default()).collect();
    for health in &instances {
        health.note(&engine("grey"), false, now);
        health.note(&engine("sound"), true, now);
    }
    let all = sum(&instances.iter().collect::<Vec<_>>(), now);
    for health in &instances {
        assert!(health.failing(NO_TRIAL, now).is_empty());
        health.set_fleet(&all, &health.own_sum(now), now);
        assert_eq!(health.failing(NO_TRIAL, now), [engine("grey")]);
    }
}

#[test]
fn broken_instance() {
    // One instance cannot reach engines that work for all other instances.
    let now = Instant::now();
    let (broken, sound) = (FirstHealth::default(), FirstHealth::default());
    for _ in 0..5 {
        broken.note(&engine("first"), false, now);
    }
    for _ in 0..20 {
        sound.note(&engine("first"), true, now);
    }
    let all = sum(&[&broken, &sound], now);
    broken.set_fleet(&all, &broken.own_sum(now), now);
    sound.set_fleet(&all, &sound.own_sum(now), now);
    assert_eq!(broken.failing(NO_TRIAL, now), [engine("first")]);
    assert!(sound.failing(NO_TRIAL, now).is_empty());
}

#[test]
fn failures_fade() {
    let now = Instant::now();
    let health = FirstHealth::default();
    for _ in 0..4 {
        health.note(&engine("grey"), false, now);
    }
    let later = now + Duration::from_secs(10);
    assert!(health.failing(NO_TRIAL, later).is_empty());
    health.note(&engine("grey"), true, later);
    assert!(health.failing(NO_TRIAL, later).is_empty());
}
