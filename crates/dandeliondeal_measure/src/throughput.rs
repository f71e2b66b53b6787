//! Measures throughput as a share of the slowest stage's limit, for each plan policy.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_pipeline::SessionSettings;
use dandeliondeal_types::{LayerRange, Token};
use serde::Serialize;

use crate::engine_setup::MODEL_LAYERS;
use crate::generation_testbed::{GenerationTestbed, PlanPolicy, TestbedEngine};
use crate::overhead::processor_time;
use crate::{MeasureError, MeasureSettings};

const MEASUREMENT: &str = "throughput";
/// Time before the measurement starts.
const WARM_UP_TIME: Duration = Duration::from_millis(700);
/// Time over which tokens are counted.
const SHORT_TIME: Duration = Duration::from_secs(3);
/// Time over which tokens are counted in the long form.
const LONG_TIME: Duration = Duration::from_secs(20);
const ANSWER_TOKENS: usize = 32;
const PROMPT: [Token; 8] = [99, 111, 112, 112, 101, 114, 46, 10];
/// Number of steps that one engine runs concurrently.
const STEP_SLOTS: usize = 4;
/// Sessions per step slot of the stage with the most slots.
///
/// The number is large enough that the slowest stage is never idle.
const SESSIONS_PER_SLOT: usize = 3;

/// Identical engines of one stage.
#[derive(Clone, Copy, Debug)]
struct EngineGroup {
    range: LayerRange,
    layer_microseconds: u64,
    count: usize,
}

