//! Simulates the admission queue, or its baseline, event by event in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use dandeliondeal_limit::{AdmissionAction, AdmissionQueue, AdmissionSettings, QueuedRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of requests that run concurrently.
const CONCURRENCY: u32 = 64;
/// Mean service time of a request.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(200);
/// Time after its arrival by which a request has to be answered.
const DEADLINE: Duration = Duration::from_secs(2);
/// Interval between ticks of the admission queue, which refuse requests past their deadline.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Order in which waiting requests are served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// The fair order of the admission queue.
    Fair,
    /// The order of arrival, without refusing any request.
    Arrival,
}

impl QueueOrder {
    /// Returns the name of the order in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fair => "fair",
            Self::Arrival => "arrival",
        }
    }
}

/// Figures of one simulation run.
#[derive(Clone, Copy, Debug)]
pub struct OverloadResult {
    /// Answers within their deadline as a share of the capacity.
    pub goodput: f64,
    /// Share of requests that were refused.
    pub refused: f64,
    /// 95th percentile of the first organisation's times to the answer in milliseconds.
    ///
    /// Refused requests are left out.
    pub first_organisation_p95: f64,
    /// Number of requests that were dispatched after their deadline.
    pub late_dispatches: u64,
}

/// An event at a point of virtual time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum QueueEvent {
    /// The request with this index arrives.
    Arrive(usize),
    /// The request with this index has been answered.
    Finish(usize),
    /// The admission queue gets its periodic tick.
    Tick,
}

/// The arrival of one request.
#[derive(Clone, Copy, Debug)]
struct OverloadArrival {
    time: Duration,
    organisation: usize,
    service_time: Duration,
}

/// A discrete-event simulation of one order of service.
#[derive(Debug)]
pub struct OverloadSimulation {
    arrivals: Vec<OverloadArrival>,
    duration: Duration,
    order: QueueOrder,
    /// Start of the virtual time.
    base: Instant,
    now: Duration,
    /// Waiting requests in the fair order.
    admission_queue: AdmissionQueue,
    /// Waiting requests in order of arrival.
    fifo_queue: VecDeque<usize>,
    /// Number of running requests; counted only with [`QueueOrder::Arrival`].
    running: u32,
    events: BinaryHeap<Reverse<(Duration, QueueEvent)>>,
    /// Time to the answer of each request.
    answers: Vec<Option<Duration>>,
    refused: u64,
    late_dispatches: u64,
}

impl OverloadSimulation {
    /// Creates a simulation in which each organisation offers its load, a share of the capacity.
    pub fn new(loads: &[f64], duration: Duration, seed: u64, order: QueueOrder) -> Self {
        let base = Instant::now();
        let arrivals = generate_arrivals(loads, duration, seed);
        let settings = AdmissionSettings {
            max_running: CONCURRENCY,
            ..AdmissionSettings::default()
        };
        let mut events: BinaryHeap<_> = arrivals
            .iter()
            .enumerate()
            .map(|(request, arrival)| Reverse((arrival.time, QueueEvent::Arrive(request))))
            .collect();
        events.push(Reverse((TICK_INTERVAL, QueueEvent::Tick)));
        Self {
            answers: vec![None; arrivals.len()],
            arrivals,
            duration,
            order,
            base,
            now: Duration::ZERO,
            admission_queue: AdmissionQueue::new(settings, base),
            fifo_queue: VecDeque::new(),
            running: 0,
            events,
            refused: 0,
            late_dispatches: 0,
        }
    }

    /// Runs all events and returns the figures.
    pub fn run(mut self) -> OverloadResult {
        while let Some(Reverse((time, event))) = self.events.pop() {
            self.now = time;
            match event {
                QueueEvent::Arrive(request) => self.arrive(request),
                QueueEvent::Finish(request) => self.finish(request),
                QueueEvent::Tick => self.tick(),
            }
        }
        self.result()
    }

