//! Measures the recovery time from a failure to the next token.
//!
//! It is compared with the time that is needed to detect the failure, and with restarting the whole
//! answer.

use std::time::{Duration, Instant};

use dandeliondeal_config::RequestSettings;
use dandeliondeal_pipeline::SessionSettings;
use dandeliondeal_standin::FaultChange;
use dandeliondeal_types::{LayerRange, Token};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::engine_setup::MODEL_LAYERS;
use crate::generation_testbed::{GenerationHandle, GenerationTestbed, PlanPolicy, TestbedEngine};
use crate::{MeasureError, MeasureSettings};

const MEASUREMENT: &str = "recovery";
/// Minimum number of samples of each kind of failure.
const SHORT_SAMPLES: usize = 30;
/// Minimum number of samples of each kind of failure in the long form.
const LONG_SAMPLES: usize = 200;
/// Number of samples that run concurrently.
const CONCURRENT_SAMPLES: usize = 6;
const PROMPT_TOKENS: usize = 64;
/// Lower bound of the number of tokens before the failure, which is drawn from the seed.
const MIN_TOKENS_BEFORE: usize = 12;
/// Exclusive upper bound of the number of tokens before the failure.
const TOKENS_BEFORE_BOUND: usize = 24;
const ANSWER_TOKENS: usize = 40;
/// Time of one layer in microseconds.
const LAYER_MICROSECONDS: u64 = 1_000;
/// Time for which a replacement receives the logged inputs before it is killed.
const REPLAY_TIME: Duration = Duration::from_millis(6);
/// Maximum time to wait for a token or for a replacement.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A kind of failure that is injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// One engine is killed and its connections close.
    Killed,
    /// Both engines of the chain are killed.
    TwoKilled,
    /// One engine's open connections become silent permanently; new connections work.
    Silent,
    /// The answer to a step that has run is lost.
    LostAnswer,
    /// One engine stops answering on all connections.
    Frozen,
    /// One engine is killed, and so is its replacement while it receives the logged inputs.
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

/// Figures of one kind of failure; times are in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RecoveryFigures {
    /// The kind of failure.
    pub kind: FailureKind,
    /// Number of samples.
    pub samples: usize,
    /// Median time from the failure to the next token.
    pub median: f64,
    /// Longest time from the failure to the next token.
    pub worst: f64,
    /// Time needed to detect the failure with the settings used.
    pub floor: f64,
    /// Median divided by the sum of `floor` and the median time of one undisturbed token.
    pub over_floor: f64,
    /// Median time of restarting the answer: `floor`, then prompt and tokens again.
    pub restart: f64,
    /// `restart` divided by `median`.
    pub gain: f64,
}

