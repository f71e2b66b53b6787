//! Recovery: time from a failure to the next token, beside the time in which it can be noticed and
//! beside starting the whole answer again.

use std::time::{Duration, Instant};

use dandeliondeal_config::RequestSettings;
use dandeliondeal_pipeline::SessionSettings;
use dandeliondeal_standin::FaultChange;
use dandeliondeal_types::{LayerRange, Token};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::generation_rig::{GenerationRig, PlanPolicy, RigEngine, RigText};
use crate::site::SITE_LAYERS;
use crate::{MeasureError, MeasureSettings};

const NAME: &str = "recovery";
/// Samples of each kind of failure.
const SAMPLES: usize = 30;
const LONG_SAMPLES: usize = 200;
/// Generations of which each meets one failure.
const AT_ONCE: usize = 6;
const PROMPT_TOKENS: usize = 64;
/// Tokens before the failure; the exact number is drawn from the seed.
const LEAST_TOKENS: usize = 12;
const MOST_TOKENS: usize = 24;
const ANSWER_TOKENS: usize = 40;
/// Time of one layer, in microseconds.
const LAYER_MICROSECONDS: u64 = 1_000;
/// Time that a replacement is fed before it ends.
const FEED_TIME: Duration = Duration::from_millis(6);
/// Longest wait for a token.
const PATIENCE: Duration = Duration::from_secs(20);

/// A kind of failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// An engine ends at once and its connections close.
    Killed,
    /// Both engines of the chain end at once.
    TwoKilled,
    /// An engine's connections go silent for good; new ones work.
    Silent,
    /// The answer to a step that ran is lost.
    LostAnswer,
    /// An engine answers nothing any more, over any connection.
    Frozen,
    /// An engine ends, and its replacement ends while it is fed.
    ReplacementKilled,
}

const KINDS: [FailureKind; 6] = [
    FailureKind::Killed,
    FailureKind::TwoKilled,
    FailureKind::Silent,
    FailureKind::LostAnswer,
    FailureKind::Frozen,
    FailureKind::ReplacementKilled,
];

/// Figures of one kind of failure, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RecoveryFigures {
    /// The kind of failure.
    pub kind: FailureKind,
    /// Number of samples.
    pub samples: usize,
    /// Median time from the failure to the next token.
    pub median: f64,
    /// Longest such time.
    pub worst: f64,
    /// Time in which the failure can be noticed at the settings in force.
    pub floor: f64,
    /// Median over floor and one undisturbed token.
    pub over_floor: f64,
    /// Median time of a first attempt thrown away: floor, then prompt and tokens again.
    pub restart: f64,
    /// Restart over median.
    pub gain: f64,
}