    fn arrive(&mut self, request: usize) {
        let arrival = self.arrivals[request];
        if self.order == QueueOrder::Arrival {
            self.fifo_queue.push_back(request);
            return self.dispatch_waiting();
        }
        let queued = QueuedRequest {
            organisation: format!("organisation-{}", arrival.organisation).into(),
            weight: 1,
            cost: 1.0,
            priority: 0,
            deadline: self.base + arrival.time + DEADLINE,
        };
        let now = self.base + self.now;
        let actions = self.admission_queue.submit(request as u64, queued, now);
        self.apply_actions(actions);
    }

    fn finish(&mut self, request: usize) {
        self.answers[request] = Some(self.now.saturating_sub(self.arrivals[request].time));
        if self.order == QueueOrder::Arrival {
            self.running -= 1;
            return self.dispatch_waiting();
        }
        let now = self.base + self.now;
        let actions = self.admission_queue.finish(request as u64, None, now);
        self.apply_actions(actions);
    }

    fn tick(&mut self) {
        let actions = self.admission_queue.tick(self.base + self.now);
        self.apply_actions(actions);
        if self.now < self.duration {
            let next = self.now + TICK_INTERVAL;
            self.events.push(Reverse((next, QueueEvent::Tick)));
        }
    }

    /// Dispatches waiting requests in order of arrival up to the concurrency limit.
    fn dispatch_waiting(&mut self) {
        while self.running < CONCURRENCY
            && let Some(request) = self.fifo_queue.pop_front()
        {
            self.running += 1;
            self.dispatch(request);
        }
    }

    fn apply_actions(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Dispatch(ticket) => {
                    self.dispatch(usize::try_from(ticket).unwrap_or(usize::MAX));
                }
                AdmissionAction::Refuse { .. } => self.refused += 1,
            }
        }
    }

    fn dispatch(&mut self, request: usize) {
        let arrival = self.arrivals[request];
        self.late_dispatches += u64::from(self.now > arrival.time + DEADLINE);
        let end = self.now + arrival.service_time;
        self.events
            .push(Reverse((end, QueueEvent::Finish(request))));
    }

    fn result(&self) -> OverloadResult {
        let times = self.answers.iter().flatten();
        let answered_in_time = times.filter(|time| **time <= DEADLINE).count();
        let capacity =
            f64::from(CONCURRENCY) / MEAN_SERVICE_TIME.as_secs_f64() * self.duration.as_secs_f64();
        let mut first_times: Vec<Duration> = self
            .arrivals
            .iter()
            .zip(&self.answers)
            .filter(|(arrival, _)| arrival.organisation == 0)
            .filter_map(|(_, answer)| *answer)
            .collect();
        first_times.sort_unstable();
        let p95 = first_times.get(first_times.len() * 95 / 100);
        OverloadResult {
            goodput: answered_in_time as f64 / capacity,
            refused: self.refused as f64 / self.arrivals.len() as f64,
            first_organisation_p95: p95.map_or(0.0, Duration::as_secs_f64) * 1000.0,
            late_dispatches: self.late_dispatches,
        }
    }
}

/// Generates the arrivals of all organisations, sorted by time.
fn generate_arrivals(loads: &[f64], duration: Duration, seed: u64) -> Vec<OverloadArrival> {
    let capacity = f64::from(CONCURRENCY) / MEAN_SERVICE_TIME.as_secs_f64();
    let mut arrivals = Vec::new();
    for (organisation, load) in loads.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed.wrapping_add(organisation as u64));
        let mut sample_exponential = |mean: f64| {
            let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
            Duration::from_secs_f64(-uniform.ln() * mean)
        };
        let mut time = sample_exponential(1.0 / (load * capacity));
        while time < duration {
            let service_time = sample_exponential(MEAN_SERVICE_TIME.as_secs_f64());
            arrivals.push(OverloadArrival {
                time,
                organisation,
                service_time,
            });
            time += sample_exponential(1.0 / (load * capacity));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.time);
    arrivals
}
