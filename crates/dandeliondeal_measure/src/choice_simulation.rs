//! Simulates one policy in a scenario, event by event in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use dandeliondeal_balance::{CallResult, FailureSignal};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use crate::choice_policy::ChoicePolicy;
use crate::choice_scenario::{CallOutcome, ChoiceScenario, DEADLINE, ENDPOINT_CAPACITY};

/// Interval between load reports of an endpoint when reports are delayed.
const DELAYED_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between load reports of an endpoint when reports arrive at once.
const PROMPT_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between ticks of the policy.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a caller cancels its call.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum attempts of a request that endpoints refuse or fail.
const MAX_ATTEMPTS: u32 = 3;

/// Answer times and failures of one simulation run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ChoiceResult {
    /// Median time to the answer in milliseconds.
    ///
    /// In all percentiles, a request without an answer counts with the caller's time limit.
    pub p50: f64,
    /// 95th percentile of the time to the answer in milliseconds.
    pub p95: f64,
    /// 99th percentile of the time to the answer in milliseconds.
    pub p99: f64,
    /// Share of requests that were answered after the deadline or not at all.
    pub late: f64,
    /// Share of requests that got no answer.
    pub failed: f64,
}

/// An event at a point of virtual time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimulationEvent {
    /// The request with this index arrives.
    Arrive(usize),
    /// An endpoint finishes a call.
    Complete { call: usize },
    /// The caller's time limit for a call ends.
    GiveUp { call: usize },
    /// All endpoints send a load report.
    Publish,
    /// The load reports of one time reach the entry instances.
    Deliver { report: usize },
    /// The policy gets its periodic tick.
    Tick,
}

/// One attempt of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
struct SimulatedCall {
    request: usize,
    endpoint: usize,
    started: Duration,
    /// Whether the call has neither been answered nor failed.
    is_open: bool,
    /// Whether the call occupies a slot of the endpoint until the caller cancels it.
    is_hung: bool,
}

/// Calls at one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointQueue {
    running: u32,
    waiting: VecDeque<usize>,
    /// Number of calls that the endpoint has received.
    received: u64,
}

/// A discrete-event simulation of one policy in one scenario.
#[derive(Debug)]
pub struct ChoiceSimulation<'scenario, Policy> {
    scenario: &'scenario ChoiceScenario,
    policy: Policy,
    random: StdRng,
    /// Start of the virtual time.
    base: Instant,
    now: Duration,
    /// Pending events by time; the sequence number orders events of the same time.
    events: BinaryHeap<Reverse<(Duration, usize, SimulationEvent)>>,
    sequence: usize,
    queues: Vec<EndpointQueue>,
    calls: Vec<SimulatedCall>,
    attempts: Vec<u32>,
    /// Time of each load report and the calls at each endpoint then.
    reports: Vec<(Duration, Vec<u32>)>,
    /// Time to the answer of each request.
    answers: Vec<Option<Duration>>,
}

