//! Compares plans with an exhaustive search, and checks excluded endpoints and sheet updates.

use std::collections::BTreeMap;
use std::time::Duration;

use bolero_generator::driver::{Options, Rng};
use bolero_generator::{ValueGenerator, produce};
use dandeliondeal_pipeline::{PlanChain, PlanIndex, PlanQuery, PlanSettings};
use dandeliondeal_types::sheet_model::{
    AcceleratorEntry, EndpointEntry, EndpointTarget, LinkEntry, ModelEntry,
};
use dandeliondeal_types::{
    EndpointId, EndpointView, FailureDomain, LayerRange, ModelId, SheetModel,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

const LAYERS: u32 = 10;
const CASES: u64 = 600;
const DOMAINS: [&str; 3] = ["didube", "saburtalo", "isani"];
/// One-way delays from the first failure domain to each, in microseconds, a hundredfold apart.
const DELAYS: [u64; 3] = [20, 200, 2_000];
/// Time per layer of each accelerator kind, in nanoseconds.
const LAYER_TIMES: [u64; 3] = [10_000, 90_000, 700_000];

/// Random values for start, length, accelerator, failure domain and wait of one engine.
type EngineShape = (u8, u8, u8, u8, u8);

#[derive(Debug, Default)]
struct WaitView {
    waits: BTreeMap<EndpointId, Duration>,
}

impl EndpointView for WaitView {
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        self.waits.contains_key(endpoint)
    }

    fn expected_wait(&self, endpoint: &EndpointId) -> Duration {
        self.waits[endpoint]
    }
}

fn shapes(seed: u64) -> Vec<EngineShape> {
    let options = Options::default().with_max_len(4_096);
    let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
    produce::<Vec<EngineShape>>()
        .with()
        .len(2_usize..9)
        .generate(&mut driver)
        .expect("the generator has enough input")
}

fn entry(shape: EngineShape) -> EndpointEntry {
    let start = u32::from(shape.0) % LAYERS;
    let end = (start + 1 + u32::from(shape.1) % LAYERS).min(LAYERS);
    EndpointEntry {
        address: ([127, 0, 0, 1], 1).into(),
        target: EndpointTarget::Layers {
            model: "m".into(),
            range: LayerRange::new(start, end),
        },
        accelerator: format!("kind-{}", shape.2 % 3).into(),
        failure_domain: DOMAINS[usize::from(shape.3 % 3)].into(),
        region: "r".into(),
        checks_fencing: true,
        capacity: 1,
    }
}

fn sheet(shapes: &[EngineShape]) -> SheetModel {
    let mut sheet = SheetModel::default();
    let model = ModelEntry {
        layers: LAYERS,
        context_tokens: 64,
        version: "1".into(),
    };
    sheet.models.insert("m".into(), model);
    for (index, time) in LAYER_TIMES.iter().enumerate() {
        let accelerator = AcceleratorEntry {
            layer_nanoseconds: *time,
        };
        sheet
            .accelerators
            .insert(format!("kind-{index}").into(), accelerator);
        sheet.links.push(LinkEntry {
            from: DOMAINS[0].into(),
            to: DOMAINS[index].into(),
            delay_microseconds: DELAYS[index],
            kilobytes_per_second: 1_000_000,
        });
    }
    for (index, shape) in shapes.iter().enumerate() {
        sheet
            .endpoints
            .insert(format!("e{index}").into(), entry(*shape));
    }
    sheet
}

fn view(shapes: &[EngineShape]) -> WaitView {
    let waits = shapes
        .iter()
        .enumerate()
        .map(|(index, shape)| {
            let wait = Duration::from_micros(u64::from(shape.4 % 4) * 50);
            (format!("e{index}").into(), wait)
        })
        .collect();
    WaitView { waits }
}

fn plan(
    index: &PlanIndex,
    view: &WaitView,
    avoid: &[EndpointId],
    tie_breaker: u64,
) -> Option<PlanChain> {
    let model: ModelId = "m".into();
    let instance_domain: FailureDomain = DOMAINS[0].into();
    let query = PlanQuery {
        model: &model,
        range: LayerRange::new(0, LAYERS),
        failure_domains: &[],
        instance_domain: &instance_domain,
        avoid,
        tie_breaker,
    };
    index.plan(&query, view)
}

