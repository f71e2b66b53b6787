//! Exchange of silence reports through the hubs of three failure domains, in simulated fleets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use dandeliondeal_balance::{
    ObserverReport, ReportSchedule, SilenceHub, SilenceInference, SilenceReport,
};
use dandeliondeal_types::{EndpointId, InstanceId};
use rand::rngs::StdRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};

/// Length of one step, which is also the time between two evaluations of a hub.
const STEP_MS: u64 = 5;
/// Layer ranges of the model, and engines that hold each.
const RANGES: usize = 11;
const REPLICAS: usize = 9;
const DOMAINS: usize = 3;
/// Time that each message takes.
const NEWS_MS: u64 = 10;
/// Time of the loss in a run.
const LOSS_MS: u64 = 1_000;

struct FleetCase {
    instances: usize,
    streams: usize,
    lost: Vec<usize>,
    /// Probability that an event of a sound chain comes 80 to 200 ms late.
    pause_rate: f64,
    end_ms: u64,
}

impl FleetCase {
    fn new(instances: usize, lost: Vec<usize>) -> Self {
        Self {
            instances,
            streams: 400,
            lost,
            pause_rate: 0.0,
            end_ms: LOSS_MS + 300,
        }
    }
}

#[derive(Debug)]
struct SimulatedStream {
    instance: usize,
    chain: Vec<EndpointId>,
    engines: Vec<usize>,
    interval_ms: u64,
    next_ms: u64,
    delivered_ms: u64,
}

enum Message {
    Report(usize, SilenceReport),
    Sums(usize, Vec<ObserverReport>),
    Ask(Duration),
    Suspicion(EndpointId),
}

#[derive(Default)]
struct SimulatedInstance {
    inference: SilenceInference,
    schedule: ReportSchedule,
    hub: SilenceHub,
    was_asking: bool,
    sent_ms: Vec<u64>,
}

#[derive(Default)]
struct FleetOutcome {
    /// Times from the loss until an instance suspected a lost engine.
    told_after: BTreeMap<(usize, EndpointId), u64>,
    /// Sound engines that a hub published, with the time.
    false_suspects: BTreeSet<(u64, String)>,
    /// Streams that left a sound engine.
    false_moves: BTreeSet<usize>,
    reports: usize,
    /// Maximum number of messages of one instance in a second.
    max_rate: usize,
    /// Maximum number of silent chains in a report.
    max_chains: usize,
}

struct Fleet {
    start: Instant,
    instances: Vec<SimulatedInstance>,
    /// Messages by time of arrival, with their receivers.
    messages: BTreeMap<u64, Vec<(usize, Message)>>,
    random: StdRng,
}

fn engine_id(engine: usize) -> EndpointId {
    format!("engine-{engine}").into()
}

