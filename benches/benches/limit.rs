//! Admission and grants at growing numbers of organisations and holders.

use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dandeliondeal_limit::{
    AdmissionQueue, AdmissionSettings, GrantHolder, GrantOwner, GrantSettings, LimitAmount,
    QueuedRequest,
};

const LIMIT: LimitAmount = LimitAmount {
    milli_requests: 1_000_000,
    tokens: 200_000,
    concurrency: 10_000,
};

fn admission(criterion: &mut Criterion) {
    let now = Instant::now();
    for organisations in [10, 220] {
        let settings = AdmissionSettings {
            places: 8,
            ..AdmissionSettings::default()
        };
        let mut queue = AdmissionQueue::new(settings, now);
        let mut ticket = 0;
        let mut arrive = |queue: &mut AdmissionQueue| {
            ticket += 1;
            let request = QueuedRequest {
                organisation: format!("organisation-{}", ticket % organisations).into(),
                weight: 1,
                cost: 100.0,
                priority: 0,
                deadline: now + Duration::from_hours(1),
            };
            queue.arrive(ticket, request, now);
            ticket
        };
        for _ in 0..organisations * 2 {
            arrive(&mut queue);
        }
        let mut oldest = 0;
        let id = BenchmarkId::new("arrive_finish", organisations);
        criterion.bench_with_input(id, &organisations, |bencher, _| {
            bencher.iter(|| {
                arrive(&mut queue);
                oldest += 1;
                queue.finish(oldest, None, now)
            });
        });
    }
}

fn grants(criterion: &mut Criterion) {
    let now = Instant::now();
    for holders in [10_u32, 60, 210, 420] {
        let mut owner = GrantOwner::new(GrantSettings::default(), LIMIT, 1, true, now, now);
        owner.confirm(now);
        let demand = LIMIT.divided(u64::from(holders));
        let mut requests = Vec::new();
        for number in 0..holders {
            let mut holder = GrantHolder::new(format!("entry-{number}").into(), 1);
            let request = holder.request(demand, now);
            holder.answered(owner.request(&request, now), now);
            requests.push(holder.request(demand, now));
        }
        let mut next = 0;
        let id = BenchmarkId::new("grant", holders);
        criterion.bench_with_input(id, &holders, |bencher, _| {
            bencher.iter(|| {
                next = (next + 1) % requests.len();
                owner.request(&requests[next], now)
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
    targets = admission, grants
}
criterion_main!(benches);
