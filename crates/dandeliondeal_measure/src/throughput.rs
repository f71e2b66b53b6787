//! Throughput: tokens a second over the bound of the slowest stage, with planners compared.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_pipeline::SessionSettings;
use dandeliondeal_types::{LayerRange, Token};
use serde::Serialize;

use crate::generation_rig::{GenerationRig, PlanPolicy, RigEngine};
use crate::overhead::processor_time;
use crate::site::SITE_LAYERS;
use crate::{MeasureError, MeasureSettings};

const NAME: &str = "throughput";
const WARM_UP: Duration = Duration::from_millis(700);
const SHORT_TIME: Duration = Duration::from_secs(3);
const LONG_TIME: Duration = Duration::from_secs(20);
const ANSWER_TOKENS: usize = 32;
const PROMPT: [Token; 8] = [99, 111, 112, 112, 101, 114, 46, 10];
/// Steps that one engine runs at once.
const STEP_SLOTS: usize = 4;
/// Sessions for each step slot of the slowest stage, so that it never waits for work.
const SESSIONS_A_SLOT: usize = 3;

/// Engines of one stage that are alike.
#[derive(Clone, Copy, Debug)]
struct StageShape {
    range: LayerRange,
    layer_microseconds: u64,
    count: usize,
}

/// Figures of one arrangement and planner.
#[derive(Clone, Debug, Serialize)]
pub struct ThroughputFigures {
    /// The arrangement of engines.
    pub arrangement: &'static str,
    /// The planner.
    pub policy: String,
    /// Sessions at once.
    pub sessions: usize,
    /// Tokens a second.
    pub tokens_per_second: f64,
    /// Tokens a second that the slowest stage can run.
    pub bound: f64,
    /// First over second.
    pub share: f64,
    /// Processor time of router and engines together a token, in microseconds.
    pub processor_micros_per_token: f64,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Says what could not be set up or which answer was wrong.
pub async fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    println!(
        "{:<22} {:<9} {:>8} {:>10} {:>10} {:>6} {:>9}",
        "engines", "planner", "sessions", "tokens/s", "bound/s", "share", "us/token"
    );
    let mut lines = Vec::new();
    for (name, shapes) in arrangements() {
        for policy in [
            PlanPolicy::Cheapest,
            PlanPolicy::FirstFit,
            PlanPolicy::Random,
        ] {
            let figures = measure(name, &shapes, policy, settings).await?;
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

fn arrangements() -> Vec<(&'static str, Vec<StageShape>)> {
    let half = SITE_LAYERS / 2;
    let shape = |start, end, layer_microseconds, count| StageShape {
        range: LayerRange::new(start, end),
        layer_microseconds,
        count,
    };
    vec![
        (
            "equal, one each",
            vec![shape(0, half, 4_000, 1), shape(half, SITE_LAYERS, 4_000, 1)],
        ),
        (
            "equal, two each",
            vec![shape(0, half, 4_000, 2), shape(half, SITE_LAYERS, 4_000, 2)],
        ),
        (
            "second stage slower",
            vec![shape(0, half, 2_000, 1), shape(half, SITE_LAYERS, 6_000, 1)],
        ),
        (
            "replicas 1:3 in speed",
            vec![
                shape(0, half, 2_000, 1),
                shape(half, SITE_LAYERS, 3_000, 1),
                shape(half, SITE_LAYERS, 9_000, 1),
            ],
        ),
    ]
}

/// Tokens a second that the engines of one range can run.
fn stage_rate(shapes: &[StageShape], range: LayerRange) -> f64 {
    shapes
        .iter()
        .filter(|shape| shape.range == range)
        .map(|shape| {
            let step = shape.layer_microseconds * u64::from(range.len());
            (STEP_SLOTS * shape.count) as f64 * 1e6 / step as f64
        })
        .sum()
}

fn slot_count(shapes: &[StageShape]) -> usize {
    let slots = |range| {
        let alike = shapes.iter().filter(|shape| shape.range == range);
        alike.map(|shape| shape.count * STEP_SLOTS).sum::<usize>()
    };
    shapes
        .iter()
        .map(|shape| slots(shape.range))
        .max()
        .unwrap_or_default()
}

async fn measure(
    arrangement: &'static str,
    shapes: &[StageShape],
    policy: PlanPolicy,
    settings: MeasureSettings,
) -> Result<ThroughputFigures, MeasureError> {
    let engines: Vec<RigEngine> = shapes
        .iter()
        .flat_map(|shape| std::iter::repeat_n(*shape, shape.count))
        .map(|shape| RigEngine {
            range: shape.range,
            layer_microseconds: shape.layer_microseconds,
            step_slots: STEP_SLOTS,
        })
        .collect();
    let rig = GenerationRig::start(NAME, &engines, SessionSettings::default())?;
    let rig = Rc::new(rig);
    let sessions = SESSIONS_A_SLOT * slot_count(shapes);
    let load = Rc::new(ClosedLoad::default());
    for _ in 0..sessions {
        actix_rt::spawn(repeat(Rc::clone(&rig), Rc::clone(&load), policy));
    }
    actix_rt::time::sleep(WARM_UP).await;
    let (tokens, spent, start) = (load.tokens.get(), processor_time(), Instant::now());
    let time = if settings.long { LONG_TIME } else { SHORT_TIME };
    actix_rt::time::sleep(time).await;
    let elapsed = start.elapsed().as_secs_f64();
    let count = (load.tokens.get() - tokens) as f64;
    let spent = processor_time().saturating_sub(spent).as_secs_f64();
    load.is_over.set(true);
    if let Some(error) = load.error.borrow_mut().take() {
        return Err(error);
    }
    let bound = shapes
        .iter()
        .map(|shape| stage_rate(shapes, shape.range))
        .fold(f64::INFINITY, f64::min);
    let tokens_per_second = count / elapsed;
    Ok(ThroughputFigures {
        arrangement,
        policy: format!("{policy:?}"),
        sessions,
        tokens_per_second,
        bound,
        share: tokens_per_second / bound,
        processor_micros_per_token: spent * 1e6 / count.max(1.0),
    })
}

/// What the sessions of one run share.
#[derive(Debug, Default)]
struct ClosedLoad {
    tokens: Cell<u64>,
    is_over: Cell<bool>,
    error: RefCell<Option<MeasureError>>,
}

/// Runs one request after another until the load is over.
async fn repeat(rig: Rc<GenerationRig>, load: Rc<ClosedLoad>, policy: PlanPolicy) {
    while !load.is_over.get() {
        if let Err(error) = complete(&rig, &load, policy).await {
            load.error.borrow_mut().get_or_insert(error);
            return;
        }
    }
}

async fn complete(
    rig: &GenerationRig,
    load: &ClosedLoad,
    policy: PlanPolicy,
) -> Result<(), MeasureError> {
    let mut text = rig.generate(NAME, policy, &PROMPT, ANSWER_TOKENS)?;
    let mut answer = Vec::with_capacity(ANSWER_TOKENS);
    while let Some(token) = text.tokens.recv().await {
        load.tokens.set(load.tokens.get() + 1);
        answer.push(u64::from(token));
        if load.is_over.get() {
            return Ok(());
        }
    }
    if answer != rig.reference(&PROMPT, ANSWER_TOKENS) {
        return Err(MeasureError::new(NAME, "an answer was wrong or not whole"));
    }
    Ok(())
}
