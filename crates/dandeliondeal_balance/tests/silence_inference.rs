//! Inference of lost engines from silent streams, in simulated fleets.

use std::time::{Duration, Instant};

use dandeliondeal_balance::{SilenceInference, SilenceReport};
use dandeliondeal_types::{EndpointId, InstanceId};
use rand::rngs::StdRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};

/// Length of one step.
const STEP_MS: u64 = 5;
/// Layer ranges of the model, and engines that hold each.
const RANGES: usize = 11;
const REPLICAS: usize = 9;
/// Delay of a report to a hub.
const REPORT_DELAY_MS: u64 = 5;
/// Minimum time between two reports of an observer.
const REPORT_GAP_MS: u64 = 30;
/// Number of reports of an observer within a second.
const MAX_REPORTS: usize = 10;
/// Time of the loss in a run, and the time until which all lost engines have to be suspected.
const LOSS_MS: u64 = 1_000;
const SUSPECTED_MS: u64 = LOSS_MS + 150;
/// Time at which a run ends.
const END_MS: u64 = LOSS_MS + 400;

struct SimulatedStream {
    observer: usize,
    chain: Vec<EndpointId>,
    engines: Vec<usize>,
    interval_ms: u64,
    /// Time at which the event that is on its way arrives.
    next_ms: u64,
    delivered_ms: u64,
}

struct FleetCase {
    observers: usize,
    streams: usize,
    lost: Vec<usize>,
    /// Engine whose part of each interval takes twelve times as long.
    slow: Option<usize>,
    /// Share of the reports that are lost.
    report_loss: f64,
    /// Observer that receives nothing from the time of the loss.
    cut_off: Option<usize>,
    /// Observer that does nothing for 300 ms after the loss.
    paused: Option<usize>,
}

impl FleetCase {
    fn new(observers: usize) -> Self {
        Self {
            observers,
            streams: 400,
            lost: Vec::new(),
            slow: None,
            report_loss: 0.0,
            cut_off: None,
            paused: None,
        }
    }
}

#[derive(Default)]
struct FleetOutcome {
    /// Time from the loss until all lost engines were suspected.
    found_after: Option<Duration>,
    /// Sound engines that a hub suspected.
    false_hub_suspects: Vec<String>,
    /// Sound engines that an observer suspected, one entry for each observer.
    false_suspects: Vec<(usize, String)>,
    /// Number of engines that observers suspected on their own.
    local_suspicions: usize,
}

fn engine_id(engine: usize) -> EndpointId {
    format!("engine-{engine}").into()
}

