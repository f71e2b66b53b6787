//! Chooses endpoints by load, and stops using one that refuses calls.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::{Duration, Instant};

use dandeliondeal::balance::{
    CallResult, EndpointMonitor, EndpointProfile, FailureSignal, MonitorSettings,
};
use dandeliondeal::types::EndpointId;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn profile(id: &str) -> EndpointProfile {
    EndpointProfile {
        id: id.into(),
        group: "draft".into(),
        accelerator: "a10".into(),
        capacity: 4,
        link_delay: Duration::ZERO,
        service_time: Duration::from_millis(100),
    }
}

fn show_choices(label: &str, monitor: &EndpointMonitor, now: Instant) {
    // The fixed seed makes every run choose the same endpoints.
    let mut random = StdRng::seed_from_u64(1);
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for _ in 0..300 {
        if let Some(endpoint) = monitor.choose("draft", true, &mut random, now) {
            *counts.entry(endpoint).or_default() += 1;
        }
    }
    println!("{label}: {counts:?}");
}

fn main() -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let mut monitor = EndpointMonitor::new("entry-1".into(), MonitorSettings::default())?;
    monitor.replace(["left", "middle", "right"].map(profile), start);
    // A new endpoint gets few calls at first. The monitor takes the time as an argument, so that
    // the example need not wait until this phase is over.
    let now = start + Duration::from_secs(10);
    monitor.tick(now);
    show_choices("idle", &monitor, now);

    let left: EndpointId = "left".into();
    for _ in 0..4 {
        monitor.record_start(&left, now);
    }
    show_choices("`left` has four calls", &monitor, now);

    // A single refused connection may be transient; several in a row take the endpoint out of use.
    let right: EndpointId = "right".into();
    for _ in 0..3 {
        monitor.record_start(&right, now);
        let result = CallResult::Failed(FailureSignal::Refused);
        monitor.record_finish(&right, now, result, now);
        println!("`right` refused a call: {:?}", monitor.state(&right));
    }
    show_choices("without `right`", &monitor, now);
    Ok(())
}
