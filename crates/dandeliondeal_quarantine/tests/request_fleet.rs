//! Simulated plain services of 3 to 300 replicas: copies of a deadly request are refused in time, and
//! sound requests, also those that many callers send, are not refused for the ends of replicas.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_quarantine::{
    CrashReport, CrashTable, ProcessId, RequestStanding, RunStage, SuspectRequest,
};
use dandeliondeal_types::{FeatureId, ServiceId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Length of one step.
const STEP: Duration = Duration::from_millis(20);
/// Number of steps of a simulated day.
const STEP_COUNT: u32 = 1_500;
/// Steps between two exchanges of reports.
const EXCHANGE_STEPS: u32 = 10;
/// Steps from the start of a run until its answer, or the end of the process.
const RUN_STEPS: u32 = 3;
/// Steps until an ended replica runs again.
const DOWN_STEPS: std::ops::Range<u32> = 55..200;
/// Steps in which the first instance of a case with a cut has no links.
const CUT_STEPS: std::ops::Range<u32> = 400..800;
/// Time within which a deadly request has to be known after the third end.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct FleetCase {
    seed: u64,
    instances: usize,
    replicas: usize,
    /// Mean number of sound requests in a step.
    sound_rate: f64,
    /// Share of the sound requests that are copies of one request.
    hot_share: f64,
    /// Steps between two bursts of copies of the deadly request; `None` without one.
    burst_steps: Option<u32>,
    /// Replicas that end for other reasons.
    plain_ends: usize,
    /// Whether these end together.
    is_joint: bool,
    /// Whether the first instance loses its links for a while, and believes that replicas end.
    has_cut: bool,
}

impl FleetCase {
    fn draw(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let replicas = [3, 3, 5, 12, 40, 120, 300];
        Self {
            seed,
            instances: random.random_range(2..12),
            replicas: replicas[random.random_range(0..replicas.len())],
            sound_rate: random.random_range(0.05..3.0),
            hot_share: random.random_range(0.0..0.9),
            burst_steps: random
                .random_bool(0.7)
                .then(|| random.random_range(150..300)),
            plain_ends: random.random_range(0..12),
            is_joint: random.random(),
            has_cut: random.random(),
        }
    }
}

struct Run {
    instance: usize,
    replica: usize,
    age: u32,
    feature: FeatureId,
    /// Attempts that the caller and the instance may still make.
    retries: u32,
}

struct Simulation {
    case: FleetCase,
    random: StdRng,
    now: Instant,
    step: u32,
    service: ServiceId,
    tables: Vec<CrashTable>,
    /// Step until which each replica is down, and the number of its starts.
    replicas: Vec<(u32, u32)>,
    runs: Vec<Run>,
    request_count: u64,
    sound_sent: usize,
    sound_refused: usize,
    deadly_ends: Vec<Instant>,
    deadly_arrivals: Vec<Instant>,
}

impl Simulation {
    fn new(case: FleetCase) -> Self {
        Self {
            case,
            random: StdRng::seed_from_u64(case.seed),
            now: Instant::now() + Duration::from_mins(10),
            step: 0,
            service: "orders".into(),
            tables: vec![CrashTable::default(); case.instances],
            replicas: vec![(0, 0); case.replicas],
            runs: Vec::new(),
            request_count: 0,
            sound_sent: 0,
            sound_refused: 0,
            deadly_ends: Vec::new(),
            deadly_arrivals: Vec::new(),
        }
    }

    fn run(mut self) -> Self {
        let plain_steps = self.draw_plain_steps();
        for step in 0..STEP_COUNT {
            self.step = step;
            self.now += STEP;
            self.send_deadly();
            self.send_sound();
            for _ in plain_steps.iter().filter(|at| **at == step) {
                let replica = self.random.random_range(0..self.replicas.len());
                self.end_replica(replica);
            }
            self.advance_runs();
            self.restart_replicas();
            if step % EXCHANGE_STEPS == 0 {
                self.exchange_reports();
            }
        }
        self
    }

    fn draw_plain_steps(&mut self) -> Vec<u32> {
        let (count, is_joint) = (self.case.plain_ends, self.case.is_joint);
        let random = &mut self.random;
        let draw = |_| {
            if is_joint {
                600
            } else {
                random.random_range(0..STEP_COUNT)
            }
        };
        (0..count).map(draw).collect()
    }

    /// Sends a burst of copies: at most two in a step, at different instances.
    fn send_deadly(&mut self) {
        let Some(burst_steps) = self.case.burst_steps else {
            return;
        };
        if self.step > 50 && self.step % burst_steps < 12 && self.random.random_bool(0.4) {
            self.send("request:deadly".into(), 1);
        }
    }

    fn send_sound(&mut self) {
        let mut rate = self.case.sound_rate;
        while rate > 0.0 && self.random.random_bool(rate.min(1.0)) {
            rate -= 1.0;
            self.request_count += 1;
            let name = if self.random.random_bool(self.case.hot_share) {
                "request:hot".to_owned()
            } else {
                format!("request:{}", self.request_count)
            };
            self.sound_sent += 1;
            self.send(name.into(), 1);
        }
    }

    fn is_cut(&self, instance: usize) -> bool {
        self.case.has_cut && instance == 0 && CUT_STEPS.contains(&self.step)
    }

