//! The endpoint selection policies that are compared.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_balance::{
    CallResult, EndpointMonitor, EndpointProfile, LoadReport, MonitorSettings,
};
use dandeliondeal_chart::ChartError;
use dandeliondeal_types::EndpointId;
use rand::Rng;
use rand::rngs::StdRng;

use crate::choice_scenario::{ChoiceScenario, ENDPOINT_CAPACITY, MEAN_SERVICE_TIME};

/// Name of the group that all endpoints belong to.
const ENDPOINT_GROUP: &str = "draft";

/// A policy that chooses endpoints, with the state of all entry instances of a run.
pub trait ChoicePolicy {
    /// Chooses an endpoint for a request at one entry instance.
    fn choose(&mut self, entry: usize, now: Instant, random: &mut StdRng) -> Option<usize>;
    /// Records the start of a call at one entry instance.
    fn call_started(&mut self, entry: usize, endpoint: usize, now: Instant);
    /// Records the result of a call at one entry instance.
    fn call_finished(
        &mut self,
        entry: usize,
        endpoint: usize,
        started: Instant,
        result: CallResult,
        now: Instant,
    );
    /// Passes an endpoint's load report to every entry instance.
    fn report_received(&mut self, endpoint: usize, sessions: u32, measured: Instant);
    /// Applies changes that depend on time only.
    fn tick(&mut self, now: Instant);
}

/// A simple selection rule that serves as a baseline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SimpleRule {
    /// Each endpoint in turn.
    RoundRobin,
    /// A random endpoint.
    Random,
    /// The endpoint with the fewest open calls from this entry instance.
    LeastInFlight,
    /// The less loaded of two random endpoints, by own open calls and last report.
    PowerOfTwo,
    /// The least loaded of all endpoints, by own open calls and last report.
    LeastReported,
}

impl SimpleRule {
    /// All rules, in the order of the table.
    pub const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::Random,
        Self::LeastInFlight,
        Self::PowerOfTwo,
        Self::LeastReported,
    ];

    /// Returns the name of the rule in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::Random => "random",
            Self::LeastInFlight => "least in flight",
            Self::PowerOfTwo => "power of two",
            Self::LeastReported => "least reported",
        }
    }
}

/// State of a simple rule at one entry instance.
#[derive(Clone, Debug)]
struct SimpleEntry {
    last_endpoint: usize,
    in_flight: Vec<u32>,
}

/// A policy that applies a simple rule at every entry instance.
#[derive(Clone, Debug)]
pub struct SimplePolicy {
    rule: SimpleRule,
    entries: Vec<SimpleEntry>,
    reports: Vec<u32>,
}

impl SimplePolicy {
    /// Creates the policy for the given numbers of entry instances and endpoints.
    pub fn new(rule: SimpleRule, entries: usize, endpoints: usize) -> Self {
        let entry = |number| SimpleEntry {
            last_endpoint: number,
            in_flight: vec![0; endpoints],
        };
        Self {
            rule,
            entries: (0..entries).map(entry).collect(),
            reports: vec![0; endpoints],
        }
    }

    fn least_loaded<Load>(&self, load: Load, random: &mut StdRng) -> Option<usize>
    where
        Load: Fn(usize) -> u32,
    {
        (0..self.reports.len()).min_by_key(|&endpoint| (load(endpoint), random.random::<u32>()))
    }
}

impl ChoicePolicy for SimplePolicy {
    fn choose(&mut self, entry: usize, _now: Instant, random: &mut StdRng) -> Option<usize> {
        let endpoints = self.reports.len();
        let own_calls = &self.entries[entry].in_flight;
        let total_load = |endpoint: usize| own_calls[endpoint] + self.reports[endpoint];
        match self.rule {
            SimpleRule::RoundRobin => {
                let state = &mut self.entries[entry];
                state.last_endpoint = (state.last_endpoint + 1) % endpoints;
                Some(state.last_endpoint)
            }
            SimpleRule::Random => Some(random.random_range(0..endpoints)),
            SimpleRule::LeastInFlight => self.least_loaded(|endpoint| own_calls[endpoint], random),
            SimpleRule::PowerOfTwo => {
                let first = random.random_range(0..endpoints);
                let second = random.random_range(0..endpoints);
                let is_first_less_loaded = total_load(first) <= total_load(second);
                Some(if is_first_less_loaded { first } else { second })
            }
            SimpleRule::LeastReported => self.least_loaded(total_load, random),
        }
    }

