//! Inference of lost engines from silent streams, in simulated fleets.

use std::time::{Duration, Instant};

use dandeliondeal_balance::{SilenceInference, SilenceReport, SilentChain};
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
/// Reports that an observer may send at once, and time after which it may send another one.
const REPORT_BURST: f64 = 4.0;
const REPORT_REFILL_MS: f64 = 167.0;
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
    let mut hub = SilenceInference::default();
    let mut credits = vec![(REPORT_BURST, 0_u64); case.observers];
    let mut has_reported = vec![false; case.observers];
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
            let (credit, sent_ms) = &mut credits[index];
            *credit = (*credit + STEP_MS as f64 / REPORT_REFILL_MS).min(REPORT_BURST);
            let is_due = *sent_ms + REPORT_GAP_MS <= now_ms && *credit >= 1.0;
            if (observer.silent_count() > 0 || has_reported[index]) && is_due {
                *credit -= 1.0;
                *sent_ms = now_ms;
                has_reported[index] = observer.silent_count() > 0;
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
                hub.add_report(id, report, now);
            }
        }
        reports.retain(|(at, _, _)| *at > now_ms);
        for suspicion in hub.suspects(now) {
            assert!(suspicion.sound_probability < 0.01);
            let name = suspicion.engine.to_string();
            if lost_ids.contains(&suspicion.engine) {
                if !found.contains(&suspicion.engine) {
                    found.push(suspicion.engine);
                }
            } else if !outcome.false_hub_suspects.contains(&name) {
                outcome.false_hub_suspects.push(name);
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
    check_loss(&mut FleetCase::new(26), 8);
}

/// Guards against engines that are found late where each instance has four streams.
#[test]
fn many_observers() {
    check_loss(&mut FleetCase::new(88), 8);
}

/// Guards against engines that are found late where most instances have one stream.
#[test]
fn thin_observers() {
    check_loss(&mut FleetCase::new(300), 8);
}

/// Guards against engines that are found late because some reports are lost.
#[test]
fn lost_reports() {
    for seed in 0..6 {
        let case = FleetCase {
            lost: draw_lost(seed),
            report_loss: 0.3,
            ..FleetCase::new(88)
        };
        let outcome = run_fleet(&case, seed);
        let found_after = outcome.found_after.expect("all lost engines are suspected");
        assert!(found_after <= Duration::from_millis(200), "{found_after:?}");
    }
}

/// Guards against the suspicion of an engine that is slow and still delivers.
#[test]
fn slow_engine() {
    for seed in 0..10 {
        let case = FleetCase {
            slow: Some(usize::try_from(seed).expect("an engine") * 9),
            ..FleetCase::new(88)
        };
        let outcome = run_fleet(&case, seed);
        assert_eq!(outcome.false_hub_suspects, Vec::<String>::new());
    }
}

/// Guards against accusations by an instance that receives nothing itself.
#[test]
fn cut_off_observer() {
    for seed in 0..10 {
        let case = FleetCase {
            cut_off: Some(3),
            ..FleetCase::new(26)
        };
        let outcome = run_fleet(&case, seed);
        assert_eq!(outcome.false_hub_suspects, Vec::<String>::new());
        assert_eq!(outcome.false_suspects, Vec::new());
    }
}

/// Guards against accusations by an instance that was paused and finds its own streams silent.
#[test]
fn paused_observer() {
    for seed in 0..10 {
        let case = FleetCase {
            paused: Some(3),
            ..FleetCase::new(26)
        };
        let outcome = run_fleet(&case, seed);
        assert_eq!(outcome.false_hub_suspects, Vec::<String>::new());
        assert_eq!(outcome.false_suspects, Vec::new());
    }
}

/// Guards against a verdict on the streams of one instance with four streams, which tell too little.
#[test]
fn single_observer() {
    let runs = 30;
    let mut false_count = 0;
    let mut unfound = 0;
    for seed in 0..runs {
        let case = FleetCase {
            lost: draw_lost(seed),
            streams: 4,
            ..FleetCase::new(1)
        };
        let outcome = run_fleet(&case, seed);
        unfound += usize::from(outcome.found_after.is_none());
        false_count += outcome.false_suspects.len();
    }
    assert!(unfound > 25, "{unfound} of {runs}");
    let sound = usize::try_from(runs).expect("a count") * (RANGES * REPLICAS - 4);
    assert!(false_count * 100 < sound, "{false_count} of {sound}");
}

fn chain(names: &[&str]) -> Vec<EndpointId> {
    names.iter().map(|name| EndpointId::from(*name)).collect()
}

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns an inference with two streams over `lost` that are silent since `start + 30 ms`, and two
/// over `sound` that deliver until `start + 140 ms`.
fn silent_pair(start: Instant) -> SilenceInference {
    let mut inference = SilenceInference::default();
    for key in 0..2 {
        for at in [start, start + ms(30)] {
            inference.record_delivery(key, &chain(&["first", "lost"]), at);
        }
    }
    let start = start + ms(30);
    for step in 0..4 {
        for key in 2..4 {
            let at = start + ms(step * 35 + 5);
            inference.record_delivery(key, &chain(&["first", "sound"]), at);
        }
    }
    for key in 0..2 {
        let now = start + ms(112);
        inference.record_silent(key, &chain(&["first", "lost"]), start, now);
    }
    inference
}

/// Guards against waiting for more evidence where two streams agree and all other engines deliver.
#[test]
fn agreeing_streams() {
    let start = Instant::now();
    let mut inference = silent_pair(start);
    let suspects = inference.suspects(start + ms(142));
    let names: Vec<&str> = suspects
        .iter()
        .map(|suspicion| &*suspicion.engine)
        .collect();
    assert_eq!(names, ["lost"]);
    assert_eq!(suspects[0].silent_streams, 2);
    assert_eq!(suspects[0].since, start + ms(30));
}

/// Guards against a suspicion that outlives the engine's first sign of life.
#[test]
fn withdrawn_suspicion() {
    let start = Instant::now();
    let now = start + ms(160);
    let mut by_event = silent_pair(start);
    assert_eq!(by_event.suspects(start + ms(150)).len(), 1);
    by_event.record_delivery(0, &chain(&["first", "lost"]), now);
    assert_eq!(by_event.suspects(now), Vec::new());
    let mut by_report = silent_pair(start);
    by_report.record_alive(&"lost".into(), now);
    assert_eq!(by_report.suspects(now), Vec::new());
    by_report.record_delivery(2, &chain(&["first", "sound"]), now + ms(90));
    assert_eq!(by_report.suspects(now + ms(100)), Vec::new());
}

/// Guards against the suspicion of an engine whose streams also run on an engine that explains more.
#[test]
fn explained_silences() {
    let start = Instant::now();
    let now = start + ms(170);
    let mut inference = SilenceInference::default();
    for key in 0..12 {
        let second = ["second-0", "second-1", "second-2"][usize::try_from(key).expect("a key") % 3];
        let engines = chain(&["lost", second]);
        inference.record_delivery(key, &engines, start);
        inference.record_silent(key, &engines, start, now);
    }
    inference.record_delivery(20, &chain(&["other", "second-9"]), now);
    let suspects = inference.suspects(now);
    let names: Vec<&str> = suspects
        .iter()
        .map(|suspicion| &*suspicion.engine)
        .collect();
    assert_eq!(names, ["lost"]);
}

/// Guards against suspicions in a fleet in which sound streams often pause.
#[test]
fn measured_chance() {
    let start = Instant::now();
    let mut inference = SilenceInference::default();
    for step in 0..200 {
        for key in 0..4 {
            let at = start + ms(step * 300);
            inference.record_delivery(key, &chain(&["first", "often-late"]), at);
        }
    }
    assert!(inference.chance() > 0.3, "{}", inference.chance());
    let since = start + ms(199 * 300);
    let now = since + ms(120);
    inference.record_delivery(9, &chain(&["first", "sound"]), now);
    for key in 0..2 {
        inference.record_silent(key, &chain(&["first", "often-late"]), since, now);
    }
    assert_eq!(inference.suspects(now), Vec::new());
}

/// Guards against growth of the state with streams and observers that come and go.
#[test]
fn bounded_state() {
    let start = Instant::now();
    let mut inference = SilenceInference::default();
    for key in 0..20_000 {
        let now = start + ms(key);
        let engine = format!("engine-{key}");
        let engines = chain(&[&engine]);
        inference.record_delivery(key, &engines, now);
        inference.add_report(engine.into(), &inference.report(now), now);
        inference.remove_stream(key);
        if key % 50 == 0 {
            inference.suspects(now);
        }
    }
    let report = inference.report(start + ms(20_000));
    assert!(report.alive.len() < 2_000, "{}", report.alive.len());
}

/// One step of arbitrary evidence.
#[derive(Clone, Copy, Debug, bolero_generator::TypeGenerator)]
enum EvidenceStep {
    Wait(u8),
    Deliver(u8, u8),
    Silence(u8, u8),
    Remove(u8),
    Late(u8),
    Report(u8, u8, u8),
}

/// Guards against the suspicion of an engine that delivered within 60 ms, and against accusations by
/// an observer without a delivering stream, whatever the evidence.
#[test]
fn arbitrary_evidence() {
    let engines = |bits: u8| -> Vec<EndpointId> {
        let chosen = (0..8).filter(|engine| bits & (1 << engine) != 0);
        chosen.map(engine_id).collect()
    };
    bolero::check!()
        .with_type::<Vec<EvidenceStep>>()
        .for_each(|steps| {
            let start = Instant::now();
            let mut now = start;
            let mut inference = SilenceInference::default();
            let mut alive: Vec<(EndpointId, Instant)> = Vec::new();
            for step in steps {
                match *step {
                    EvidenceStep::Wait(time_ms) => now += ms(u64::from(time_ms)),
                    EvidenceStep::Deliver(stream, bits) => {
                        let chain = engines(bits);
                        inference.record_delivery(u64::from(stream % 8), &chain, now);
                        alive.extend(chain.into_iter().map(|engine| (engine, now)));
                    }
                    EvidenceStep::Silence(stream, bits) => {
                        let since = now.checked_sub(ms(100)).unwrap_or(start);
                        let chain = engines(bits);
                        inference.record_silent(u64::from(stream % 8), &chain, since, now);
                    }
                    EvidenceStep::Remove(stream) => inference.remove_stream(u64::from(stream % 8)),
                    EvidenceStep::Late(time_ms) => {
                        inference.record_timer(ms(u64::from(time_ms)), now);
                    }
                    EvidenceStep::Report(observer, bits, age_ms) => {
                        let silent = SilentChain {
                            engines: engines(bits),
                            age_ms: u32::from(age_ms),
                        };
                        let report = SilenceReport {
                            silent: vec![silent; 3],
                            ..SilenceReport::default()
                        };
                        inference.add_report(observer.to_string().into(), &report, now);
                    }
                }
                for suspicion in inference.suspects(now) {
                    assert!(suspicion.sound_probability < 0.01);
                    let is_fresh = |(engine, at): &(EndpointId, Instant)| {
                        *engine == suspicion.engine && now - *at <= ms(60)
                    };
                    assert!(!alive.iter().any(is_fresh), "{suspicion:?}");
                }
                assert!(inference.silent_count() <= 8);
            }
        });
}
