//! Drives the admission queue, or its baseline, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use dandeliondeal_limit::{AdmissionAction, AdmissionQueue, AdmissionSettings, QueuedRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Requests that run at once.
const PLACES: u32 = 64;
const MEAN_SERVICE: Duration = Duration::from_millis(200);
/// A caller's wait.
const DEADLINE: Duration = Duration::from_secs(2);
/// Ticks of the queue that tell waiting requests of their passed deadline.
const TICK: Duration = Duration::from_millis(50);

/// In which order waiting requests are served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// By the admission queue.
    Fair,
    /// In order of arrival, all of them.
    Arrival,
}

impl QueueOrder {
    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fair => "fair",
            Self::Arrival => "arrival",
        }
    }
}

/// What came out.
#[derive(Clone, Copy, Debug)]
pub struct OverloadResult {
    /// Answers within their deadline as a share of the capacity.
    pub goodput: f64,
    /// Share of requests that were refused.
    pub refused: f64,
    /// 95th of 100 of the first organisation's times in milliseconds, refused ones left out.
    pub first_p95: f64,
    /// Requests dispatched after their deadline.
    pub late_dispatches: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum QueueEvent {
    Arrive(usize),
    Finish(usize),
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct OverloadArrival {
    at: Duration,
    organisation: usize,
    work: Duration,
}

/// One run.
#[derive(Debug)]
pub struct OverloadDriver {
    arrivals: Vec<OverloadArrival>,
    length: Duration,
    order: QueueOrder,
    base: Instant,
    now: Duration,
    fair: AdmissionQueue,
    fifo: VecDeque<usize>,
    running: u32,
    events: BinaryHeap<Reverse<(Duration, QueueEvent)>>,
    answers: Vec<Option<Duration>>,
    refused: u64,
    late_dispatches: u64,
}

impl OverloadDriver {
    /// Prepares a run in which each organisation offers its load, as a share of the capacity.
    pub fn new(loads: &[f64], length: Duration, seed: u64, order: QueueOrder) -> Self {
        let base = Instant::now();
        let arrivals = record(loads, length, seed);
        let settings = AdmissionSettings {
            max_running: PLACES,
            ..AdmissionSettings::default()
        };
        let mut events: BinaryHeap<_> = arrivals
            .iter()
            .enumerate()
            .map(|(request, arrival)| Reverse((arrival.at, QueueEvent::Arrive(request))))
            .collect();
        events.push(Reverse((TICK, QueueEvent::Tick)));
        Self {
            answers: vec![None; arrivals.len()],
            arrivals,
            length,
            order,
            base,
            now: Duration::ZERO,
            fair: AdmissionQueue::new(settings, base),
            fifo: VecDeque::new(),
            running: 0,
            events,
            refused: 0,
            late_dispatches: 0,
        }
    }

    /// Runs to the end of the last request.
    pub fn run(mut self) -> OverloadResult {
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now = at;
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
            self.fifo.push_back(request);
            return self.serve();
        }
        let queued = QueuedRequest {
            organisation: format!("organisation-{}", arrival.organisation).into(),
            weight: 1,
            cost: 1.0,
            priority: 0,
            deadline: self.base + arrival.at + DEADLINE,
        };
        let now = self.base + self.now;
        let actions = self.fair.submit(request as u64, queued, now);
        self.apply(actions);
    }

    fn finish(&mut self, request: usize) {
        self.answers[request] = Some(self.now.saturating_sub(self.arrivals[request].at));
        if self.order == QueueOrder::Arrival {
            self.running -= 1;
            return self.serve();
        }
        let now = self.base + self.now;
        let actions = self.fair.finish(request as u64, None, now);
        self.apply(actions);
    }

    fn tick(&mut self) {
        let actions = self.fair.tick(self.base + self.now);
        self.apply(actions);
        if self.now < self.length {
            let next = self.now + TICK;
            self.events.push(Reverse((next, QueueEvent::Tick)));
        }
    }

    fn serve(&mut self) {
        while self.running < PLACES
            && let Some(request) = self.fifo.pop_front()
        {
            self.running += 1;
            self.dispatch(request);
        }
    }

    fn apply(&mut self, actions: Vec<AdmissionAction>) {
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
        self.late_dispatches += u64::from(self.now > arrival.at + DEADLINE);
        let end = self.now + arrival.work;
        self.events
            .push(Reverse((end, QueueEvent::Finish(request))));
    }

    fn result(&self) -> OverloadResult {
        let in_time = self.answers.iter().flatten();
        let good = in_time.filter(|time| **time <= DEADLINE).count();
        let capacity = f64::from(PLACES) / MEAN_SERVICE.as_secs_f64() * self.length.as_secs_f64();
        let mut first: Vec<Duration> = self
            .arrivals
            .iter()
            .zip(&self.answers)
            .filter(|(arrival, _)| arrival.organisation == 0)
            .filter_map(|(_, answer)| *answer)
            .collect();
        first.sort_unstable();
        let p95 = first.get(first.len() * 95 / 100);
        OverloadResult {
            goodput: good as f64 / capacity,
            refused: self.refused as f64 / self.arrivals.len() as f64,
            first_p95: p95.map_or(0.0, Duration::as_secs_f64) * 1000.0,
            late_dispatches: self.late_dispatches,
        }
    }
}

fn record(loads: &[f64], length: Duration, seed: u64) -> Vec<OverloadArrival> {
    let capacity = f64::from(PLACES) / MEAN_SERVICE.as_secs_f64();
    let mut arrivals = Vec::new();
    for (organisation, load) in loads.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed.wrapping_add(organisation as u64));
        let mut exponential = |mean: f64| {
            let share: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
            Duration::from_secs_f64(-share.ln() * mean)
        };
        let mut at = exponential(1.0 / (load * capacity));
        while at < length {
            let work = exponential(MEAN_SERVICE.as_secs_f64());
            arrivals.push(OverloadArrival {
                at,
                organisation,
                work,
            });
            at += exponential(1.0 / (load * capacity));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}
