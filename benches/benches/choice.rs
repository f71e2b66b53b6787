//! One choice, one tick and one report at growing numbers of endpoints.

use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dandeliondeal_balance::{EndpointMonitor, EndpointProfile, LoadReport, MonitorSettings};
use dandeliondeal_types::EndpointView;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SIZES: [usize; 3] = [100, 420, 1_700];
/// Endpoints of one layer range; the rest of the fleet stands in other groups.
const GROUP_SIZE: usize = 65;

fn monitor(endpoints: usize, now: Instant) -> EndpointMonitor {
    let mut monitor = EndpointMonitor::new("entry-1".into(), MonitorSettings::default()).unwrap();
    monitor.set_instances(420);
    monitor.replace(
        (0..endpoints).map(|number| EndpointProfile {
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

fn choice(criterion: &mut Criterion) {
    let now = Instant::now();
    for size in SIZES {
        let mut monitor = monitor(size, now);
        let mut random = SmallRng::seed_from_u64(1);
        criterion.bench_with_input(BenchmarkId::new("choose", size), &size, |bencher, _| {
            bencher.iter(|| monitor.choose("group-0", true, &mut random, now));
        });
        criterion.bench_with_input(BenchmarkId::new("view", size), &size, |bencher, _| {
            let first = "endpoint-0".into();
            bencher.iter(|| monitor.view(true, 7, now).is_usable(&first));
        });
        criterion.bench_with_input(BenchmarkId::new("tick", size), &size, |bencher, _| {
            bencher.iter(|| monitor.tick(now));
        });
        criterion.bench_with_input(BenchmarkId::new("reported", size), &size, |bencher, _| {
            let endpoint = "endpoint-0".into();
            let mut measured = now;
            bencher.iter(|| {
                measured += Duration::from_nanos(1);
                monitor.reported(
                    &endpoint,
                    LoadReport {
                        sessions: 3,
                        service_time: None,
                        measured,
                    },
                );
            });
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .sample_size(20);
    targets = choice
}
criterion_main!(benches);
