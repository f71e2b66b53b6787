//! Benchmarks of admission by number of organisations, and of grants by number of holders.

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
    for organisation_count in [10, 220] {
        let settings = AdmissionSettings {
            max_running: 8,
            ..AdmissionSettings::default()
        };
        let mut queue = AdmissionQueue::new(settings, now);
        let mut ticket = 0;
        let mut add_request = |queue: &mut AdmissionQueue| {
            ticket += 1;
            let request = QueuedRequest {
                organisation: format!("organisation-{}", ticket % organisation_count).into(),
                weight: 1,
                cost: 100.0,
                priority: 0,
                deadline: now + Duration::from_hours(1),
            };
            queue.submit(ticket, request, now);
            ticket
        };
        for _ in 0..organisation_count * 2 {
            add_request(&mut queue);
        }
        let mut oldest_ticket = 0;
        let id = BenchmarkId::new("arrive_finish", organisation_count);
        criterion.bench_with_input(id, &organisation_count, |bencher, _| {
            bencher.iter(|| {
                add_request(&mut queue);
                oldest_ticket += 1;
                queue.finish(oldest_ticket, None, now)
            });
        });
    }
}

fn grants(criterion: &mut Criterion) {
    let now = Instant::now();
    for holder_count in [10_u32, 60, 210, 420] {
        let mut owner = GrantOwner::new(GrantSettings::default(), LIMIT, 1, true, now, now);
        owner.confirm(now);
        let demand = LIMIT.divide_by(u64::from(holder_count));
        let mut requests = Vec::new();
        for number in 0..holder_count {
            let mut holder = GrantHolder::new(format!("entry-{number}").into(), 1);
            let request = holder.request(demand, now);
            holder.process_answer(owner.request(&request, now), now);
            requests.push(holder.request(demand, now));
        }
        let mut index = 0;
        let id = BenchmarkId::new("grant", holder_count);
        criterion.bench_with_input(id, &holder_count, |bencher, _| {
            bencher.iter(|| {
                index = (index + 1) % requests.len();
                owner.request(&requests[index], now)
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