    fn send(&mut self, feature: FeatureId, retries: u32) {
        let instance = self.random.random_range(0..self.tables.len());
        let is_deadly = &*feature == "request:deadly";
        let features = [FeatureId::clone(&feature)];
        let standing = self.tables[instance].standing(&self.service, &features);
        if standing == RequestStanding::Quarantined {
            self.sound_refused += usize::from(!is_deadly);
            return;
        }
        if self.is_cut(instance) {
            self.lose_link(instance, &features);
            return;
        }
        let replicas = (0..self.replicas.len()).filter(|index| self.is_up(*index));
        let up: Vec<usize> = replicas.collect();
        if up.is_empty() {
            return;
        }
        if is_deadly {
            self.deadly_arrivals.push(self.now);
        }
        self.runs.push(Run {
            instance,
            replica: up[self.random.random_range(0..up.len())],
            age: 0,
            feature,
            retries,
        });
    }

    fn is_up(&self, replica: usize) -> bool {
        self.replicas[replica].0 <= self.step
    }

    fn process(&self, replica: usize) -> ProcessId {
        Arc::from(format!("replica-{replica}-{}", self.replicas[replica].1))
    }

    /// Reports the end of a process that only this instance cannot reach. Now and then the links are
    /// back between the two connections of a check.
    fn lose_link(&mut self, instance: usize, features: &[FeatureId]) {
        let replica = self.random.random_range(0..self.replicas.len());
        let process = self.process(replica);
        let is_confirmed = self.random.random_bool(0.01);
        self.record_end(instance, &process, features, is_confirmed);
    }

    fn record_end(
        &mut self,
        instance: usize,
        process: &ProcessId,
        features: &[FeatureId],
        is_confirmed: bool,
    ) {
        let suspect = SuspectRequest {
            service: &self.service,
            features,
            session: self.request_count,
            stage: RunStage::Head,
        };
        self.tables[instance].record_end(process, suspect, is_confirmed, self.now);
    }

    fn advance_runs(&mut self) {
        let mut deadly = Vec::new();
        for run in &mut self.runs {
            run.age += 1;
            if &*run.feature == "request:deadly" && run.age == RUN_STEPS {
                deadly.push(run.replica);
            }
        }
        for replica in deadly {
            if self.is_up(replica) {
                self.deadly_ends.push(self.now);
                self.end_replica(replica);
            }
        }
        let (done, open): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.age >= RUN_STEPS);
        self.runs = open;
        for run in done {
            let process = self.process(run.replica);
            let table = &mut self.tables[run.instance];
            table.record_answer(&self.service, &[run.feature], self.now);
            // Connections are kept for as long as the process runs.
            let age = STEP * (self.step - self.replicas[run.replica].0);
            let since = self.now.checked_sub(age).expect("a later time");
            table.record_contact(&process, since, self.now);
        }
    }

    fn end_replica(&mut self, replica: usize) {
        if !self.is_up(replica) {
            return;
        }
        let process = self.process(replica);
        self.replicas[replica].0 = self.step + self.random.random_range(DOWN_STEPS);
        let has_witness = (0..self.replicas.len()).any(|other| self.is_up(other));
        let (held, rest): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.replica == replica);
        self.runs = rest;
        for run in held {
            let features = [run.feature];
            self.record_end(run.instance, &process, &features, has_witness);
            let [feature] = features;
            if run.retries > 0 {
                // The caller, or the instance for a request that was answered before.
                self.send(feature, run.retries - 1);
            }
        }
    }

    /// Starts replicas whose time is over; their registrations show that the earlier processes ended.
    fn restart_replicas(&mut self) {
        for replica in 0..self.replicas.len() {
            if self.replicas[replica].0 == self.step && self.step > 0 {
                let process = self.process(replica);
                self.replicas[replica].1 += 1;
                for table in &mut self.tables {
                    table.confirm_end(&process, self.now);
                }
            }
        }
    }

    fn exchange_reports(&mut self) {
        let mut total = CrashReport::default();
        for table in &self.tables {
            total.add(&table.report(self.now));
        }
        for table in &mut self.tables {
            table.refresh(self.now);
            table.add_report(&total, self.now);
        }
    }

    /// Returns how many copies of the deadly request were sent too late after the third end.
    fn late_arrivals(&self) -> usize {
        let Some(third) = self.deadly_ends.get(2) else {
            return 0;
        };
        let is_late = |at: &&Instant| **at > *third + STABLE_WINDOW;
        self.deadly_arrivals.iter().filter(is_late).count()
    }
}

/// Guards against a series of ends that goes on, and against sound requests that are refused.
///
/// The cases are drawn with fixed seeds, as the limits are statistical.
#[test]
fn simulated_services() {
    let count = std::env::var("CRASH_FLEET_CASES").ok();
    let count = count.and_then(|text| text.parse().ok()).unwrap_or(60);
    for seed in 0..count {
        let case = FleetCase::draw(seed);
        let day = Simulation::new(case).run();
        let late = day.late_arrivals();
        assert!(late <= 3, "{late} late arrivals: {case:?}");
        let (refused, sent) = (day.sound_refused, day.sound_sent);
        assert!(
            refused * 200 <= sent,
            "{refused} of {sent} refused: {case:?}"
        );
        if case.burst_steps.is_none() {
            assert_eq!(refused, 0, "{case:?}");
        }
    }
}
