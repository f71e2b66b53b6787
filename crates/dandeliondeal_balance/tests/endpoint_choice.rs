//! Tests endpoint selection by load, load reports and subsets.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_balance::stable_subset::stable_subset;
use dandeliondeal_balance::{EndpointMonitor, EndpointProfile, LoadReport, MonitorSettings};
use dandeliondeal_types::{EndpointId, EndpointView};
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 11;

fn id(number: usize) -> EndpointId {
    format!("endpoint-{number}").into()
}

/// Returns a monitor whose endpoints have all finished slow start, and the time at which they have.
fn monitor(endpoints: usize) -> (EndpointMonitor, Instant) {
    let now = Instant::now();
    let mut monitor = EndpointMonitor::new("entry-1".into(), MonitorSettings::default()).unwrap();
    let profiles = (0..endpoints).map(|number| EndpointProfile {
        id: id(number),
        group: Arc::from("draft"),
        accelerator: Arc::from("a10"),
        capacity: 2,
        link_delay: Duration::ZERO,
        service_time: Duration::from_millis(100),
    });
    monitor.replace(profiles, now);
    let later = now + Duration::from_secs(10);
    monitor.tick(later);
    (monitor, later)
}

fn choice_counts(monitor: &EndpointMonitor, now: Instant) -> HashMap<EndpointId, usize> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut counts = HashMap::new();
    for _ in 0..1000 {
        let endpoint = monitor.choose("draft", true, &mut random, now).unwrap();
        *counts.entry(endpoint).or_default() += 1;
    }
    counts
}

fn report(sessions: u32, measured_at: Instant) -> LoadReport {
    LoadReport {
        sessions,
        service_time: None,
        measured_at,
    }
}

#[test]
fn loaded_endpoint_avoided() {
    let (mut monitor, now) = monitor(4);
    for _ in 0..6 {
        monitor.record_start(&id(0), now);
    }
    assert_eq!(choice_counts(&monitor, now).get(&id(0)), None);
}

#[test]
fn stale_report_herding() {
    let (mut monitor, now) = monitor(10);
    for number in 1..10 {
        monitor.record_report(&id(number), report(6, now));
    }
    monitor.record_report(&id(0), report(0, now));
    let fresh = choice_counts(&monitor, now)[&id(0)];
    let stale = choice_counts(&monitor, now + Duration::from_mins(1))
        .get(&id(0))
        .copied()
        .unwrap_or_default();
    // Three samples of ten endpoints include a given endpoint in three of ten selections.
    assert!((200..400).contains(&fresh), "seed {SEED}: {fresh}");
    assert!(stale <= fresh, "seed {SEED}: {stale}");
}

#[test]
fn older_report_ignored() {
    let (mut monitor, now) = monitor(2);
    let later = now + Duration::from_secs(1);
    monitor.record_report(&id(1), report(0, later));
    monitor.record_report(&id(0), report(9, later));
    monitor.record_report(&id(0), report(0, now));
    assert_eq!(choice_counts(&monitor, later).get(&id(0)), None);
}

#[test]
fn subset_stability() {
    let endpoints: Vec<EndpointId> = (0..100).map(id).collect();
    let before = stable_subset("entry-1", &endpoints, 16);
    let after = stable_subset("entry-1", &endpoints[..99], 16);
    let retained = before.iter().filter(|index| after.contains(index)).count();
    assert!(retained >= 15, "{retained}");
}

#[test]
fn view_sampling() {
    let (monitor, now) = monitor(40);
    let view = monitor.view(true, SEED, now);
    let usable = |view: &dyn EndpointView| -> Vec<usize> {
        (0..40)
            .filter(|&number| view.is_usable(&id(number)))
            .collect()
    };
    assert_eq!(usable(&view).len(), 3);
    assert_eq!(usable(&view), usable(&view));
    assert_ne!(usable(&view), usable(&monitor.view(true, SEED + 1, now)));
}
