//! Benchmarks of planning by number of engines, index updates, and steps of a session machine.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dandeliondeal_pipeline::{
    PlanChain, PlanIndex, PlanQuery, PlanSettings, PlanStage, SessionAction, SessionEvent,
    SessionMachine, SessionSettings, SessionSpec,
};
use dandeliondeal_types::sheet_model::{
    AcceleratorEntry, EndpointEntry, EndpointTarget, LinkEntry, ModelEntry,
};
use dandeliondeal_types::{FailureDomain, IdleView, LayerRange, ModelId, SheetModel, StepAnswer};

const MODEL_COUNT: usize = 13;
const LAYER_COUNT: u32 = 80;
const DOMAIN_COUNT: usize = 5;
const ACCELERATOR_COUNT: usize = 7;
/// Layer ranges of the engines of a model: halves, thirds, quarters and overlapping parts.
const LAYER_RANGES: [(u32, u32); 12] = [
    (0, 40),
    (40, 80),
    (0, 27),
    (27, 54),
    (54, 80),
    (0, 20),
    (20, 40),
    (40, 60),
    (60, 80),
    (0, 50),
    (30, 80),
    (10, 70),
];

fn sheet(engine_count: usize) -> SheetModel {
    let mut sheet = SheetModel::default();
    for model in 0..MODEL_COUNT {
        let entry = ModelEntry {
            layers: LAYER_COUNT,
            context_tokens: 8_192,
            version: "1".into(),
        };
        sheet.models.insert(format!("model-{model}").into(), entry);
    }
    for kind in 0..ACCELERATOR_COUNT {
        let entry = AcceleratorEntry {
            layer_nanoseconds: 20_000 << kind,
        };
        sheet
            .accelerators
            .insert(format!("kind-{kind}").into(), entry);
    }
    for domain in 0..DOMAIN_COUNT {
        sheet.links.push(LinkEntry {
            from: "domain-0".into(),
            to: format!("domain-{domain}").into(),
            delay_microseconds: 50 << (domain * 2),
            kilobytes_per_second: 1_000_000,
        });
    }
    for engine in 0..engine_count {
        let (start, end) = LAYER_RANGES[(engine / MODEL_COUNT) % LAYER_RANGES.len()];
        let entry = EndpointEntry {
            address: ([127, 0, 0, 1], 1).into(),
            target: EndpointTarget::Layers {
                model: format!("model-{}", engine % MODEL_COUNT).into(),
                range: LayerRange::new(start, end),
            },
            accelerator: format!("kind-{}", engine % ACCELERATOR_COUNT).into(),
            failure_domain: format!("domain-{}", engine % DOMAIN_COUNT).into(),
            region: "region-0".into(),
            checks_fencing: true,
            capacity: 64,
        };
        sheet
            .endpoints
            .insert(format!("engine-{engine}").into(), entry);
    }
    sheet
}

fn index(sheet: &SheetModel) -> PlanIndex {
    let mut index = PlanIndex::new(PlanSettings::default());
    index.update(sheet);
    index
}

fn chain_planning(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan");
    for engine_count in [100, 400, 1_700] {
        let index = index(&sheet(engine_count));
        let model: ModelId = "model-3".into();
        let instance_domain: FailureDomain = "domain-0".into();
        group.bench_function(BenchmarkId::from_parameter(engine_count), |bencher| {
            bencher.iter(|| {
                let query = PlanQuery {
                    model: &model,
                    range: LayerRange::new(0, LAYER_COUNT),
                    failure_domains: &[],
                    instance_domain: &instance_domain,
                    avoid: &[],
                    tie_breaker: 7,
                };
                black_box(index.plan(&query, &IdleView))
            });
        });
    }
    group.finish();
}

fn index_update(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("sheet");
    let before = sheet(1_700);
    let mut after = before.clone();
    after.endpoints.remove("engine-17");
    group.bench_function("build 1700", |bencher| bencher.iter(|| index(&before)));
    let mut updated_index = index(&before);
    group.bench_function("follow one change of 1700", |bencher| {
        bencher.iter(|| black_box(updated_index.update(&after) + updated_index.update(&before)));
    });
    group.finish();
}

fn session_machine() -> SessionMachine {
    let spec = SessionSpec {
        request: "request".into(),
        model: "model-3".into(),
        layers: LAYER_COUNT,
        prompt: [1, 2, 3].into(),
        max_tokens: usize::MAX,
        end_token: None,
        priority: 0,
        repeatable: true,
    };
    SessionMachine::new(spec, SessionSettings::default()).expect("the state chart is valid")
}

fn two_stage_chain() -> PlanChain {
    let stage = |name: &str, start, end| PlanStage {
        endpoint: name.into(),
        range: LayerRange::new(start, end),
    };
    PlanChain {
        stages: vec![stage("a", 0, 40), stage("b", 40, 80)],
        cost: Duration::ZERO,
    }
}

fn session_step(criterion: &mut Criterion) {
    criterion.bench_function("session step of two stages", |bencher| {
        bencher.iter_custom(|iterations| {
            let mut machine = session_machine();
            let now = Instant::now();
            machine.handle(SessionEvent::Begin, now);
            let event = SessionEvent::Placed {
                chain: Some(two_stage_chain()),
            };
            let mut actions = machine.handle(event, now);
            let start = Instant::now();
            for _ in 0..iterations {
                let answer = actions
                    .iter()
                    .find_map(answer_step)
                    .expect("the actions contain a step");
                actions = machine.handle(answer, now);
            }
            start.elapsed()
        });
    });
}

fn answer_step(action: &SessionAction) -> Option<SessionEvent> {
    let SessionAction::Step { attempt, call, .. } = action else {
        return None;
    };
    let answer = StepAnswer {
        name: call.name.clone(),
        outputs: call.inputs.iter().map(|_| 5).collect(),
    };
    Some(SessionEvent::Answered {
        attempt: *attempt,
        answer,
    })
}

criterion_group!(benches, chain_planning, index_update, session_step);
criterion_main!(benches);
