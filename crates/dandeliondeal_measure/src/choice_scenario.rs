//! Recorded arrivals, service times and faults of one comparison.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::choice::ChoiceRun;

/// Mean service time of an endpoint of usual speed.
pub const MEAN_SERVICE: Duration = Duration::from_millis(400);
/// Calls that an endpoint runs at once.
pub const CAPACITY: u32 = 4;
/// An answer after this is late.
pub const DEADLINE: Duration = Duration::from_secs(2);
/// Times of usual speed of the accelerator kinds of unequal endpoints.
const KIND_SPEEDS: [f64; 7] = [0.5, 0.7, 0.9, 1.0, 1.2, 1.5, 2.0];
/// Slowdown of the endpoint that turns slow.
const SLOWDOWN: f64 = 8.0;
/// Arrivals in a surge as a multiple of the usual.
const SURGE: f64 = 2.0;
/// Slowdown of an endpoint that has just come back.
const COLD_SLOWDOWN: f64 = 4.0;
/// Time after which an endpoint that came back has its usual speed.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Whether endpoints differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointMix {
    /// All of one kind.
    Equal,
    /// Seven kinds of different speed.
    Unequal,
}

/// What goes wrong in the middle third of the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointFault {
    /// Nothing.
    None,
    /// One endpoint is slow.
    Slow,
    /// One endpoint takes calls and never answers.
    Silent,
    /// One endpoint fails every tenth call, in the whole run.
    TenthCall,
    /// Half the endpoints refuse connections, then come back cold.
    HalfGone,
    /// Twice the usual requests arrive in a sixth of the run.
    Surge,
    /// No report arrives any more, in the whole run after the first third.
    FrozenReports,
}

/// How an endpoint treats a call that starts now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallFate {
    /// It runs and takes this many times its work.
    Run(f64),
    /// It is refused at once.
    Refuse,
    /// It fails at once after being taken.
    Fail,
    /// No answer ever comes.
    Silence,
}

/// One recorded request.
#[derive(Clone, Copy, Debug)]
pub struct RecordedArrival {
    /// When it arrives.
    pub at: Duration,
    /// The entry instance that gets it.
    pub entry: usize,
    /// Service time at an endpoint of usual speed.
    pub work: Duration,
}

/// Arrivals, endpoints and faults, the same for every policy.
#[derive(Clone, Debug)]
pub struct ChoiceScenario {
    /// Requests in order of time.
    pub arrivals: Vec<RecordedArrival>,
    /// Speed of each endpoint, 1 the usual.
    pub speeds: Vec<f64>,
    /// Lag of load reports.
    pub lag: Duration,
    fault: EndpointFault,
    length: Duration,
}

impl ChoiceScenario {
    /// Records the arrivals of a run.
    pub fn new(run: &ChoiceRun, mix: EndpointMix, fault: EndpointFault, lag: Duration) -> Self {
        let speeds: Vec<f64> = (0..run.endpoints)
            .map(|endpoint| match mix {
                EndpointMix::Equal => 1.0,
                EndpointMix::Unequal => KIND_SPEEDS[endpoint % KIND_SPEEDS.len()],
            })
            .collect();
        // Half the endpoints cannot carry the usual load; the rest of the fault is the same.
        let load = match fault {
            EndpointFault::HalfGone => run.load / 2.0,
            _ => run.load,
        };
        let places = speeds.iter().sum::<f64>() * f64::from(CAPACITY);
        let rate = load * places / MEAN_SERVICE.as_secs_f64();
        Self {
            arrivals: record(run, rate, fault),
            speeds,
            lag,
            fault,
            length: run.length,
        }
    }

    /// What happens to a call that endpoint `endpoint` starts at `now` as its `count`-th.
    pub fn fate(&self, endpoint: usize, count: u64, now: Duration) -> CallFate {
        let start = self.length / 3;
        let end = start * 2;
        let is_faulty = (start..end).contains(&now);
        let usual = 1.0 / self.speeds[endpoint];
        let is_half = endpoint < self.speeds.len() / 2;
        match self.fault {
            EndpointFault::Slow if endpoint == 0 && is_faulty => CallFate::Run(usual * SLOWDOWN),
            EndpointFault::Silent if endpoint == 0 && is_faulty => CallFate::Silence,
            EndpointFault::TenthCall if endpoint == 0 && count % 10 == 9 => CallFate::Fail,
            EndpointFault::HalfGone if is_half && is_faulty => CallFate::Refuse,
            EndpointFault::HalfGone if is_half && now >= end && now < end + COLD_TIME => {
                CallFate::Run(usual * COLD_SLOWDOWN)
            }
            _ => CallFate::Run(usual),
        }
    }

    /// Whether load reports arrive at `now`.
    pub fn is_reporting(&self, now: Duration) -> bool {
        self.fault != EndpointFault::FrozenReports || now < self.length / 3
    }
}

fn record(run: &ChoiceRun, rate: f64, fault: EndpointFault) -> Vec<RecordedArrival> {
    let mut random = StdRng::seed_from_u64(run.seed);
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    while at < run.length {
        let is_surge = fault == EndpointFault::Surge && at >= run.length / 3 && at < run.length / 2;
        let factor = if is_surge { SURGE } else { 1.0 };
        at += exponential(1.0 / (rate * factor), &mut random);
        arrivals.push(RecordedArrival {
            at,
            entry: random.random_range(0..run.entries),
            work: exponential(MEAN_SERVICE.as_secs_f64(), &mut random),
        });
    }
    arrivals
}

fn exponential(mean: f64, random: &mut StdRng) -> Duration {
    let share: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-share.ln() * mean)
}
