//! Drives one policy through a scenario in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use dandeliondeal_balance::{CallResult, FailureSignal};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use crate::choice_policy::ChoicePolicy;
use crate::choice_scenario::{CAPACITY, CallFate, ChoiceScenario, DEADLINE};

/// Time between reports of one endpoint when reports lag.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Time between reports when they do not lag.
const FRESH_PERIOD: Duration = Duration::from_millis(20);
/// Time between ticks of the policies.
const TICK_PERIOD: Duration = Duration::from_millis(200);
/// Time after which a caller gives up.
const CALLER_LIMIT: Duration = Duration::from_secs(10);
/// Tries of one request when an endpoint refuses or fails it.
const TRIES: u32 = 3;

/// What came out of one run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct DriverResult {
    /// Median time to the answer in milliseconds; a request without answer counts as the limit.
    pub p50: f64,
    /// 95th of 100.
    pub p95: f64,
    /// 99th of 100.
    pub p99: f64,
    /// Share of requests answered after the deadline or not at all.
    pub late: f64,
    /// Share of requests without an answer.
    pub failed: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum DriverEvent {
    Arrive(usize),
    Complete { call: usize },
    GiveUp { call: usize },
    Publish,
    Deliver { report: usize },
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct DriverCall {
    request: usize,
    endpoint: usize,
    started: Duration,
    is_open: bool,
    /// Whether it holds a place of the endpoint without ever being answered.
    is_silent: bool,
}

#[derive(Clone, Debug, Default)]
struct EndpointQueue {
    running: u32,
    waiting: VecDeque<usize>,
    count: u64,
}

/// Runs one policy.
#[derive(Debug)]
pub struct ChoiceDriver<'scenario, Policy> {
    scenario: &'scenario ChoiceScenario,
    policy: Policy,
    random: StdRng,
    base: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, usize, DriverEvent)>>,
    sequence: usize,
    queues: Vec<EndpointQueue>,
    calls: Vec<DriverCall>,
    tries: Vec<u32>,
    reports: Vec<(Duration, Vec<u32>)>,
    answers: Vec<Option<Duration>>,
}

