//! Planning at growing fleets, following a changed sheet, and the session core's step.

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

const MODELS: usize = 13;
const LAYERS: u32 = 80;
const DOMAINS: usize = 5;
const KINDS: usize = 7;
/// Engines of a model hold halves, thirds, quarters and overlapping parts of its layers.
const RANGES: [(u32, u32); 12] = [
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

fn sheet(replicas: usize) -> SheetModel {
    let mut sheet = SheetModel::default();
    for model in 0..MODELS {
        let entry = ModelEntry {
            layers: LAYERS,
            context_tokens: 8_192,
            version: "1".into(),
        };
        sheet.models.insert(format!("model-{model}").into(), entry);
    }
    for kind in 0..KINDS {
        let entry = AcceleratorEntry {
            layer_nanoseconds: 20_000 << kind,
        };
        sheet
            .accelerators
            .insert(format!("kind-{kind}").into(), entry);
    }
    for domain in 0..DOMAINS {
        sheet.links.push(LinkEntry {
            from: "domain-0".into(),
            to: format!("domain-{domain}").into(),
            delay_microseconds: 50 << (domain * 2),
            kilobytes_per_second: 1_000_000,
        });
    }
    for replica in 0..replicas {
        let (start, end) = RANGES[(replica / MODELS) % RANGES.len()];
        let entry = EndpointEntry {
            address: ([127, 0, 0, 1], 1).into(),
            target: EndpointTarget::Layers {
                model: format!("model-{}", replica % MODELS).into(),
                range: LayerRange::new(start, end),
            },
            accelerator: format!("kind-{}", replica % KINDS).into(),
            failure_domain: format!("domain-{}", replica % DOMAINS).into(),
            region: "region-0".into(),
            checks_fencing: true,
            capacity: 64,
        };
        sheet
            .endpoints
            .insert(format!("engine-{replica}").into(), entry);
    }
    sheet
}

fn index(sheet: &SheetModel) -> PlanIndex {
    let mut index = PlanIndex::new(PlanSettings::default());
    index.update(sheet);
    index
}

fn planning(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("plan");
    for replicas in [100, 400, 1_700] {
        let index = index(&sheet(replicas));
        let model: ModelId = "model-3".into();
        let home: FailureDomain = "domain-0".into();
        group.bench_function(BenchmarkId::from_parameter(replicas), |bencher| {
            bencher.iter(|| {
                let query = PlanQuery {
                    model: &model,
                    range: LayerRange::new(0, LAYERS),
                    domains: &[],
                    home: &home,
                    avoid: &[],
                    spread: 7,
                };
                black_box(index.plan(&query, &IdleView))
            });
        });
    }
    group.finish();
}

fn following(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("sheet");
    let before = sheet(1_700);
    let mut after = before.clone();
    after.endpoints.remove("engine-17");
    group.bench_function("build 1700", |bencher| bencher.iter(|| index(&before)));
    let mut followed = index(&before);
    group.bench_function("follow one change of 1700", |bencher| {
        bencher.iter(|| black_box(followed.update(&after) + followed.update(&before)));
    });
    group.finish();
}

fn session() -> SessionMachine {
    let spec = SessionSpec {
        request: "request".into(),
        model: "model-3".into(),
        layers: LAYERS,
        prompt: [1, 2, 3].into(),
        max_tokens: usize::MAX,
        end_token: None,
        priority: 0,
        repeatable: true,
    };
    SessionMachine::new(spec, SessionSettings::default()).expect("the chart is sound")
}

fn chain() -> PlanChain {
    let stage = |name: &str, start, end| PlanStage {
        endpoint: name.into(),
        range: LayerRange::new(start, end),
    };
    PlanChain {
        stages: vec![stage("a", 0, 40), stage("b", 40, 80)],
        cost: Duration::ZERO,
    }
}

fn stepping(bench: &mut Criterion) {
    bench.bench_function("session step of two stages", |bencher| {
        bencher.iter_custom(|count| {
            let mut machine = session();
            let now = Instant::now();
            machine.handle(SessionEvent::Begin, now);
            let event = SessionEvent::Placed {
                chain: Some(chain()),
            };
            let mut actions = machine.handle(event, now);
            let start = Instant::now();
            for _ in 0..count {
                let answer = actions.iter().find_map(answer_of).expect("a step");
                actions = machine.handle(answer, now);
            }
            start.elapsed()
        });
    });
}

fn answer_of(action: &SessionAction) -> Option<SessionEvent> {
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

criterion_group!(benches, planning, following, stepping);
criterion_main!(benches);