impl<'scenario, Policy> ChoiceSimulation<'scenario, Policy>
where
    Policy: ChoicePolicy,
{
    /// Creates a simulation that has run no events.
    pub fn new(scenario: &'scenario ChoiceScenario, policy: Policy, seed: u64) -> Self {
        let requests = scenario.arrivals.len();
        let mut simulation = Self {
            scenario,
            policy,
            random: StdRng::seed_from_u64(seed.wrapping_add(1)),
            // The monitors are created at the current time. The simulation starts a minute later,
            // when their initial slow start has ended.
            base: Instant::now() + Duration::from_mins(1),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            queues: vec![EndpointQueue::default(); scenario.speeds.len()],
            calls: Vec::with_capacity(requests),
            attempts: vec![0; requests],
            reports: Vec::new(),
            answers: vec![None; requests],
        };
        simulation.push(Duration::ZERO, SimulationEvent::Tick);
        simulation.push(Duration::ZERO, SimulationEvent::Publish);
        for (request, arrival) in scenario.arrivals.iter().enumerate() {
            simulation.push(arrival.time, SimulationEvent::Arrive(request));
        }
        simulation
    }

    /// Runs all events and returns the figures.
    pub fn run(mut self) -> ChoiceResult {
        let end = self
            .scenario
            .arrivals
            .last()
            .map_or(Duration::ZERO, |last| last.time);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                SimulationEvent::Arrive(request) => self.dispatch(request),
                SimulationEvent::Complete { call } => self.complete(call),
                SimulationEvent::GiveUp { call } => self.give_up(call),
                SimulationEvent::Publish if time <= end => self.publish(),
                SimulationEvent::Deliver { report } => self.deliver(report),
                SimulationEvent::Tick if time <= end => {
                    self.policy.tick(self.base + time);
                    self.push(time + TICK_INTERVAL, SimulationEvent::Tick);
                }
                SimulationEvent::Publish | SimulationEvent::Tick => {}
            }
        }
        self.result()
    }

    fn push(&mut self, time: Duration, event: SimulationEvent) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn dispatch(&mut self, request: usize) {
        let entry = self.scenario.arrivals[request].entry;
        let now = self.base + self.now;
        let Some(endpoint) = self.policy.choose(entry, now, &mut self.random) else {
            return;
        };
        self.attempts[request] += 1;
        self.policy.call_started(entry, endpoint, now);
        let call = self.calls.len();
        self.calls.push(SimulatedCall {
            request,
            endpoint,
            started: self.now,
            is_open: true,
            is_hung: false,
        });
        let queue = &mut self.queues[endpoint];
        let outcome = self
            .scenario
            .call_outcome(endpoint, queue.received, self.now);
        queue.received += 1;
        match outcome {
            CallOutcome::Refuse => self.fail(call, FailureSignal::Refused),
            CallOutcome::Fail => self.fail(call, FailureSignal::NoAnswer),
            CallOutcome::Run(_) | CallOutcome::Hang => {
                queue.waiting.push_back(call);
                self.push(self.now + CALLER_TIMEOUT, SimulationEvent::GiveUp { call });
                self.start_waiting(endpoint);
            }
        }
    }

    /// Starts waiting calls until all slots of the endpoint are occupied.
    fn start_waiting(&mut self, endpoint: usize) {
        while self.queues[endpoint].running < ENDPOINT_CAPACITY {
            let Some(call) = self.queues[endpoint].waiting.pop_front() else {
                return;
            };
            if !self.calls[call].is_open {
                continue;
            }
            self.queues[endpoint].running += 1;
            let service_time = self.scenario.arrivals[self.calls[call].request].service_time;
            match self.scenario.call_outcome(endpoint, 0, self.now) {
                CallOutcome::Run(factor) => {
                    let end = self.now + service_time.mul_f64(factor);
                    self.push(end, SimulationEvent::Complete { call });
                }
                CallOutcome::Refuse | CallOutcome::Fail | CallOutcome::Hang => {
                    self.calls[call].is_hung = true;
                }
            }
        }
    }

    fn complete(&mut self, call: usize) {
        let endpoint = self.calls[call].endpoint;
        self.queues[endpoint].running -= 1;
        let request = self.calls[call].request;
        if self.close_call(call, CallResult::Answered) {
            let arrival_time = self.scenario.arrivals[request].time;
            self.answers[request] = Some(self.now.saturating_sub(arrival_time));
        }
        self.start_waiting(endpoint);
    }

    fn give_up(&mut self, call: usize) {
        self.close_call(call, CallResult::Failed(FailureSignal::NoAnswer));
        if self.calls[call].is_hung {
            let endpoint = self.calls[call].endpoint;
            self.queues[endpoint].running -= 1;
            self.start_waiting(endpoint);
        }
    }

    fn fail(&mut self, call: usize, signal: FailureSignal) {
        self.close_call(call, CallResult::Failed(signal));
        let request = self.calls[call].request;
        if self.attempts[request] < MAX_ATTEMPTS {
            self.dispatch(request);
        }
    }

    /// Closes a call and reports its result to the policy, unless it is already closed.
    ///
    /// Returns whether the call was open.
    fn close_call(&mut self, call: usize, result: CallResult) -> bool {
        let closed = self.calls[call];
        if !closed.is_open {
            return false;
        }
        self.calls[call].is_open = false;
        let entry = self.scenario.arrivals[closed.request].entry;
        let started = self.base + closed.started;
        let now = self.base + self.now;
        self.policy
            .call_finished(entry, closed.endpoint, started, result, now);
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
            self.push(self.now + lag, SimulationEvent::Deliver { report });
        }
        let interval = if lag.is_zero() {
            PROMPT_REPORT_INTERVAL
        } else {
            DELAYED_REPORT_INTERVAL
        };
        self.push(self.now + interval, SimulationEvent::Publish);
    }

    fn deliver(&mut self, report: usize) {
        let (measured_at, sessions) = &self.reports[report];
        let measured_at = self.base + *measured_at;
        for (endpoint, sessions) in sessions.iter().enumerate() {
            self.policy
                .report_received(endpoint, *sessions, measured_at);
        }
    }

    fn result(&self) -> ChoiceResult {
        let mut times: Vec<Duration> = self
            .answers
            .iter()
            .map(|answer| answer.unwrap_or(CALLER_TIMEOUT))
            .collect();
        times.sort_unstable();
        let count = times.len() as f64;
        let percentile = |percent: usize| {
            let index = times.len() * percent / 100;
            times[index].as_secs_f64() * 1000.0
        };
        let late = times.iter().filter(|time| **time > DEADLINE).count();
        let failed = self
            .answers
            .iter()
            .filter(|answer| answer.is_none())
            .count();
        ChoiceResult {
            p50: percentile(50),
            p95: percentile(95),
            p99: percentile(99),
            late: late as f64 / count,
            failed: failed as f64 / count,
        }
    }
}
