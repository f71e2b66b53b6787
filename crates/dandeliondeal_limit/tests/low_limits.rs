//! Limits near one request a second, in fleets that report to one hub per failure domain.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use dandeliondeal_limit::{EndpointRates, RateClaim, RateReport, SenderShare};
use dandeliondeal_types::EndpointId;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Length of one step.
const STEP: Duration = Duration::from_millis(20);
/// Steps in a second.
const SECOND: usize = 50;
/// Steps between two reports of an instance: 200 ms, with jitter.
const REPORT_STEPS: std::ops::Range<usize> = 8..13;
/// Steps after which a hub forgets a report.
const REPORT_MAX_AGE: usize = 60;
/// Steps from a request to the endpoint's answer.
const ANSWER_STEPS: usize = 8;
/// Steps after which all instances know that one was stopped or has joined.
const VIEW_STEPS: usize = 100;
/// Steps over which requests are counted.
const WINDOW_STEPS: usize = 4 * SECOND;
/// Steps from the first request on in which the fleet learns the limit.
const STABLE_STEPS: usize = 3 * SECOND;
const DOMAINS: usize = 3;

/// Fleet that sends to one endpoint with a limit.
#[derive(Clone, Debug)]
struct LowFleet {
    instances: usize,
    limit: f64,
    /// Requests a second of each instance.
    demand: Vec<f64>,
    /// Spans of steps without demand.
    idle: Vec<std::ops::Range<usize>>,
    /// Instance that stops at the given step.
    stopped: Option<(usize, usize)>,
    /// Instance that joins at the given step.
    joined: Option<(usize, usize)>,
    /// Step from which the endpoint states no limit any more.
    unstated: Option<usize>,
}

/// State of a run.
struct FleetRun<'fleet> {
    fleet: &'fleet LowFleet,
    endpoint: EndpointId,
    random: StdRng,
    now: Instant,
    step: usize,
    tables: Vec<EndpointRates>,
    /// Position of each instance in the order of the endpoint's senders.
    order: Vec<usize>,
    next_reports: Vec<usize>,
    /// Latest report of each instance at its hub.
    reports: Vec<Option<(usize, RateClaim)>>,
    /// Totals of the domains that each hub knows.
    totals: [[Option<(usize, RateClaim)>; DOMAINS]; DOMAINS],
    shares: Vec<SenderShare>,
    answers: VecDeque<(usize, usize)>,
    sent: Vec<usize>,
}

/// Adds a claim that was reported at a step, unless it is too old.
fn add_claim(total: &mut Option<RateClaim>, reported: Option<(usize, RateClaim)>, step: usize) {
    let Some((_, mut claim)) = reported.filter(|(at, _)| step - at <= REPORT_MAX_AGE) else {
        return;
    };
    let age = step - reported.map_or(step, |(at, _)| at);
    claim.add_age(20 * age as u64);
    match total {
        Some(total) => total.add(&claim),
        None => *total = Some(claim),
    }
}

impl LowFleet {
    fn new(instances: usize, limit: f64, demand: f64) -> Self {
        Self {
            instances,
            limit,
            demand: vec![demand; instances],
            idle: Vec::new(),
            stopped: None,
            joined: None,
            unstated: None,
        }
    }

    /// Draws a fleet whose demand pauses, and of which instances may stop and join.
    fn draw(instances: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let limit = random.random_range(0.25..3.0);
        let total = limit * 10.0_f64.powf(random.random_range(-0.3..1.7));
        let mut fleet = Self::new(instances, limit, total / instances as f64);
        if random.random_bool(0.3) {
            let weights = fleet.demand.iter_mut();
            weights.for_each(|demand| *demand *= 3.0 * random.random_range(0.0_f64..1.0).powi(2));
        }
        let mut step = 8 * SECOND;
        while step < 60 * SECOND && random.random_bool(0.8) {
            let end = step + random.random_range(2 * SECOND..20 * SECOND);
            fleet.idle.push(step..end);
            step = end + random.random_range(SECOND..10 * SECOND);
        }
        let mut change = || {
            let at = random.random_range(10 * SECOND..40 * SECOND);
            random
                .random_bool(0.5)
                .then(|| (random.random_range(0..instances), at))
        };
        fleet.stopped = change();
        fleet.joined = change();
        fleet
    }

    fn is_present(&self, index: usize, step: usize) -> bool {
        let is_stopped = self
            .stopped
            .is_some_and(|(stopped, at)| stopped == index && step >= at);
        let is_awaited = self
            .joined
            .is_some_and(|(joined, at)| joined == index && step < at);
        !is_stopped && !is_awaited
    }