fn start_streams(case: &FleetCase, random: &mut StdRng) -> Vec<SimulatedStream> {
    let mut build = |stream: usize| {
        let engines = (0..RANGES).map(|range| range * REPLICAS + random.random_range(0..REPLICAS));
        let engines: Vec<usize> = engines.collect();
        let mut interval_ms = random.random_range(20..60);
        if case.slow.is_some_and(|slow| engines.contains(&slow)) {
            interval_ms += interval_ms * 11 / RANGES as u64;
        }
        SimulatedStream {
            observer: if stream < case.observers {
                stream
            } else {
                random.random_range(0..case.observers)
            },
            chain: engines.iter().copied().map(engine_id).collect(),
            engines,
            interval_ms,
            next_ms: random.random_range(1..60),
            delivered_ms: 0,
        }
    };
    (0..case.streams).map(&mut build).collect()
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
    let mut random = StdRng::seed_from_u64(seed);
    let mut streams = start_streams(case, &mut random);
    let start = Instant::now();
    let mut observers = vec![SilenceInference::default(); case.observers];
    let mut hubs = vec![SilenceInference::default(); 3];
    let mut sent: Vec<Vec<u64>> = vec![Vec::new(); case.observers];
    let mut reports: Vec<(u64, usize, SilenceReport)> = Vec::new();
    let mut outcome = FleetOutcome::default();
    let lost_ids: Vec<EndpointId> = case.lost.iter().copied().map(engine_id).collect();
    let mut found: Vec<EndpointId> = Vec::new();
    for now_ms in (0..END_MS).step_by(usize::try_from(STEP_MS).expect("a step")) {
        let now = start + Duration::from_millis(now_ms);
        let is_after = now_ms >= LOSS_MS;
        let is_paused =
            |observer: usize| case.paused == Some(observer) && is_after && now_ms < LOSS_MS + 300;
        for (key, stream) in streams.iter_mut().enumerate() {
            if is_paused(stream.observer) {
                continue;
            }
            let observer = &mut observers[stream.observer];
            let is_cut = is_after && case.cut_off == Some(stream.observer);
            while stream.next_ms <= now_ms && !is_cut && !is_lost(stream, &case.lost) {
                let at = start + Duration::from_millis(stream.next_ms);
                observer.record_delivery(key as u64, &stream.chain, at);
                stream.delivered_ms = stream.next_ms;
                stream.next_ms += stream.interval_ms;
            }
            if stream.delivered_ms > 0 && now_ms >= stream.delivered_ms + 100 {
                let since = start + Duration::from_millis(stream.delivered_ms);
                observer.record_silent(key as u64, &stream.chain, since, now);
            }
        }
        for (index, observer) in observers.iter_mut().enumerate() {
            if is_paused(index) {
                continue;
            }
            if case.paused == Some(index) && now_ms == LOSS_MS + 300 {
                observer.record_timer(Duration::from_millis(300), now);
            }
            let history = &mut sent[index];
            history.retain(|at| at + 1_000 > now_ms);
            let is_due = history.last().is_none_or(|at| at + REPORT_GAP_MS <= now_ms);
            if observer.silent_count() > 0 && is_due && history.len() < MAX_REPORTS {
                history.push(now_ms);
                if !random.random_bool(case.report_loss) {
                    reports.push((now_ms + REPORT_DELAY_MS, index, observer.report(now)));
                }
            }
            if observer.silent_count() == 0 {
                continue;
            }
            for suspicion in observer.suspects(now) {
                outcome.local_suspicions += 1;
                let name = suspicion.engine.to_string();
                let entry = (index, name);
                if !lost_ids.contains(&suspicion.engine) && !outcome.false_suspects.contains(&entry)
                {
                    outcome.false_suspects.push(entry);
                }
            }
        }
        for (at, index, report) in &reports {
            if *at == now_ms {
                let id: InstanceId = format!("instance-{index}").into();
                hubs[index % 3].add_report(id, report, now);
            }
        }
        reports.retain(|(at, _, _)| *at > now_ms);
        for hub in &mut hubs {
            for suspicion in hub.suspects(now) {
                assert!(suspicion.sound_probability < 0.01);
                let name = suspicion.engine.to_string();
                if !lost_ids.contains(&suspicion.engine) {
                    if !outcome.false_hub_suspects.contains(&name) {
                        outcome.false_hub_suspects.push(name);
                    }
                } else if !found.contains(&suspicion.engine) {
                    found.push(suspicion.engine);
                }
            }
        }
        if found.len() == lost_ids.len() && outcome.found_after.is_none() && is_after {
            outcome.found_after = Some(Duration::from_millis(now_ms - LOSS_MS));
        }
    }
    outcome
}

fn draw_lost(seed: u64) -> Vec<usize> {
    let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
    sample(&mut random, RANGES * REPLICAS, 4).into_vec()
}

/// Checks that all of four lost engines are suspected in time, and how many sound ones are.
fn check_loss(case: &mut FleetCase, runs: u64) {
    let mut false_count = 0;
    let mut late = Vec::new();
    let mut times = Vec::new();
    for seed in 0..runs {
        case.lost = draw_lost(seed);
        let outcome = run_fleet(case, seed);
        false_count += outcome.false_hub_suspects.len();
        let found_after = outcome.found_after.unwrap_or(Duration::MAX);
        times.push(found_after);
        if found_after > Duration::from_millis(SUSPECTED_MS - LOSS_MS) {
            late.push((seed, outcome.found_after));
        }
    }
    times.sort_unstable();
    println!(
        "{} observers: {times:?}, {false_count} false",
        case.observers
    );
    assert!(late.is_empty(), "late: {late:?}");
    let sound = usize::try_from(runs).expect("a count") * (RANGES * REPLICAS - 4);
    assert!(
        false_count * 100 < sound,
        "{false_count} of {sound} sound engines"
    );
}

/// Guards against engines that are found late where few instances see many streams.
#[test]
fn few_observers() {
    check_loss(&mut FleetCase::new(26), 12);
}

/// Guards against engines that are found late where each instance has four streams.
#[test]
fn many_observers() {
    check_loss(&mut FleetCase::new(88), 12);
}

/// Guards against engines that are found late where most instances have one stream.
#[test]
fn thin_observers() {
    check_loss(&mut FleetCase::new(300), 12);
}
