//! The policies that are compared.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_balance::{
    CallResult, EndpointMonitor, EndpointProfile, LoadReport, MonitorSettings,
};
use dandeliondeal_chart::ChartError;
use dandeliondeal_types::EndpointId;
use rand::Rng;
use rand::rngs::StdRng;

use crate::choice_scenario::{CAPACITY, ChoiceScenario, MEAN_SERVICE};

/// Group of all endpoints.
const GROUP: &str = "draft";

/// A way to choose endpoints, for all entry instances of a run.
pub trait ChoicePolicy {
    /// Chooses an endpoint.
    fn choose(&mut self, entry: usize, now: Instant, random: &mut StdRng) -> Option<usize>;
    /// Notes the start of a call.
    fn started(&mut self, entry: usize, endpoint: usize, now: Instant);
    /// Notes the end of a call.
    fn finished(
        &mut self,
        entry: usize,
        endpoint: usize,
        started: Instant,
        result: CallResult,
        now: Instant,
    );
    /// Takes in a report at every entry instance.
    fn reported(&mut self, endpoint: usize, sessions: u32, measured: Instant);
    /// Moves on what only time moves.
    fn tick(&mut self, now: Instant);
}

/// The simpler policies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SimpleRule {
    /// One after the other.
    RoundRobin,
    /// Any.
    Random,
    /// Fewest own calls open.
    LeastInFlight,
    /// The lower of two by own calls and last report.
    PowerOfTwo,
    /// The lowest of all by own calls and last report.
    LeastReported,
}

impl SimpleRule {
    /// All rules.
    pub const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::Random,
        Self::LeastInFlight,
        Self::PowerOfTwo,
        Self::LeastReported,
    ];

    /// Name in tables.
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

/// One entry instance with a simple rule.
#[derive(Clone, Debug)]
struct SimpleEntry {
    next: usize,
    in_flight: Vec<u32>,
}

/// A simple rule at every entry instance.
#[derive(Clone, Debug)]
pub struct SimplePolicy {
    rule: SimpleRule,
    entries: Vec<SimpleEntry>,
    reports: Vec<u32>,
}

impl SimplePolicy {
    /// Makes the policy for so many entry instances and endpoints.
    pub fn new(rule: SimpleRule, entries: usize, endpoints: usize) -> Self {
        let entry = |number| SimpleEntry {
            next: number,
            in_flight: vec![0; endpoints],
        };
        Self {
            rule,
            entries: (0..entries).map(entry).collect(),
            reports: vec![0; endpoints],
        }
    }

    fn least<Key>(&self, key: Key, random: &mut StdRng) -> Option<usize>
    where
        Key: Fn(usize) -> u32,
    {
        (0..self.reports.len()).min_by_key(|&endpoint| (key(endpoint), random.random::<u32>()))
    }
}

impl ChoicePolicy for SimplePolicy {
    fn choose(&mut self, entry: usize, _now: Instant, random: &mut StdRng) -> Option<usize> {
        let endpoints = self.reports.len();
        let own = &self.entries[entry].in_flight;
        let both = |endpoint: usize| own[endpoint] + self.reports[endpoint];
        match self.rule {
            SimpleRule::RoundRobin => {
                let state = &mut self.entries[entry];
                state.next = (state.next + 1) % endpoints;
                Some(state.next)
            }
            SimpleRule::Random => Some(random.random_range(0..endpoints)),
            SimpleRule::LeastInFlight => self.least(|endpoint| own[endpoint], random),
            SimpleRule::PowerOfTwo => {
                let first = random.random_range(0..endpoints);
                let second = random.random_range(0..endpoints);
                let is_first = both(first) <= both(second);
                Some(if is_first { first } else { second })
            }
            SimpleRule::LeastReported => self.least(both, random),
        }
    }

    fn started(&mut self, entry: usize, endpoint: usize, _now: Instant) {
        self.entries[entry].in_flight[endpoint] += 1;
    }

    fn finished(
        &mut self,
        entry: usize,
        endpoint: usize,
        _started: Instant,
        _result: CallResult,
        _now: Instant,
    ) {
        self.entries[entry].in_flight[endpoint] -= 1;
    }

    fn reported(&mut self, endpoint: usize, sessions: u32, _measured: Instant) {
        self.reports[endpoint] = sessions;
    }

    fn tick(&mut self, _now: Instant) {}
}

/// An [`EndpointMonitor`] at every entry instance.
#[derive(Clone, Debug)]
pub struct BoardPolicy {
    monitors: Vec<EndpointMonitor>,
    ids: Vec<EndpointId>,
}

impl BoardPolicy {
    /// Makes the monitors.
    ///
    /// # Errors
    ///
    /// [`ChartError`] if the health chart is unsound.
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
        policy.fill(&scenario.speeds);
        Ok(policy)
    }

    fn fill(&mut self, speeds: &[f64]) {
        let now = Instant::now();
        let entries = self.monitors.len();
        let profiles: Vec<EndpointProfile> = self
            .ids
            .iter()
            .zip(speeds)
            .map(|(id, speed)| EndpointProfile {
                id: Arc::clone(id),
                group: GROUP.into(),
                accelerator: format!("kind-{speed}").into(),
                capacity: CAPACITY,
                link_delay: Duration::from_millis(1),
                service_time: MEAN_SERVICE.div_f64(*speed),
            })
            .collect();
        for monitor in &mut self.monitors {
            monitor.replace(profiles.clone(), now);
            monitor.set_instance_count(entries);
        }
    }
}

impl ChoicePolicy for BoardPolicy {
    fn choose(&mut self, entry: usize, now: Instant, random: &mut StdRng) -> Option<usize> {
        let chosen = self.monitors[entry].choose(GROUP, true, random, now)?;
        self.ids.iter().position(|id| *id == chosen)
    }

    fn started(&mut self, entry: usize, endpoint: usize, now: Instant) {
        self.monitors[entry].record_start(&self.ids[endpoint], now);
    }

    fn finished(
        &mut self,
        entry: usize,
        endpoint: usize,
        started: Instant,
        result: CallResult,
        now: Instant,
    ) {
        self.monitors[entry].record_finish(&self.ids[endpoint], started, result, now);
    }

    fn reported(&mut self, endpoint: usize, sessions: u32, measured: Instant) {
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
