//! Chooses endpoints by load, and gives up one that failed.

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

fn show(what: &str, monitor: &EndpointMonitor, now: Instant) {
    // The seed is passed in, so that every run chooses alike.
    let mut random = StdRng::seed_from_u64(1);
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for _ in 0..300 {
        if let Some(endpoint) = monitor.choose("draft", true, &mut random, now) {
            *counts.entry(endpoint).or_default() += 1;
        }
    }
    println!("{what}: {counts:?}");
}

fn main() -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let mut monitor = EndpointMonitor::new("entry-1".into(), MonitorSettings::default())?;
    monitor.replace(["left", "middle", "right"].map(profile), start);
    // A new endpoint gets little work at first; time is passed in, so nobody waits here.
    let now = start + Duration::from_secs(10);
    monitor.tick(now);
    show("idle", &monitor, now);

    let left: EndpointId = "left".into();
    for _ in 0..4 {
        monitor.started(&left, now);
    }
    show("`left` has four calls", &monitor, now);

    // One refused connection may be chance; a few in a row take the endpoint out of service.
    let right: EndpointId = "right".into();
    for _ in 0..3 {
        monitor.started(&right, now);
        let result = CallResult::Failed(FailureSignal::Refused);
        monitor.finished(&right, now, result, now);
        println!("`right` refused a call: {:?}", monitor.state(&right));
    }
    show("without `right`", &monitor, now);
    Ok(())
}