    fn call_started(&mut self, entry: usize, endpoint: usize, _now: Instant) {
        self.entries[entry].in_flight[endpoint] += 1;
    }

    fn call_finished(
        &mut self,
        entry: usize,
        endpoint: usize,
        _started: Instant,
        _result: CallResult,
        _now: Instant,
    ) {
        self.entries[entry].in_flight[endpoint] -= 1;
    }

    fn report_received(&mut self, endpoint: usize, sessions: u32, _measured: Instant) {
        self.reports[endpoint] = sessions;
    }

    fn tick(&mut self, _now: Instant) {}
}

/// A policy that uses an [`EndpointMonitor`] at every entry instance.
#[derive(Clone, Debug)]
pub struct MonitorPolicy {
    monitors: Vec<EndpointMonitor>,
    ids: Vec<EndpointId>,
}

impl MonitorPolicy {
    /// Creates the monitors of all entry instances and installs the scenario's endpoints.
    ///
    /// # Errors
    ///
    /// Returns a [`ChartError`] if the health chart is invalid.
    pub fn new(
        entries: usize,
        scenario: &ChoiceScenario,
        settings: &MonitorSettings,
    ) -> Result<Self, ChartError> {
        let ids: Vec<EndpointId> = (0..scenario.speeds.len())
            .map(|endpoint| format!("endpoint-{endpoint}").into())
            .collect();
        let mut monitors = Vec::with_capacity(entries);
        for entry in 0..entries {
            let name = format!("entry-{entry}");
            monitors.push(EndpointMonitor::new(name.into(), settings.clone())?);
        }
        let mut policy = Self { monitors, ids };
        policy.install_endpoints(&scenario.speeds);
        Ok(policy)
    }

    fn install_endpoints(&mut self, speeds: &[f64]) {
        let now = Instant::now();
        let entries = self.monitors.len();
        let profiles: Vec<EndpointProfile> = self
            .ids
            .iter()
            .zip(speeds)
            .map(|(id, speed)| EndpointProfile {
                id: Arc::clone(id),
                group: ENDPOINT_GROUP.into(),
                accelerator: format!("kind-{speed}").into(),
                capacity: ENDPOINT_CAPACITY,
                link_delay: Duration::from_millis(1),
                service_time: MEAN_SERVICE_TIME.div_f64(*speed),
            })
            .collect();
        for monitor in &mut self.monitors {
            monitor.replace(profiles.clone(), now);
            monitor.set_instance_count(entries);
        }
    }
}

impl ChoicePolicy for MonitorPolicy {
    fn choose(&mut self, entry: usize, now: Instant, random: &mut StdRng) -> Option<usize> {
        let chosen_id = self.monitors[entry].choose(ENDPOINT_GROUP, true, random, now)?;
        self.ids.iter().position(|id| *id == chosen_id)
    }

    fn call_started(&mut self, entry: usize, endpoint: usize, now: Instant) {
        self.monitors[entry].record_start(&self.ids[endpoint], now);
    }

    fn call_finished(
        &mut self,
        entry: usize,
        endpoint: usize,
        started: Instant,
        result: CallResult,
        now: Instant,
    ) {
        self.monitors[entry].record_finish(&self.ids[endpoint], started, result, now);
    }

    fn report_received(&mut self, endpoint: usize, sessions: u32, measured: Instant) {
        let report = LoadReport {
            sessions,
            service_time: None,
            measured_at: measured,
        };
        for monitor in &mut self.monitors {
            monitor.record_report(&self.ids[endpoint], report);
        }
    }

    fn tick(&mut self, now: Instant) {
        for monitor in &mut self.monitors {
            monitor.tick(now);
        }
    }
}
