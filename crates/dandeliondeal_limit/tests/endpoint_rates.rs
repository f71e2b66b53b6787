//! Limits that endpoints state hold for the requests of all instances together.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bolero_generator::TypeGenerator;
use dandeliondeal_limit::{EndpointRates, RateReport, RateSettings, SenderShare, sender_count};
use dandeliondeal_types::EndpointId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Length of one step.
const STEP: Duration = Duration::from_millis(20);
/// Steps between two exchanges of reports.
const EXCHANGE_STEPS: u32 = 12;
/// Steps by which what others sent is late.
const REPORT_DELAY: usize = 2;
/// Span over which requests are counted, and the stated bound on their number in it.
const WINDOW_STEPS: usize = 200;
/// Steps after the first statement from which the bound holds.
const STABLE_STEPS: u32 = 150;

fn bound(limit: f64) -> f64 {
    limit * 1.5 * 4.0 + 5.0
}

/// Fleet that sends to one endpoint with a limit.
struct RateFleet {
    instances: usize,
    limit: f64,
    /// Requests a second of each instance.
    demand: Vec<f64>,
    /// Instance that hears of no other one from the given step on.
    cut: Option<(usize, u32)>,
    /// Instance that knows of the limit only from the given step on.
    joining: Option<(usize, u32)>,
}

/// Sent requests by step, and by instance.
struct RateResult {
    by_step: Vec<usize>,
    by_instance: Vec<usize>,
}

impl RateFleet {
    fn run(&self, seed: u64, step_count: u32) -> RateResult {
        let endpoint: EndpointId = "engine".into();
        let mut random = StdRng::seed_from_u64(seed);
        let mut now = Instant::now() + Duration::from_mins(1);
        let mut tables = vec![EndpointRates::default(); self.instances];
        let share = |index: usize| SenderShare {
            rank: index,
            instances: self.instances,
        };
        let mut late_totals: VecDeque<RateReport> = VecDeque::new();
        let mut result = RateResult {
            by_step: Vec::new(),
            by_instance: vec![0; self.instances],
        };
        for step in 0..step_count {
            now += STEP;
            let mut sent = 0;
            for (index, table) in tables.iter_mut().enumerate() {
                let is_absent = self
                    .joining
                    .is_some_and(|(joining, at)| joining == index && step < at);
                let wants = random.random_bool((self.demand[index] * STEP.as_secs_f64()).min(1.0));
                if is_absent || !wants {
                    continue;
                }
                let is_told = table.limit(&endpoint, now).is_some();
                if is_told && table.wait(&endpoint, now) != Some(Duration::ZERO) {
                    continue;
                }
                table.record_request(&endpoint, now);
                table.record_limit(&endpoint, self.limit, now, || share(index));
                sent += 1;
                result.by_instance[index] += 1;
            }
            result.by_step.push(sent);
            if step % EXCHANGE_STEPS == 0 {
                self.exchange(&mut tables, &mut late_totals, step, now);
            }
        }
        result
    }

    fn exchange(
        &self,
        tables: &mut [EndpointRates],
        late_totals: &mut VecDeque<RateReport>,
        step: u32,
        now: Instant,
    ) {
        let is_reachable = |index: usize| {
            let is_cut = self.cut.is_some_and(|(cut, at)| cut == index && step >= at);
            let is_absent = self
                .joining
                .is_some_and(|(joining, at)| joining == index && step < at);
            !is_cut && !is_absent
        };
        let mut total = RateReport::new();
        for (_, table) in tables
            .iter()
            .enumerate()
            .filter(|(index, _)| is_reachable(*index))
        {
            for (endpoint, claim) in table.report(now) {
                let known = total.entry(endpoint);
                known.and_modify(|known| known.add(&claim)).or_insert(claim);
            }
        }
        late_totals.push_back(total);
        if late_totals.len() <= REPORT_DELAY {
            return;
        }
        let fleet = late_totals.pop_front().unwrap_or_default();
        for (index, table) in tables
            .iter_mut()
            .enumerate()
            .filter(|(index, _)| is_reachable(*index))
        {
            let local = table.report(now);
            let share = SenderShare {
                rank: index,
                instances: self.instances,
            };
            table.set_fleet(&fleet, &local, |_, _| share, now);
        }
    }

    /// Checks the bound in all windows from `from` on.
    fn check(&self, seed: u64, result: &RateResult) {
        let steps = &result.by_step;
        let from = STABLE_STEPS as usize;
        for start in from..steps.len() - WINDOW_STEPS {
            let count: usize = steps[start..start + WINDOW_STEPS].iter().sum();
            assert!(
                count as f64 <= bound(self.limit),
                "{count} requests, limit {}, {} instances, seed {seed}, step {start}",
                self.limit,
                self.instances
            );
        }
    }
}

/// Draws a fleet whose instances want more than the limit together, in uneven parts.
fn draw_fleet(seed: u64) -> RateFleet {
    let mut random = StdRng::seed_from_u64(seed);
    let instances = [1, 2, 3, 9, 9, 9, 30, 100, 300][random.random_range(0..9)];
    let limit = random.random_range(0.5..25.0);
    let weights: Vec<f64> = (0..instances)
        .map(|_| random.random_range(0.0_f64..1.0).powi(3))
        .collect();
    let total: f64 = weights.iter().sum();
    let pressure = random.random_range(0.5..6.0) * limit;
    RateFleet {
        instances,
        limit,
        demand: weights
            .iter()
            .map(|weight| weight / total * pressure)
            .collect(),
        cut: random
            .random_bool(0.4)
            .then(|| (random.random_range(0..instances), 500)),
        joining: random
            .random_bool(0.4)
            .then(|| (random.random_range(0..instances), 600)),
    }
}

