//! Arrivals, service times and faults of one comparison, generated from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::choice::ChoiceRun;

/// Mean service time of a request at an endpoint of normal speed.
pub const MEAN_SERVICE_TIME: Duration = Duration::from_millis(400);
/// Number of calls that an endpoint runs concurrently.
pub const ENDPOINT_CAPACITY: u32 = 4;
/// Time after which an answer counts as late.
pub const DEADLINE: Duration = Duration::from_secs(2);
/// Speeds of the accelerator kinds of unequal endpoints, as multiples of the normal speed.
const KIND_SPEEDS: [f64; 7] = [0.5, 0.7, 0.9, 1.0, 1.2, 1.5, 2.0];
/// Factor on the service times of the endpoint that becomes slow.
const SLOWDOWN_FACTOR: f64 = 8.0;
/// Factor on the arrival rate during a surge.
const SURGE_FACTOR: f64 = 2.0;
/// Factor on the service times of an endpoint that has just recovered.
const COLD_SLOWDOWN_FACTOR: f64 = 4.0;
/// Time after which a recovered endpoint has its normal speed again.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Whether endpoints differ in speed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointMix {
    /// All endpoints have the same speed.
    Equal,
    /// Endpoints are of seven accelerator kinds with different speeds.
    Unequal,
}

/// The fault injected into a run, in its middle third unless noted otherwise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointFault {
    /// No fault.
    None,
    /// One endpoint is slow.
    Slow,
    /// One endpoint accepts calls and never answers.
    Silent,
    /// One endpoint fails every tenth call, during the whole run.
    TenthCall,
    /// Half of the endpoints refuse connections, then recover and are slow at first.
    HalfRefusing,
    /// The arrival rate doubles during the sixth of the run that follows its first third.
    Surge,
    /// No load report arrives after the first third of the run.
    FrozenReports,
}

/// What happens to a call at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// The call runs, and takes its service time multiplied by this factor.
    Run(f64),
    /// The endpoint refuses the call at once.
    Refuse,
    /// The endpoint accepts the call, which then fails at once.
    Fail,
    /// The endpoint accepts the call and never answers.
    Hang,
}

/// The arrival of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival {
    /// Virtual time at which the request arrives.
    pub time: Duration,
    /// Index of the entry instance that receives the request.
    pub entry: usize,
    /// Service time at an endpoint of normal speed.
    pub service_time: Duration,
}

/// Arrivals, endpoints and a fault, which are the same for every policy.
#[derive(Clone, Debug)]
pub struct ChoiceScenario {
    /// Arrivals of all requests, sorted by time.
    pub arrivals: Vec<RequestArrival>,
    /// Speed of each endpoint as a multiple of the normal speed.
    pub speeds: Vec<f64>,
    /// Delay of load reports.
    pub lag: Duration,
    fault: EndpointFault,
    duration: Duration,
}

impl ChoiceScenario {
    /// Generates the arrivals and endpoints of a run.
    pub fn new(run: &ChoiceRun, mix: EndpointMix, fault: EndpointFault, lag: Duration) -> Self {
        let speeds: Vec<f64> = (0..run.endpoints)
            .map(|endpoint| match mix {
                EndpointMix::Equal => 1.0,
                EndpointMix::Unequal => KIND_SPEEDS[endpoint % KIND_SPEEDS.len()],
            })
            .collect();
        // Half of the endpoints cannot carry the full load, so the offered load is halved.
        let load = match fault {
            EndpointFault::HalfRefusing => run.load / 2.0,
            _ => run.load,
        };
        let total_capacity = speeds.iter().sum::<f64>() * f64::from(ENDPOINT_CAPACITY);
        let rate = load * total_capacity / MEAN_SERVICE_TIME.as_secs_f64();
        Self {
            arrivals: generate_arrivals(run, rate, fault),
            speeds,
            lag,
            fault,
            duration: run.duration,
        }
    }

    /// Returns what happens at time `now` to the call with index `call_index` at its endpoint.
    pub fn call_outcome(&self, endpoint: usize, call_index: u64, now: Duration) -> CallOutcome {
        let start = self.duration / 3;
        let end = start * 2;
        let is_faulty = (start..end).contains(&now);
        let normal_factor = 1.0 / self.speeds[endpoint];
        let is_in_first_half = endpoint < self.speeds.len() / 2;
        match self.fault {
            EndpointFault::Slow if endpoint == 0 && is_faulty => {
                CallOutcome::Run(normal_factor * SLOWDOWN_FACTOR)
            }
            EndpointFault::Silent if endpoint == 0 && is_faulty => CallOutcome::Hang,
            EndpointFault::TenthCall if endpoint == 0 && call_index % 10 == 9 => CallOutcome::Fail,
            EndpointFault::HalfRefusing if is_in_first_half && is_faulty => CallOutcome::Refuse,
            EndpointFault::HalfRefusing
                if is_in_first_half && now >= end && now < end + COLD_TIME =>
            {
                CallOutcome::Run(normal_factor * COLD_SLOWDOWN_FACTOR)
            }
            _ => CallOutcome::Run(normal_factor),
        }
    }

    /// Returns whether load reports that are sent at `now` arrive.
    pub fn is_reporting(&self, now: Duration) -> bool {
        self.fault != EndpointFault::FrozenReports || now < self.duration / 3
    }
}

fn generate_arrivals(run: &ChoiceRun, rate: f64, fault: EndpointFault) -> Vec<RequestArrival> {
    let mut random = StdRng::seed_from_u64(run.seed);
    let mut arrivals = Vec::new();
    let mut time = Duration::ZERO;
    while time < run.duration {
        let is_surge =
            fault == EndpointFault::Surge && time >= run.duration / 3 && time < run.duration / 2;
        let factor = if is_surge { SURGE_FACTOR } else { 1.0 };
        time += sample_exponential(1.0 / (rate * factor), &mut random);
        arrivals.push(RequestArrival {
            time,
            entry: random.random_range(0..run.entries),
            service_time: sample_exponential(MEAN_SERVICE_TIME.as_secs_f64(), &mut random),
        });
    }
    arrivals
}

/// Draws an exponentially distributed duration with a mean in seconds.
fn sample_exponential(mean: f64, random: &mut StdRng) -> Duration {
    let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean)
}