impl<'scenario, Policy> ChoiceDriver<'scenario, Policy>
where
    Policy: ChoicePolicy,
{
    /// Prepares a run.
    pub fn new(scenario: &'scenario ChoiceScenario, policy: Policy, seed: u64) -> Self {
        let requests = scenario.arrivals.len();
        let mut driver = Self {
            scenario,
            policy,
            random: StdRng::seed_from_u64(seed.wrapping_add(1)),
            // The monitors start at the present; the run starts after their first slow start.
            base: Instant::now() + Duration::from_mins(1),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            queues: vec![EndpointQueue::default(); scenario.speeds.len()],
            calls: Vec::with_capacity(requests),
            tries: vec![0; requests],
            reports: Vec::new(),
            answers: vec![None; requests],
        };
        driver.push(Duration::ZERO, DriverEvent::Tick);
        driver.push(Duration::ZERO, DriverEvent::Publish);
        for (request, arrival) in scenario.arrivals.iter().enumerate() {
            driver.push(arrival.at, DriverEvent::Arrive(request));
        }
        driver
    }

    /// Runs to the end and returns the figures.
    pub fn run(mut self) -> DriverResult {
        let end = self
            .scenario
            .arrivals
            .last()
            .map_or(Duration::ZERO, |last| last.at);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                DriverEvent::Arrive(request) => self.dispatch(request),
                DriverEvent::Complete { call } => self.complete(call),
                DriverEvent::GiveUp { call } => self.give_up(call),
                DriverEvent::Publish if at <= end => self.publish(),
                DriverEvent::Deliver { report } => self.deliver(report),
                DriverEvent::Tick if at <= end => {
                    self.policy.tick(self.base + at);
                    self.push(at + TICK_PERIOD, DriverEvent::Tick);
                }
                DriverEvent::Publish | DriverEvent::Tick => {}
            }
        }
        self.result()
    }

    fn push(&mut self, at: Duration, event: DriverEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn dispatch(&mut self, request: usize) {
        let entry = self.scenario.arrivals[request].entry;
        let now = self.base + self.now;
        let Some(endpoint) = self.policy.choose(entry, now, &mut self.random) else {
            return;
        };
        self.tries[request] += 1;
        self.policy.started(entry, endpoint, now);
        let call = self.calls.len();
        self.calls.push(DriverCall {
            request,
            endpoint,
            started: self.now,
            is_open: true,
            is_silent: false,
        });
        let queue = &mut self.queues[endpoint];
        let fate = self.scenario.fate(endpoint, queue.count, self.now);
        queue.count += 1;
        match fate {
            CallFate::Refuse => self.fail(call, FailureSignal::Refused),
            CallFate::Fail => self.fail(call, FailureSignal::NoAnswer),
            CallFate::Run(_) | CallFate::Silence => {
                queue.waiting.push_back(call);
                self.push(self.now + CALLER_LIMIT, DriverEvent::GiveUp { call });
                self.start_waiting(endpoint);
            }
        }
    }

    /// Starts as many waiting calls as the endpoint has places.
    fn start_waiting(&mut self, endpoint: usize) {
        while self.queues[endpoint].running < CAPACITY {
            let Some(call) = self.queues[endpoint].waiting.pop_front() else {
                return;
            };
            if !self.calls[call].is_open {
                continue;
            }
            self.queues[endpoint].running += 1;
            let work = self.scenario.arrivals[self.calls[call].request].work;
            match self.scenario.fate(endpoint, 0, self.now) {
                CallFate::Run(factor) => {
                    let end = self.now + work.mul_f64(factor);
                    self.push(end, DriverEvent::Complete { call });
                }
                CallFate::Refuse | CallFate::Fail | CallFate::Silence => {
                    self.calls[call].is_silent = true;
                }
            }
        }
    }

    fn complete(&mut self, call: usize) {
        let endpoint = self.calls[call].endpoint;
        self.queues[endpoint].running -= 1;
        let request = self.calls[call].request;
        if self.end(call, CallResult::Answered) {
            let arrived = self.scenario.arrivals[request].at;
            self.answers[request] = Some(self.now.saturating_sub(arrived));
        }
        self.start_waiting(endpoint);
    }

    fn give_up(&mut self, call: usize) {
        self.end(call, CallResult::Failed(FailureSignal::NoAnswer));
        if self.calls[call].is_silent {
            let endpoint = self.calls[call].endpoint;
            self.queues[endpoint].running -= 1;
            self.start_waiting(endpoint);
        }
    }

    fn fail(&mut self, call: usize, signal: FailureSignal) {
        self.end(call, CallResult::Failed(signal));
        let request = self.calls[call].request;
        if self.tries[request] < TRIES {
            self.dispatch(request);
        }
    }

    fn end(&mut self, call: usize, result: CallResult) -> bool {
        let ended = self.calls[call];
        if !ended.is_open {
            return false;
        }
        self.calls[call].is_open = false;
        let entry = self.scenario.arrivals[ended.request].entry;
        let started = self.base + ended.started;
        let now = self.base + self.now;
        self.policy
            .finished(entry, ended.endpoint, started, result, now);
        true
    }

    fn publish(&mut self) {
        let sessions = self
            .queues
            .iter()
            .map(|queue| queue.running + u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX))
            .collect();
        let report = self.reports.len();
        self.reports.push((self.now, sessions));
        let lag = self.scenario.lag;
        if self.scenario.is_reporting(self.now) {
            self.push(self.now + lag, DriverEvent::Deliver { report });
        }
        let period = if lag.is_zero() {
            FRESH_PERIOD
        } else {
            REPORT_PERIOD
        };
        self.push(self.now + period, DriverEvent::Publish);
    }

    fn deliver(&mut self, report: usize) {
        let (measured, sessions) = &self.reports[report];
        let measured = self.base + *measured;
        for (endpoint, sessions) in sessions.iter().enumerate() {
            self.policy.reported(endpoint, *sessions, measured);
        }
    }

    fn result(&self) -> DriverResult {
        let mut times: Vec<Duration> = self
            .answers
            .iter()
            .map(|answer| answer.unwrap_or(CALLER_LIMIT))
            .collect();
        times.sort_unstable();
        let count = times.len() as f64;
        let at = |hundredths: usize| {
            let place = times.len() * hundredths / 100;
            times[place].as_secs_f64() * 1000.0
        };
        let late = times.iter().filter(|time| **time > DEADLINE).count();
        let failed = self
            .answers
            .iter()
            .filter(|answer| answer.is_none())
            .count();
        DriverResult {
            p50: at(50),
            p95: at(95),
            p99: at(99),
            late: late as f64 / count,
            failed: failed as f64 / count,
        }
    }
}
