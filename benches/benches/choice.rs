//! Benchmarks of the endpoint monitor by number of endpoints: choice, view, tick, load report.

use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dandeliondeal_balance::{EndpointMonitor, EndpointProfile, LoadReport, MonitorSettings};
use dandeliondeal_types::EndpointView;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Numbers of endpoints; the largest is the target scale.
const ENDPOINT_COUNTS: [usize; 3] = [100, 420, 1_700];
/// Number of endpoints that serve one layer range; the others belong to other groups.
const GROUP_SIZE: usize = 65;
/// Number of entry instances at the target scale.
const INSTANCE_COUNT: usize = 420;

fn monitor(endpoint_count: usize, now: Instant) -> EndpointMonitor {
    let mut monitor = EndpointMonitor::new("entry-1".into(), MonitorSettings::default()).unwrap();
    monitor.set_instance_count(INSTANCE_COUNT);
    monitor.replace(
        (0..endpoint_count).map(|number| EndpointProfile {
            id: format!("endpoint-{number}").into(),
            group: format!("group-{}", number / GROUP_SIZE).into(),
            accelerator: "a10".into(),
            capacity: 16,
            link_delay: Duration::from_millis(1),
            service_time: Duration::from_millis(30),
        }),
        now,
    );
    monitor.tick(now + Duration::from_secs(1));
    monitor
}

fn endpoint_choice(criterion: &mut Criterion) {
    let now = Instant::now();
    for endpoint_count in ENDPOINT_COUNTS {
        let mut monitor = monitor(endpoint_count, now);
        let mut random = SmallRng::seed_from_u64(1);
        criterion.bench_with_input(
            BenchmarkId::new("choose", endpoint_count),
            &endpoint_count,
            |bencher, _| {
                bencher.iter(|| monitor.choose("group-0", true, &mut random, now));
            },
        );
        criterion.bench_with_input(
            BenchmarkId::new("view", endpoint_count),
            &endpoint_count,
            |bencher, _| {
                let endpoint = "endpoint-0".into();
                bencher.iter(|| monitor.view(true, 7, now).is_usable(&endpoint));
            },
        );
        criterion.bench_with_input(
            BenchmarkId::new("tick", endpoint_count),
            &endpoint_count,
            |bencher, _| {
                bencher.iter(|| monitor.tick(now));
            },
        );
        criterion.bench_with_input(
            BenchmarkId::new("reported", endpoint_count),
            &endpoint_count,
            |bencher, _| {
                let endpoint = "endpoint-0".into();
                let mut measured_at = now;
                bencher.iter(|| {
                    measured_at += Duration::from_nanos(1);
                    monitor.record_report(
                        &endpoint,
                        LoadReport {
                            sessions: 3,
                            service_time: None,
                            measured_at,
                        },
                    );
                });
            },
        );
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .sample_size(20);
    targets = endpoint_choice
}
criterion_main!(benches);