/// Guards against instances that each keep a limit while their sum exceeds it.
#[test]
fn summed_requests() {
    for seed in 0..80 {
        let fleet = draw_fleet(seed);
        fleet.check(seed, &fleet.run(seed, 1_500));
    }
}

/// Guards against shares that stay unused where the demand is.
#[test]
fn uneven_demand() {
    let mut demand = vec![0.2; 9];
    demand[0] = 30.0;
    let fleet = RateFleet {
        instances: 9,
        limit: 10.0,
        demand,
        cut: None,
        joining: None,
    };
    let result = fleet.run(1, 2_000);
    fleet.check(1, &result);
    let sent: usize = result.by_step[500..].iter().sum();
    let allowed = fleet.limit * STEP.as_secs_f64() * 1_500.0;
    assert!(sent as f64 >= allowed * 0.75, "{sent} of {allowed}");
}

/// Guards against an instance that joins and finds the limit used up by the others.
#[test]
fn joining_instance() {
    let fleet = RateFleet {
        instances: 9,
        limit: 9.0,
        demand: vec![5.0; 9],
        cut: None,
        joining: Some((4, 500)),
    };
    let result = fleet.run(1, 2_000);
    fleet.check(1, &result);
    // In 30 s a ninth of the limit would be 30 requests.
    assert!(result.by_instance[4] >= 10, "{}", result.by_instance[4]);
}

#[test]
fn cut_instance() {
    let fleet = RateFleet {
        instances: 9,
        limit: 9.0,
        demand: vec![5.0; 9],
        cut: Some((4, 500)),
        joining: None,
    };
    let result = fleet.run(1, 2_000);
    fleet.check(1, &result);
    assert!(result.by_instance[4] >= 20, "{}", result.by_instance[4]);
}

#[test]
fn ended_limit() {
    let endpoint: EndpointId = "engine".into();
    let share = SenderShare {
        rank: 0,
        instances: 1,
    };
    let now = Instant::now();
    let mut rates = EndpointRates::default();
    assert!(rates.record_limit(&endpoint, 2.0, now, || share));
    assert!(!rates.record_limit(&endpoint, 2.0, now, || share));
    assert_eq!(rates.wait(&endpoint, now), Some(Duration::from_millis(500)));
    assert_eq!(rates.full_endpoints(now), [EndpointId::clone(&endpoint)]);
    let later = now + Duration::from_secs(4);
    assert_eq!(rates.limit(&endpoint, later), None);
    assert_eq!(rates.wait(&endpoint, later), Some(Duration::ZERO));
    rates.set_shares(|_, _| share, later);
    assert!(rates.is_empty(later));
}

/// Guards against values that would stop an endpoint for good or break the arithmetic.
#[test]
fn extreme_limits() {
    let endpoint: EndpointId = "engine".into();
    let share = SenderShare {
        rank: 0,
        instances: 3,
    };
    let now = Instant::now();
    for limit in [0.0, 1e-300, 1e300, f64::INFINITY, f64::MAX] {
        let mut rates = EndpointRates::default();
        rates.record_limit(&endpoint, limit, now, || share);
        let wait = rates.wait(&endpoint, now).expect("a sender");
        assert!(wait <= Duration::from_secs(15), "{limit}: {wait:?}");
        rates.record_request(&endpoint, now + Duration::from_secs(1));
        assert!(sender_count(limit, 9) <= 9);
    }
}

#[test]
fn bounded_endpoints() {
    let share = SenderShare {
        rank: 0,
        instances: 1,
    };
    let now = Instant::now();
    let mut rates = EndpointRates::default();
    for index in 0..5_000 {
        rates.record_limit(&format!("engine-{index}").into(), 5.0, now, || share);
    }
    assert_eq!(rates.len(now), RateSettings::default().max_endpoints);
}

/// One step of a generated test case.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum RateStep {
    /// Waits for this many milliseconds.
    Wait(u8),
    /// Sends a request if there is room.
    Send,
    /// The others sent this many requests a second.
    Peers(u8),
}

/// Guards against bursts of one instance, whatever it hears of the others.
#[test]
fn arbitrary_steps() {
    bolero::check!()
        .with_type::<(u8, Vec<RateStep>)>()
        .for_each(|(limit, steps)| {
            let limit = f64::from(*limit).max(1.0) / 4.0;
            let endpoint: EndpointId = "engine".into();
            let share = SenderShare {
                rank: 0,
                instances: 1,
            };
            let start = Instant::now();
            let mut now = start;
            let mut rates = EndpointRates::default();
            rates.record_limit(&endpoint, limit, now, || share);
            let mut sent = 0.0;
            for step in steps {
                match step {
                    RateStep::Wait(time_ms) => now += Duration::from_millis(u64::from(*time_ms)),
                    RateStep::Peers(rate) => {
                        let mut fleet = rates.report(now);
                        if let Some(claim) = fleet.get_mut(&endpoint) {
                            claim.sent_rate += f64::from(*rate);
                        }
                        let local = rates.report(now);
                        rates.set_fleet(&fleet, &local, |_, _| share, now);
                    }
                    RateStep::Send if rates.wait(&endpoint, now) == Some(Duration::ZERO) => {
                        rates.record_request(&endpoint, now);
                        sent += 1.0;
                    }
                    RateStep::Send => {}
                }
                rates.record_limit(&endpoint, limit, now, || share);
                let elapsed = now.saturating_duration_since(start).as_secs_f64();
                let burst = (limit * RateSettings::default().burst_time.as_secs_f64()).max(1.0);
                assert!(
                    sent <= limit * elapsed + burst + 1e-6,
                    "{sent} in {elapsed} s"
                );
            }
        });
}