    /// Returns the requests sent in each step.
    fn run(&self, seed: u64, steps: usize) -> Vec<usize> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut order: Vec<usize> = (0..self.instances).collect();
        order.shuffle(&mut random);
        let reports = |_| random.random_range(REPORT_STEPS);
        let mut run = FleetRun {
            fleet: self,
            endpoint: "engine".into(),
            next_reports: (0..self.instances).map(reports).collect(),
            random,
            now: Instant::now() + Duration::from_mins(1),
            step: 0,
            tables: vec![EndpointRates::default(); self.instances],
            order,
            reports: vec![None; self.instances],
            totals: [[None; DOMAINS]; DOMAINS],
            shares: Vec::new(),
            answers: VecDeque::new(),
            sent: Vec::new(),
        };
        for _ in 0..steps {
            run.advance();
        }
        run.sent
    }

    /// Checks the bound in all windows from `from` on.
    fn check(&self, seed: u64, sent: &[usize]) {
        let bound = self.limit * 4.0 * 1.5 + 5.0;
        let windows = sent[STABLE_STEPS..].windows(WINDOW_STEPS);
        let counts = windows.map(|window| window.iter().sum::<usize>());
        let most = counts.enumerate().max_by_key(|(_, count)| *count);
        let (start, count) = most.expect("a window");
        assert!(
            count as f64 <= bound,
            "{count} requests, {bound} allowed, seed {seed}, step {}: {} instances, limit {}, \
             demand {}",
            start + STABLE_STEPS,
            self.instances,
            self.limit,
            self.demand.iter().sum::<f64>(),
        );
    }
}

impl FleetRun<'_> {
    fn advance(&mut self) {
        let fleet = self.fleet;
        self.now += STEP;
        self.update_shares();
        while let Some((due, index)) = self.answers.front().copied()
            && due <= self.step
        {
            self.answers.pop_front();
            self.receive_answer(index);
        }
        let is_idle = fleet.idle.iter().any(|span| span.contains(&self.step));
        let mut sent = 0;
        for index in 0..fleet.instances {
            if !fleet.is_present(index, self.step) {
                continue;
            }
            let probability = (fleet.demand[index] * STEP.as_secs_f64()).min(1.0);
            let wants = self.random.random_bool(probability) && !is_idle;
            let table = &mut self.tables[index];
            if wants && table.wait(&self.endpoint, self.now) == Some(Duration::ZERO) {
                table.record_request(&self.endpoint, self.now);
                self.answers.push_back((self.step + ANSWER_STEPS, index));
                sent += 1;
            }
            if self.next_reports[index] <= self.step {
                self.next_reports[index] = self.step + self.random.random_range(REPORT_STEPS);
                self.exchange(index);
            }
        }
        self.sent.push(sent);
        self.step += 1;
    }

    fn receive_answer(&mut self, index: usize) {
        let share = self.shares[index];
        let table = &mut self.tables[index];
        if self.fleet.unstated.is_some_and(|at| self.step >= at) {
            table.record_unstated(&self.endpoint, self.now);
        } else {
            table.record_limit(&self.endpoint, self.fleet.limit, self.now, || share);
        }
    }

    /// Sets the shares, which follow a change of the fleet late.
    fn update_shares(&mut self) {
        let fleet = self.fleet;
        let changes = [fleet.stopped, fleet.joined].into_iter().flatten();
        let mut seen_at = changes.map(|(_, at)| at + VIEW_STEPS);
        if !self.shares.is_empty() && !seen_at.any(|at| at == self.step) {
            return;
        }
        let seen = self.step.saturating_sub(VIEW_STEPS);
        let is_member = |index: &usize| fleet.is_present(*index, seen);
        let members: Vec<usize> = (0..fleet.instances).filter(is_member).collect();
        let share = |index: usize| {
            let others = members.iter().filter(|member| **member != index);
            let before = others.filter(|member| self.order[**member] < self.order[index]);
            SenderShare {
                rank: before.count(),
                instances: members.len() + usize::from(!is_member(&index)),
            }
        };
        self.shares = (0..fleet.instances).map(share).collect();
    }

    fn domain_total(&self, domain: usize) -> Option<RateClaim> {
        let mut total = None;
        for report in self.reports.iter().skip(domain).step_by(DOMAINS) {
            add_claim(&mut total, *report, self.step);
        }
        total
    }

    /// Reports to the hub of the instance's domain; a hub also exchanges totals with the others.
    fn exchange(&mut self, index: usize) {
        let domain = index % DOMAINS;
        let local = self.tables[index].report(self.now);
        let claim = local.get(&self.endpoint).copied();
        self.reports[index] = claim.map(|claim| (self.step, claim));
        let mut total = self.domain_total(domain);
        let mut members = (0..self.fleet.instances).skip(domain).step_by(DOMAINS);
        let hub = members.find(|member| self.fleet.is_present(*member, self.step));
        if hub == Some(index) {
            for other in (0..DOMAINS).filter(|other| *other != domain) {
                let received = self.domain_total(other).map(|claim| (self.step, claim));
                self.totals[domain][other] = received;
                self.totals[other][domain] = total.map(|claim| (self.step, claim));
            }
        }
        for other in self.totals[domain] {
            add_claim(&mut total, other, self.step);
        }
        let total = total.map(|claim| (EndpointId::clone(&self.endpoint), claim));
        let fleet: RateReport = total.into_iter().collect();
        let share = self.shares[index];
        self.tables[index].set_fleet(&fleet, &local, |_, _| share, self.now);
    }
}

