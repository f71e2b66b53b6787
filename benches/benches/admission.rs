//! Benchmarks of graded admission by number of instances and of waiting requests.

use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dandeliondeal_limit::{
    AdmissionGate, AdmissionRank, DemandReport, GateRequest, GateSettings, ServiceRoom,
};

/// Work per second of one instance, in tokens.
const INSTANCE_WORK: f64 = 900.0;
/// Tokens of capacity for each instance.
const INSTANCE_CAPACITY: f64 = 2_000.0;
const SERVICE: Duration = Duration::from_secs(3);

fn request(number: u64) -> GateRequest {
    GateRequest {
        organisation: Some(format!("organisation-{}", number % 40).into()),
        rank: AdmissionRank::new(u8::try_from(number % 3).unwrap_or(0), false),
        work: 500.0 + (number % 900) as f64,
        objective_left: Duration::from_hours(1),
        max_retry_delay: Duration::from_secs(6),
    }
}

fn total(instances: u32) -> (DemandReport, ServiceRoom) {
    let mut total = DemandReport::default();
    for number in 0..instances {
        let rank = u8::try_from(number % 3).unwrap_or(0) * 2;
        let organisation = format!("organisation-{}", number % 40).into();
        let mut report = DemandReport::default();
        report.ranks.insert(rank, INSTANCE_WORK);
        let organisations = [(organisation, INSTANCE_WORK)].into();
        report.organisations.insert(rank, organisations);
        total.add(&report);
    }
    let capacity = INSTANCE_CAPACITY * f64::from(instances);
    let room = ServiceRoom {
        capacity,
        committed: capacity * 0.88,
    };
    (total, room)
}

fn gate(waiting: u64, now: Instant) -> AdmissionGate {
    let settings = GateSettings {
        max_waiting: usize::MAX,
        ..GateSettings::default()
    };
    let mut gate = AdmissionGate::new(settings, SERVICE, now);
    for number in 0..waiting {
        gate.wait_for_room(u64::MAX - number, request(number), now);
    }
    gate
}

fn decisions(criterion: &mut Criterion) {
    let now = Instant::now();
    for instances in [30, 300, 1_000] {
        let (demand, room) = total(instances);
        for waiting in [0, 10, 10_000] {
            let mut gate = gate(waiting, now);
            gate.set_news(&demand, room, || 0.5, now);
            let mut ticket = 0;
            let id = BenchmarkId::new(format!("decide/{instances}_instances"), waiting);
            criterion.bench_with_input(id, &waiting, |bencher, _| {
                bencher.iter(|| {
                    ticket += 1;
                    let draw = (ticket % 100) as f64 / 100.0;
                    let actions = gate.submit(ticket, request(ticket), draw, now);
                    gate.cancel(ticket);
                    actions
                });
            });
        }
        let mut gate = gate(0, now);
        let id = BenchmarkId::new("news", instances);
        criterion.bench_with_input(id, &instances, |bencher, _| {
            bencher.iter(|| gate.set_news(&demand, room, || 0.5, now));
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .sample_size(20);
    targets = decisions
}
criterion_main!(benches);