/// Times of one generation.
#[derive(Clone, Copy, Debug)]
struct RecoverySample {
    recovery: Duration,
    token: Duration,
    /// Time of the same prompt and tokens from the start.
    rerun: Duration,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Says what could not be set up or which answer was wrong.
pub async fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    println!(
        "{:<20} {:>4} {:>10} {:>10} {:>10} {:>10} {:>10} {:>6}",
        "failure", "n", "median ms", "worst ms", "floor ms", "over floor", "restart ms", "gain"
    );
    let mut lines = Vec::new();
    for kind in KINDS {
        let figures = measure(kind, settings).await?;
        println!(
            "{:<20} {:>4} {:>10.1} {:>10.1} {:>10.1} {:>10.2} {:>10.1} {:>6.2}",
            format!("{kind:?}"),
            figures.samples,
            figures.median,
            figures.worst,
            figures.floor,
            figures.over_floor,
            figures.restart,
            figures.gain
        );
        lines.push(serde_json::to_string(&figures).unwrap_or_default());
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}

async fn measure(
    kind: FailureKind,
    settings: MeasureSettings,
) -> Result<RecoveryFigures, MeasureError> {
    let count = if settings.long { LONG_SAMPLES } else { SAMPLES };
    let mut samples: Vec<RecoverySample> = Vec::new();
    while samples.len() < count {
        let seeds = (0..AT_ONCE).map(|place| settings.seed + (samples.len() + place) as u64);
        let runs = seeds.map(|seed| sample(kind, seed));
        for result in futures_util::future::join_all(runs).await {
            samples.push(result?);
        }
    }
    Ok(figures(kind, &samples))
}

fn session_settings() -> SessionSettings {
    let requests = RequestSettings::default();
    SessionSettings {
        life: requests.session_life,
        least_timeout: requests.step_floor,
        most_timeout: requests.step_limit,
        ..SessionSettings::default()
    }
}

/// The time in which a failure can be noticed: a closed connection at once, silence by the step's
/// timeout, a frozen engine by the timeout of the status after it.
fn detection_floor(kind: FailureKind) -> Duration {
    let settings = session_settings();
    match kind {
        FailureKind::Killed | FailureKind::TwoKilled | FailureKind::ReplacementKilled => {
            Duration::ZERO
        }
        FailureKind::Silent | FailureKind::LostAnswer => settings.least_timeout,
        FailureKind::Frozen => settings.least_timeout + settings.ask_timeout,
    }
}

fn figures(kind: FailureKind, samples: &[RecoverySample]) -> RecoveryFigures {
    let floor = milliseconds(detection_floor(kind));
    let times = |time: fn(&RecoverySample) -> Duration| {
        let mut times: Vec<f64> = samples
            .iter()
            .map(|sample| milliseconds(time(sample)))
            .collect();
        times.sort_by(f64::total_cmp);
        times
    };
    let recoveries = times(|sample| sample.recovery);
    let median = middle(&recoveries);
    let restart = floor + middle(&times(|sample| sample.rerun));
    RecoveryFigures {
        kind,
        samples: samples.len(),
        median,
        worst: recoveries.last().copied().unwrap_or_default(),
        floor,
        over_floor: median / (floor + middle(&times(|sample| sample.token))),
        restart,
        gain: restart / median,
    }
}

fn middle(sorted: &[f64]) -> f64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Two stages with two spares each; one failure at a random token.
async fn sample(kind: FailureKind, seed: u64) -> Result<RecoverySample, MeasureError> {
    let half = SITE_LAYERS / 2;
    let engine = |start, end| RigEngine {
        range: LayerRange::new(start, end),
        layer_microseconds: LAYER_MICROSECONDS,
        step_slots: 0,
    };
    let engines: Vec<RigEngine> = (0..3)
        .flat_map(|_| [engine(0, half), engine(half, SITE_LAYERS)])
        .collect();
    let rig = GenerationRig::start(NAME, &engines, session_settings())?;
    let mut random = SmallRng::seed_from_u64(seed);
    let prompt: Vec<Token> = (0..PROMPT_TOKENS)
        .map(|_| random.random_range(0..256))
        .collect();
    let before = random.random_range(LEAST_TOKENS..MOST_TOKENS);

    let mut text = rig.generate(NAME, PlanPolicy::Cheapest, &prompt, ANSWER_TOKENS)?;
    let mut answer = Vec::new();
    reach(&mut text, &mut answer, before / 2).await?;
    let middle = Instant::now();
    let counted = before - answer.len();
    reach(&mut text, &mut answer, before).await?;
    let token = middle.elapsed() / u32::try_from(counted.max(1)).unwrap_or(1);
    let failed = fail(kind, &rig, &text, &mut random);
    let start = Instant::now();
    if kind == FailureKind::ReplacementKilled {
        kill_replacement(&rig, &text, &failed).await;
    }
    // What had come before the failure is no recovery.
    while let Ok(token) = text.tokens.try_recv() {
        answer.push(u64::from(token));
    }
    let next = answer.len() + 1;
    reach(&mut text, &mut answer, next).await?;
    let recovery = start.elapsed();
    reach(&mut text, &mut answer, ANSWER_TOKENS).await?;
    if answer != rig.reference(&prompt, ANSWER_TOKENS) {
        return Err(MeasureError::new(
            NAME,
            format!("wrong answer, seed {seed}"),
        ));
    }
    let start = Instant::now();
    let mut again = rig.generate(NAME, PlanPolicy::Cheapest, &prompt, next)?;
    reach(&mut again, &mut Vec::new(), next).await?;
    Ok(RecoverySample {
        recovery,
        token,
        rerun: start.elapsed(),
    })
}

async fn reach(
    text: &mut RigText,
    answer: &mut Vec<u64>,
    count: usize,
) -> Result<(), MeasureError> {
    while answer.len() < count {
        let token = actix_rt::time::timeout(PATIENCE, text.tokens.recv()).await;
        let Ok(Some(token)) = token else {
            return Err(MeasureError::new(NAME, "an answer broke off"));
        };
        answer.push(u64::from(token));
    }
    Ok(())
}

/// Brings the failure about and returns the engines that failed.
fn fail<Source>(
    kind: FailureKind,
    rig: &GenerationRig,
    text: &RigText,
    random: &mut Source,
) -> Vec<usize>
where
    Source: Rng,
{
    let stages = rig.stages(&text.id);
    let hit = match kind {
        FailureKind::TwoKilled => stages,
        _ => stages
            .get(random.random_range(0..stages.len().max(1)))
            .into_iter()
            .copied()
            .collect(),
    };
    for index in &hit {
        let engine = &rig.engines[*index].0;
        match kind {
            FailureKind::Killed | FailureKind::TwoKilled | FailureKind::ReplacementKilled => {
                engine.kill();
            }
            FailureKind::Silent => engine.set_faults(FaultChange {
                silence_connections: Some(true),
                ..FaultChange::default()
            }),
            FailureKind::LostAnswer => engine.set_faults(FaultChange {
                lose_answers: Some(1),
                ..FaultChange::default()
            }),
            FailureKind::Frozen => engine.set_faults(FaultChange {
                freeze: Some(true),
                ..FaultChange::default()
            }),
        }
    }
    hit
}

/// Waits until a replacement has the session and kills it too.
async fn kill_replacement(rig: &GenerationRig, text: &RigText, failed: &[usize]) {
    let Some(range) = failed.first().map(|index| rig.engines[*index].1) else {
        return;
    };
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        let replacement = rig
            .stages(&text.id)
            .into_iter()
            .find(|index| !failed.contains(index) && rig.engines[*index].1 == range);
        if let Some(index) = replacement {
            actix_rt::time::sleep(FEED_TIME).await;
            rig.engines[index].0.kill();
            return;
        }
        tokio::task::yield_now().await;
    }
}