/// Returns the cost of the cheapest chain, by trying all chains that use no endpoint twice.
fn cheapest_cost(
    shapes: &[EngineShape],
    view: &WaitView,
    start: u32,
    used: u32,
) -> Option<Duration> {
    if start == LAYERS {
        return Some(Duration::ZERO);
    }
    let mut best_cost: Option<Duration> = None;
    for (index, shape) in shapes.iter().enumerate() {
        let EndpointTarget::Layers { range, .. } = entry(*shape).target else {
            continue;
        };
        if used & (1 << index) != 0 || start < range.start || start >= range.end {
            continue;
        }
        let id: EndpointId = format!("e{index}").into();
        let transfer = Duration::from_micros(32);
        let round_trip = Duration::from_micros(2 * DELAYS[usize::from(shape.3 % 3)]);
        let entry_time = view.waits[&id] + round_trip + transfer;
        let layer_time = Duration::from_nanos(LAYER_TIMES[usize::from(shape.2 % 3)]);
        for end in start + 1..=range.end {
            let rest = cheapest_cost(shapes, view, end, used | (1 << index));
            let cost = rest.map(|rest| entry_time + layer_time * (end - start) + rest);
            best_cost = best_cost.into_iter().chain(cost).min();
        }
    }
    best_cost
}

#[test]
fn cheapest_chain() {
    let mut gaps = 0;
    for seed in 0..CASES {
        let shapes = shapes(seed);
        let mut index = PlanIndex::new(PlanSettings::default());
        index.update(&sheet(&shapes));
        let view = view(&shapes);
        let chain = plan(&index, &view, &[], seed);
        let expected_cost = cheapest_cost(&shapes, &view, 0, 0);
        assert_eq!(
            chain.as_ref().map(|chain| chain.cost),
            expected_cost,
            "seed {seed}: {shapes:?} gave {chain:?}"
        );
        gaps += usize::from(chain.is_none());
        if let Some(chain) = chain {
            check_chain(&chain, &shapes, seed);
        }
    }
    assert!(gaps > 0 && gaps < 500, "{gaps} cases with a gap");
}

fn check_chain(chain: &PlanChain, shapes: &[EngineShape], seed: u64) {
    assert!(chain.covers(LayerRange::new(0, LAYERS)), "seed {seed}");
    for (index, stage) in chain.stages.iter().enumerate() {
        let number: usize = stage.endpoint[1..]
            .parse()
            .expect("the name ends in a number");
        let EndpointTarget::Layers { range, .. } = entry(shapes[number]).target else {
            panic!("seed {seed}: not an engine");
        };
        assert!(range.contains(stage.range), "seed {seed}");
        let is_repeated = chain.stages[..index]
            .iter()
            .any(|other| other.endpoint == stage.endpoint);
        assert!(!is_repeated, "seed {seed}: endpoint used twice");
    }
}

#[test]
fn no_endpoint_twice() {
    // With a slow engine over all layers and a fast one in the middle, the cheapest path would
    // return to the slow one, which is not allowed.
    let shapes = [(0, 9, 2, 0, 0), (4, 1, 0, 0, 0)];
    let mut index = PlanIndex::new(PlanSettings::default());
    index.update(&sheet(&shapes));
    let chain = plan(&index, &view(&shapes), &[], 0).expect("one engine has all layers");
    check_chain(&chain, &shapes, 0);
    assert_eq!(chain.stages.len(), 1);
}

#[test]
fn avoided_endpoints() {
    let shapes = [(0, 9, 0, 0, 0), (0, 9, 1, 0, 0)];
    let mut index = PlanIndex::new(PlanSettings::default());
    index.update(&sheet(&shapes));
    let view = view(&shapes);
    let first = plan(&index, &view, &[], 0).expect("two engines have all layers");
    assert_eq!(&*first.stages[0].endpoint, "e0");
    let second = plan(&index, &view, &["e0".into()], 0).expect("one engine is left");
    assert_eq!(&*second.stages[0].endpoint, "e1");
    assert!(plan(&index, &view, &["e0".into(), "e1".into()], 0).is_none());
}

#[test]
fn incremental_update() {
    for seed in 0..200 {
        let (before, after) = (shapes(seed), shapes(seed + CASES));
        let mut updated = PlanIndex::new(PlanSettings::default());
        updated.update(&sheet(&before));
        updated.update(&sheet(&after));
        assert_eq!(updated.update(&sheet(&after)), 0, "seed {seed}");
        let mut fresh = PlanIndex::new(PlanSettings::default());
        fresh.update(&sheet(&after));
        let view = view(&after);
        assert_eq!(
            plan(&updated, &view, &[], seed),
            plan(&fresh, &view, &[], seed),
            "seed {seed}"
        );
    }
}

#[test]
fn equal_endpoints() {
    let shapes = [(0, 9, 0, 0, 0); 4];
    let mut index = PlanIndex::new(PlanSettings::default());
    index.update(&sheet(&shapes));
    let view = view(&shapes);
    let chosen: std::collections::BTreeSet<EndpointId> = (0..4)
        .filter_map(|tie_breaker| plan(&index, &view, &[], tie_breaker))
        .map(|chain| chain.stages[0].endpoint.clone())
        .collect();
    assert_eq!(chosen.len(), 4);
}