/// Times measured in one generation.
#[derive(Clone, Copy, Debug)]
struct RecoverySample {
    /// Time from the failure to the next token.
    recovery: Duration,
    /// Time of one undisturbed token.
    token: Duration,
    /// Time to generate the same prompt and tokens from the start.
    rerun: Duration,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Returns an error if the setup fails or an answer is wrong.
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
    let count = if settings.long {
        LONG_SAMPLES
    } else {
        SHORT_SAMPLES
    };
    let mut samples: Vec<RecoverySample> = Vec::new();
    while samples.len() < count {
        let seeds =
            (0..CONCURRENT_SAMPLES).map(|index| settings.seed + (samples.len() + index) as u64);
        let runs = seeds.map(|seed| take_sample(kind, seed));
        for result in futures_util::future::join_all(runs).await {
            samples.push(result?);
        }
    }
    Ok(summarise(kind, &samples))
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

/// Returns the time needed to detect a failure.
///
/// A closed connection is detected at once, silence by the timeout of the step, and a frozen engine
/// by the timeout of the status request that follows.
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

/// Computes the figures of one kind of failure from its samples.
fn summarise(kind: FailureKind, samples: &[RecoverySample]) -> RecoveryFigures {
    let floor = milliseconds(detection_floor(kind));
    let times = |time: fn(&RecoverySample) -> Duration| {
        let mut times: Vec<f64> = samples
            .iter()
            .map(|sample| milliseconds(time(sample)))
            .collect();
        times.sort_by(f64::total_cmp);
        times
    };
    let recovery_times = times(|sample| sample.recovery);
    let median = median_of(&recovery_times);
    let restart = floor + median_of(&times(|sample| sample.rerun));
    RecoveryFigures {
        kind,
        samples: samples.len(),
        median,
        worst: recovery_times.last().copied().unwrap_or_default(),
        floor,
        over_floor: median / (floor + median_of(&times(|sample| sample.token))),
        restart,
        gain: restart / median,
    }
}

/// Returns the median of sorted values, or 0 if there are none.
fn median_of(sorted: &[f64]) -> f64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Runs one generation with a failure at a random token.
///
/// Its two stages have three engines each, so that each stage has two spares.
async fn take_sample(kind: FailureKind, seed: u64) -> Result<RecoverySample, MeasureError> {
    let half = MODEL_LAYERS / 2;
    let engine = |start, end| TestbedEngine {
        range: LayerRange::new(start, end),
        layer_microseconds: LAYER_MICROSECONDS,
        max_concurrent_steps: 0,
    };
    let engines: Vec<TestbedEngine> = (0..3)
        .flat_map(|_| [engine(0, half), engine(half, MODEL_LAYERS)])
        .collect();
    let testbed = GenerationTestbed::start(MEASUREMENT, &engines, session_settings())?;
    let mut random = SmallRng::seed_from_u64(seed);
    let prompt: Vec<Token> = (0..PROMPT_TOKENS)
        .map(|_| random.random_range(0..256))
        .collect();
    let tokens_before = random.random_range(MIN_TOKENS_BEFORE..TOKENS_BEFORE_BOUND);

    let mut generation =
        testbed.generate(MEASUREMENT, PlanPolicy::Cheapest, &prompt, ANSWER_TOKENS)?;
    let mut answer = Vec::new();
    receive_tokens(&mut generation, &mut answer, tokens_before / 2).await?;
    let token_start = Instant::now();
    let timed_tokens = tokens_before - answer.len();
    receive_tokens(&mut generation, &mut answer, tokens_before).await?;
    let token_time = token_start.elapsed() / u32::try_from(timed_tokens.max(1)).unwrap_or(1);
    let failed_engines = inject_failure(kind, &testbed, &generation, &mut random);
    let start = Instant::now();
    if kind == FailureKind::ReplacementKilled {
        kill_replacement(&testbed, &generation, &failed_engines).await;
    }
    // Tokens that arrived before the failure don't count as recovered.
    while let Ok(token) = generation.tokens.try_recv() {
        answer.push(u64::from(token));
    }
    let count = answer.len() + 1;
    receive_tokens(&mut generation, &mut answer, count).await?;
    let recovery_time = start.elapsed();
    receive_tokens(&mut generation, &mut answer, ANSWER_TOKENS).await?;
    if answer != testbed.expected_answer(&prompt, ANSWER_TOKENS) {
        return Err(MeasureError::new(
            MEASUREMENT,
            format!("an answer was wrong with seed {seed}"),
        ));
    }
    let start = Instant::now();
    let mut rerun = testbed.generate(MEASUREMENT, PlanPolicy::Cheapest, &prompt, count)?;
    receive_tokens(&mut rerun, &mut Vec::new(), count).await?;
    Ok(RecoverySample {
        recovery: recovery_time,
        token: token_time,
        rerun: start.elapsed(),
    })
}

/// Receives tokens until the answer has `count` of them.
async fn receive_tokens(
    generation: &mut GenerationHandle,
    answer: &mut Vec<u64>,
    count: usize,
) -> Result<(), MeasureError> {
    while answer.len() < count {
        let token = actix_rt::time::timeout(WAIT_TIMEOUT, generation.tokens.recv()).await;
        let Ok(Some(token)) = token else {
            return Err(MeasureError::new(
                MEASUREMENT,
                "an answer ended early or a token timed out",
            ));
        };
        answer.push(u64::from(token));
    }
    Ok(())
}

/// Injects the failure and returns the indexes of the engines that failed.
fn inject_failure<Source>(
    kind: FailureKind,
    testbed: &GenerationTestbed,
    generation: &GenerationHandle,
    random: &mut Source,
) -> Vec<usize>
where
    Source: Rng,
{
    let stages = testbed.stages(&generation.id);
    let failed_engines = match kind {
        FailureKind::TwoKilled => stages,
        _ => stages
            .get(random.random_range(0..stages.len().max(1)))
            .into_iter()
            .copied()
            .collect(),
    };
    for index in &failed_engines {
        let engine = &testbed.engines[*index].0;
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
    failed_engines
}

/// Waits until a replacement engine has the session, then kills it as well.
async fn kill_replacement(
    testbed: &GenerationTestbed,
    generation: &GenerationHandle,
    failed_engines: &[usize],
) {
    let Some(range) = failed_engines
        .first()
        .map(|index| testbed.engines[*index].1)
    else {
        return;
    };
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        let replacement = testbed
            .stages(&generation.id)
            .into_iter()
            .find(|index| !failed_engines.contains(index) && testbed.engines[*index].1 == range);
        if let Some(index) = replacement {
            actix_rt::time::sleep(REPLAY_TIME).await;
            testbed.engines[index].0.kill();
            return;
        }
        tokio::task::yield_now().await;
    }
}