fn check_fleets(instances: usize, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let fleet = LowFleet::draw(instances, seed);
        fleet.check(seed, &fleet.run(seed, 70 * SECOND));
    }
}

/// Guards against instances that may each send a request after a pause, and add up to more than a
/// low limit.
#[test]
fn nine_instances() {
    check_fleets(9, 0..200);
}

#[test]
fn hundred_instances() {
    check_fleets(100, 0..24);
}

#[test]
fn many_instances() {
    check_fleets(300, 0..12);
}

/// Guards against a limit that is forgotten in a pause, after which all instances send at once.
#[test]
fn lapsed_statement() {
    for instances in [9, 100, 300] {
        for limit in [0.25, 0.5, 1.0, 2.0, 3.0] {
            for demand in [30.0, 200.0] {
                let mut fleet = LowFleet::new(instances, limit, demand / instances as f64);
                fleet.idle.push(8 * SECOND..30 * SECOND);
                fleet.check(1, &fleet.run(1, 40 * SECOND));
            }
        }
    }
}

/// Guards against instances that keep to a limit for minutes that the endpoint does not state any
/// more, and never hear so as others send to it.
#[test]
fn unstated_limit() {
    for instances in [9, 100] {
        let mut fleet = LowFleet::new(instances, 1.0, 0.5);
        fleet.unstated = Some(10 * SECOND);
        let sent = fleet.run(1, 30 * SECOND);
        let wanted = 10.0 * 0.5 * instances as f64;
        let last: usize = sent[20 * SECOND..].iter().sum();
        assert!(last as f64 >= 0.8 * wanted, "{last} of {wanted}");
    }
}

/// Guards against an instance that hears of a limit from its hub alone and sends as if there were
/// none.
#[test]
fn reported_limit() {
    let endpoint: EndpointId = "engine".into();
    let share = |rank| SenderShare {
        rank,
        instances: 300,
    };
    let now = Instant::now() + Duration::from_mins(1);
    let mut told = EndpointRates::default();
    told.record_limit(&endpoint, 1.0, now, || share(0));
    let fleet = told.report(now);
    for rank in [0, 299] {
        let mut rates = EndpointRates::default();
        rates.set_fleet(&fleet, &RateReport::new(), |_, _| share(rank), now);
        assert_eq!(rates.limit(&endpoint, now), Some(1.0));
        assert_ne!(rates.wait(&endpoint, now), Some(Duration::ZERO), "{rank}");
    }
}

/// Guards against work that grows with the fleet and is done more than once for a report.
#[test]
fn single_computation() {
    let now = Instant::now() + Duration::from_mins(1);
    let share = SenderShare {
        rank: 0,
        instances: 9,
    };
    let (mut rates, mut others) = (EndpointRates::default(), EndpointRates::default());
    rates.record_limit(&"own".into(), 1.0, now, || share);
    rates.record_limit(&"both".into(), 1.0, now, || share);
    others.record_limit(&"both".into(), 1.0, now, || share);
    others.record_limit(&"other".into(), 1.0, now, || share);
    let local = rates.report(now);
    let mut fleet = others.report(now);
    fleet.extend(local.clone());
    let computed = RefCell::new(Vec::new());
    let share_of = |endpoint: &EndpointId, _| {
        computed.borrow_mut().push(EndpointId::clone(endpoint));
        share
    };
    rates.set_fleet(&fleet, &local, share_of, now);
    let mut computed = computed.into_inner();
    computed.sort_unstable();
    assert_eq!(computed, ["both", "other", "own"].map(EndpointId::from));
}

/// Guards against a bound that is kept by sending too little.
///
/// The demand is spread evenly. Below 0.75 a second not all nine instances may send, so that demand
/// just above the limit does not reach it.
#[test]
fn used_limit() {
    for limit in [0.25, 0.5, 0.75, 1.0, 1.1, 1.5, 2.0, 3.0] {
        let least_pressure = match limit {
            ..0.5 => 5.0,
            ..1.0 => 2.0,
            _ => 1.5,
        };
        for pressure in [least_pressure, 3.0 * least_pressure, 60.0] {
            let fleet = LowFleet::new(9, limit, limit * pressure / 9.0);
            let mut sent_share = 0.0;
            for seed in 0..10 {
                let sent = fleet.run(seed, 24 * SECOND);
                fleet.check(seed, &sent);
                let count: usize = sent[4 * SECOND..].iter().sum();
                sent_share += count as f64 / (limit * 20.0) / 10.0;
            }
            assert!(
                sent_share >= 0.9,
                "{sent_share} of {limit} a second, pressure {pressure}"
            );
        }
    }
}