/// Figures of one arrangement of engines and one plan policy.
#[derive(Clone, Debug, Serialize)]
pub struct ThroughputFigures {
    /// Name of the arrangement of engines.
    pub arrangement: &'static str,
    /// Name of the plan policy.
    pub policy: String,
    /// Number of concurrent sessions.
    pub sessions: usize,
    /// Measured tokens per second.
    pub tokens_per_second: f64,
    /// Tokens per second that the slowest stage can process.
    pub bound: f64,
    /// `tokens_per_second` divided by `bound`.
    pub share: f64,
    /// Processor time per token of router and engines together in microseconds.
    pub processor_micros_per_token: f64,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Returns an error if the setup fails or an answer is wrong.
pub async fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    println!(
        "{:<22} {:<9} {:>8} {:>10} {:>10} {:>6} {:>9}",
        "engines", "planner", "sessions", "tokens/s", "bound/s", "share", "us/token"
    );
    let mut lines = Vec::new();
    for (name, groups) in arrangements() {
        for policy in [
            PlanPolicy::Cheapest,
            PlanPolicy::FirstFit,
            PlanPolicy::Random,
        ] {
            let figures = measure(name, &groups, policy, settings).await?;
            println!(
                "{:<22} {:<9} {:>8} {:>10.0} {:>10.0} {:>6.2} {:>9.0}",
                figures.arrangement,
                figures.policy,
                figures.sessions,
                figures.tokens_per_second,
                figures.bound,
                figures.share,
                figures.processor_micros_per_token
            );
            lines.push(serde_json::to_string(&figures).unwrap_or_default());
        }
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}

fn arrangements() -> Vec<(&'static str, Vec<EngineGroup>)> {
    let half = MODEL_LAYERS / 2;
    let group = |start, end, layer_microseconds, count| EngineGroup {
        range: LayerRange::new(start, end),
        layer_microseconds,
        count,
    };
    vec![
        (
            "equal, one each",
            vec![
                group(0, half, 4_000, 1),
                group(half, MODEL_LAYERS, 4_000, 1),
            ],
        ),
        (
            "equal, two each",
            vec![
                group(0, half, 4_000, 2),
                group(half, MODEL_LAYERS, 4_000, 2),
            ],
        ),
        (
            "second stage slower",
            vec![
                group(0, half, 2_000, 1),
                group(half, MODEL_LAYERS, 6_000, 1),
            ],
        ),
        (
            "replicas 1:3 in speed",
            vec![
                group(0, half, 2_000, 1),
                group(half, MODEL_LAYERS, 3_000, 1),
                group(half, MODEL_LAYERS, 9_000, 1),
            ],
        ),
    ]
}

/// Returns the tokens per second that the engines of one layer range can process.
fn stage_rate(groups: &[EngineGroup], range: LayerRange) -> f64 {
    groups
        .iter()
        .filter(|group| group.range == range)
        .map(|group| {
            let step_microseconds = group.layer_microseconds * u64::from(range.len());
            (STEP_SLOTS * group.count) as f64 * 1e6 / step_microseconds as f64
        })
        .sum()
}

/// Returns the step slots of the stage that has the most.
fn slot_count(groups: &[EngineGroup]) -> usize {
    let slots = |range| {
        let stage_groups = groups.iter().filter(|group| group.range == range);
        stage_groups
            .map(|group| group.count * STEP_SLOTS)
            .sum::<usize>()
    };
    groups
        .iter()
        .map(|group| slots(group.range))
        .max()
        .unwrap_or_default()
}

async fn measure(
    arrangement: &'static str,
    groups: &[EngineGroup],
    policy: PlanPolicy,
    settings: MeasureSettings,
) -> Result<ThroughputFigures, MeasureError> {
    let engines: Vec<TestbedEngine> = groups
        .iter()
        .flat_map(|group| std::iter::repeat_n(*group, group.count))
        .map(|group| TestbedEngine {
            range: group.range,
            layer_microseconds: group.layer_microseconds,
            max_concurrent_steps: STEP_SLOTS,
        })
        .collect();
    let testbed = GenerationTestbed::start(MEASUREMENT, &engines, SessionSettings::default())?;
    let testbed = Rc::new(testbed);
    let sessions = SESSIONS_PER_SLOT * slot_count(groups);
    let load = Rc::new(ClosedLoad::default());
    for _ in 0..sessions {
        actix_rt::spawn(run_requests(Rc::clone(&testbed), Rc::clone(&load), policy));
    }
    actix_rt::time::sleep(WARM_UP_TIME).await;
    let (tokens_before, cpu_time_before, start) =
        (load.tokens.get(), processor_time(), Instant::now());
    let time = if settings.long { LONG_TIME } else { SHORT_TIME };
    actix_rt::time::sleep(time).await;
    let elapsed_seconds = start.elapsed().as_secs_f64();
    let count = (load.tokens.get() - tokens_before) as f64;
    let cpu_seconds = processor_time()
        .saturating_sub(cpu_time_before)
        .as_secs_f64();
    load.is_finished.set(true);
    if let Some(error) = load.error.borrow_mut().take() {
        return Err(error);
    }
    let bound = groups
        .iter()
        .map(|group| stage_rate(groups, group.range))
        .fold(f64::INFINITY, f64::min);
    let tokens_per_second = count / elapsed_seconds;
    Ok(ThroughputFigures {
        arrangement,
        policy: format!("{policy:?}"),
        sessions,
        tokens_per_second,
        bound,
        share: tokens_per_second / bound,
        processor_micros_per_token: cpu_seconds * 1e6 / count.max(1.0),
    })
}

/// State shared by the sessions of one run, each of which sends one request after another.
#[derive(Debug, Default)]
struct ClosedLoad {
    tokens: Cell<u64>,
    is_finished: Cell<bool>,
    error: RefCell<Option<MeasureError>>,
}

/// Runs one request after another until the measurement has ended.
async fn run_requests(testbed: Rc<GenerationTestbed>, load: Rc<ClosedLoad>, policy: PlanPolicy) {
    while !load.is_finished.get() {
        if let Err(error) = run_request(&testbed, &load, policy).await {
            load.error.borrow_mut().get_or_insert(error);
            return;
        }
    }
}

/// Runs one request and checks its answer, or stops early when the measurement has ended.
async fn run_request(
    testbed: &GenerationTestbed,
    load: &ClosedLoad,
    policy: PlanPolicy,
) -> Result<(), MeasureError> {
    let mut generation = testbed.generate(MEASUREMENT, policy, &PROMPT, ANSWER_TOKENS)?;
    let mut answer = Vec::with_capacity(ANSWER_TOKENS);
    while let Some(token) = generation.tokens.recv().await {
        load.tokens.set(load.tokens.get() + 1);
        answer.push(u64::from(token));
        if load.is_finished.get() {
            return Ok(());
        }
    }
    if answer != testbed.expected_answer(&PROMPT, ANSWER_TOKENS) {
        return Err(MeasureError::new(
            MEASUREMENT,
            "an answer was wrong or incomplete",
        ));
    }
    Ok(())
}