fn instance_id(instance: usize) -> InstanceId {
    format!("instance-{instance}").into()
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let instances = (0..count).map(|_| SimulatedInstance::default());
        Self {
            start: Instant::now(),
            instances: instances.collect(),
            messages: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn send(&mut self, receiver: usize, message: Message, at_ms: u64) {
        let arriving = self.messages.entry(at_ms).or_default();
        arriving.push((receiver, message));
    }

    fn members(&self, hub: usize) -> impl Iterator<Item = usize> + use<> {
        let members = (hub % DOMAINS..self.instances.len()).step_by(DOMAINS);
        members.filter(move |member| *member != hub)
    }

    fn start_streams(&mut self, streams: usize) -> Vec<SimulatedStream> {
        let count = self.instances.len();
        let random = &mut self.random;
        let mut build = |stream: usize| {
            let engines =
                (0..RANGES).map(|range| range * REPLICAS + random.random_range(0..REPLICAS));
            let engines: Vec<usize> = engines.collect();
            SimulatedStream {
                instance: if stream < count {
                    stream
                } else {
                    random.random_range(0..count)
                },
                chain: engines.iter().copied().map(engine_id).collect(),
                engines,
                interval_ms: random.random_range(20..60),
                next_ms: random.random_range(1..60),
                delivered_ms: 0,
            }
        };
        (0..streams).map(&mut build).collect()
    }

    /// Delivers the messages that arrive at `now_ms`.
    fn deliver(&mut self, now_ms: u64, case: &FleetCase, outcome: &mut FleetOutcome) {
        let now = self.at(now_ms);
        for (receiver, message) in self.messages.remove(&now_ms).unwrap_or_default() {
            let instance = &mut self.instances[receiver];
            match message {
                Message::Report(sender, report) => {
                    let id = instance_id(sender);
                    instance.hub.record_report(&id, now);
                    instance.inference.add_report(id, &report, now);
                    if instance.hub.needs_reports(&instance.inference, now) {
                        let interval = instance.hub.report_interval();
                        self.send(sender, Message::Ask(interval), now_ms + NEWS_MS);
                    }
                }
                Message::Sums(sender, reports) => {
                    assert_eq!(reports[0].observer, instance_id(sender));
                    for report in &reports {
                        instance.inference.add_relayed(report, now);
                    }
                }
                Message::Ask(interval) => {
                    let draw = self.random.random();
                    instance.schedule.ask(interval, draw, now);
                }
                Message::Suspicion(engine) => {
                    instance.inference.add_suspicion(&engine, now);
                    if case.lost.iter().any(|lost| engine_id(*lost) == engine) {
                        let told = outcome.told_after.entry((receiver, engine));
                        told.or_insert(now_ms.saturating_sub(LOSS_MS));
                    }
                }
            }
        }
    }

    /// Lets an instance send what is due.
    fn report(&mut self, index: usize, now_ms: u64, outcome: &mut FleetOutcome) {
        let now = self.at(now_ms);
        let instance = &mut self.instances[index];
        let is_hub = index < DOMAINS;
        let report = instance.inference.report(now);
        let has_silences = if is_hub {
            instance.inference.has_silences(now)
        } else {
            !report.is_empty()
        };
        instance.schedule.set_silent(has_silences);
        let next_at = instance.schedule.next_at(now);
        if next_at.is_none_or(|at| now < at) {
            return;
        }
        instance.schedule.record_sent(now);
        instance.sent_ms.push(now_ms);
        let sent = instance.sent_ms.iter();
        let rate = sent.filter(|at| **at + 1_000 > now_ms).count();
        outcome.max_rate = outcome.max_rate.max(rate);
        let chains = if is_hub {
            let sums = instance.inference.sum_reports(&instance_id(index), now);
            for other in (0..DOMAINS).filter(|other| *other != index) {
                self.send(other, Message::Sums(index, sums.clone()), now_ms + NEWS_MS);
            }
            sums.iter().map(|sum| sum.report.silent.len()).sum()
        } else {
            outcome.reports += 1;
            let chains = report.silent.len();
            let message = Message::Report(index, report);
            self.send(index % DOMAINS, message, now_ms + NEWS_MS);
            chains
        };
        outcome.max_chains = outcome.max_chains.max(chains);
    }

    /// Lets a hub ask its members and publish suspicions.
    fn evaluate(&mut self, hub: usize, now_ms: u64, case: &FleetCase, outcome: &mut FleetOutcome) {
        let now = self.at(now_ms);
        let members: Vec<usize> = self.members(hub).collect();
        let instance = &mut self.instances[hub];
        for member in &members {
            instance.hub.record_member(&instance_id(*member), now);
        }
        let is_asking = instance.hub.needs_reports(&instance.inference, now);
        if is_asking && !std::mem::replace(&mut instance.was_asking, is_asking) {
            let interval = instance.hub.report_interval();
            for member in &members {
                self.send(*member, Message::Ask(interval), now_ms + NEWS_MS);
            }
        }
        let instance = &mut self.instances[hub];
        instance.was_asking = is_asking;
        if is_asking {
            instance.schedule.ask(Duration::ZERO, 0.0, now);
        }
        let news = instance.hub.take_suspicions(&mut instance.inference, now);
        for suspicion in news {
            let engine = suspicion.engine;
            if !case.lost.iter().any(|lost| engine_id(*lost) == engine) || now_ms < LOSS_MS {
                let entry = (now_ms, engine.to_string());
                outcome.false_suspects.insert(entry);
            }
            for receiver in 0..self.instances.len() {
                let is_near = receiver < DOMAINS || receiver % DOMAINS == hub;
                let hops = if receiver == hub {
                    0
                } else {
                    2 - u64::from(is_near)
                };
                let message = Message::Suspicion(EndpointId::clone(&engine));
                let delay_ms = (hops * NEWS_MS).max(STEP_MS);
                self.send(receiver, message, now_ms + delay_ms);
            }
        }
    }
}

/// Returns whether the event that arrives at `next_ms` passes a lost engine after the loss.
fn is_lost(stream: &SimulatedStream, lost: &[usize]) -> bool {
    let hops = stream.engines.iter().enumerate();
    let mut lost_hops = hops.filter(|(_, engine)| lost.contains(engine));
    lost_hops.any(|(hop, _)| {
        let left = stream.interval_ms * (RANGES - 1 - hop) as u64 / RANGES as u64;
        stream.next_ms >= LOSS_MS + left
    })
}

fn run_fleet(case: &FleetCase, seed: u64) -> FleetOutcome {
    let mut fleet = Fleet::new(case.instances, seed);
    let mut streams = fleet.start_streams(case.streams);
    let mut outcome = FleetOutcome::default();
    for step in 0..case.end_ms / STEP_MS {
        let now_ms = step * STEP_MS;
        let now = fleet.at(now_ms);
        for (index, stream) in streams.iter_mut().enumerate() {
            let key = index as u64;
            while stream.next_ms <= now_ms && !is_lost(stream, &case.lost) {
                let at = fleet.at(stream.next_ms);
                let inference = &mut fleet.instances[stream.instance].inference;
                inference.record_delivery(key, &stream.chain, at);
                stream.delivered_ms = stream.next_ms;
                stream.next_ms += stream.interval_ms;
                if fleet.random.random_bool(case.pause_rate) {
                    stream.next_ms += fleet.random.random_range(80..200);
                }
            }
            let silence = Duration::from_millis(now_ms - stream.delivered_ms);
            let since = fleet.at(stream.delivered_ms);
            let inference = &mut fleet.instances[stream.instance].inference;
            if stream.delivered_ms > 0 && silence >= Duration::from_millis(100) {
                inference.record_silent(key, &stream.chain, since, now);
            }
            let is_sound = !stream.engines.iter().any(|hop| case.lost.contains(hop));
            if is_sound && silence >= inference.told_limit(key) {
                let mut told = inference.told_suspects(now);
                if told.any(|engine| stream.chain.contains(engine)) {
                    outcome.false_moves.insert(index);
                }
            }
        }
        fleet.deliver(now_ms, case, &mut outcome);
        for index in 0..case.instances {
            fleet.report(index, now_ms, &mut outcome);
        }
        for hub in 0..DOMAINS {
            fleet.evaluate(hub, now_ms, case, &mut outcome);
        }
    }
    outcome
}

fn draw_lost(seed: u64, count: usize) -> Vec<usize> {
    let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
    sample(&mut random, RANGES * REPLICAS, count).into_vec()
}

/// Checks that all instances suspect all lost engines in time, and no sound one; returns the median
/// time over all runs in milliseconds.
fn check_spread(instances: usize, streams: usize, lost_count: usize) -> u64 {
    let mut all_told = Vec::new();
    for seed in 0..4 {
        let case = FleetCase {
            streams,
            ..FleetCase::new(instances, draw_lost(seed, lost_count))
        };
        let outcome = run_fleet(&case, seed);
        assert_eq!(outcome.told_after.len(), instances * lost_count);
        all_told.extend(outcome.told_after.into_values());
        assert!(outcome.max_rate <= 10, "{} messages", outcome.max_rate);
        assert!(outcome.max_chains <= 64, "{} chains", outcome.max_chains);
        assert_eq!(outcome.false_suspects, BTreeSet::new());
    }
    all_told.sort_unstable();
    let (median, last) = (all_told[all_told.len() / 2], all_told[all_told.len() - 1]);
    println!("{instances} instances, {lost_count} lost: median {median} ms, last {last} ms");
    assert!(last < 150, "{last} ms");
    median
}

/// Guards against late suspicions where few instances relay many streams each.
#[test]
fn few_instances() {
    assert!(check_spread(26, 400, 4) < 120);
}

/// Guards against late suspicions where each instance relays few streams.
#[test]
fn many_instances() {
    assert!(check_spread(88, 400, 4) < 120);
}

/// Guards against late suspicions in a large fleet with one request a second and instance.
#[test]
fn large_fleet() {
    assert!(check_spread(300, 840, 4) < 120);
}

/// Guards against late suspicions where few instances have silent streams, so that most have to be
/// asked for signs of life.
#[test]
fn single_loss() {
    check_spread(26, 400, 1);
    check_spread(88, 400, 1);
    check_spread(300, 840, 1);
}

/// Guards against late suspicions where most instances relay one stream. Such an instance accuses
/// nobody, since all its streams are silent, so that the evidence is less than half of the silences.
#[test]
fn thin_instances() {
    check_spread(300, 400, 4);
}

/// Guards against messages while no stream is silent.
#[test]
fn quiet_fleet() {
    let outcome = run_fleet(&FleetCase::new(88, Vec::new()), 1);
    assert_eq!(outcome.reports, 0);
    assert_eq!(outcome.max_rate, 0);
}

/// Guards against suspicions of sound engines, and moves off them, where single events are late.
#[test]
fn late_events() {
    for instances in [26, 88, 300] {
        let case = FleetCase {
            pause_rate: 0.002,
            end_ms: 5_000,
            ..FleetCase::new(instances, Vec::new())
        };
        let outcome = run_fleet(&case, 7);
        println!(
            "{instances} instances: {} false suspicions, {} false moves, {} reports in 5 s",
            outcome.false_suspects.len(),
            outcome.false_moves.len(),
            outcome.reports
        );
        assert!(outcome.max_rate <= 10);
        assert!(outcome.false_suspects.len() <= 5);
        assert!(outcome.false_moves.len() <= 5);
    }
}
