//! Plans a chain of engines that together run all layers of a model.

use std::error::Error;

use dandeliondeal::pipeline::{PlanChain, PlanIndex, PlanQuery, PlanSettings};
use dandeliondeal::prelude::{LayerRange, SheetModel};
use dandeliondeal::types::sheet_model::{AcceleratorEntry, EndpointEntry, EndpointTarget};
use dandeliondeal::types::{EndpointId, IdleView};

fn engine(kind: &str, range: LayerRange) -> EndpointEntry {
    let model = "draft".into();
    EndpointEntry {
        address: ([127, 0, 0, 1], 7001).into(),
        target: EndpointTarget::Layers { model, range },
        accelerator: kind.into(),
        failure_domain: "domain-a".into(),
        region: "region-a".into(),
        checks_fencing: true,
        capacity: 4,
    }
}

/// Returns a sheet with two fast engines, each for half of the layers, and a slow one for all.
fn sheet() -> SheetModel {
    let mut sheet = SheetModel::default();
    for (kind, layer_nanoseconds) in [("fast", 50_000), ("slow", 900_000)] {
        let entry = AcceleratorEntry { layer_nanoseconds };
        sheet.accelerators.insert(kind.into(), entry);
    }
    sheet.endpoints.extend([
        ("front".into(), engine("fast", LayerRange::new(0, 4))),
        ("back".into(), engine("fast", LayerRange::new(4, 8))),
        ("whole".into(), engine("slow", LayerRange::new(0, 8))),
    ]);
    sheet
}

fn plan(index: &PlanIndex, avoid: &[EndpointId]) -> Option<PlanChain> {
    let query = PlanQuery {
        model: &"draft".into(),
        range: LayerRange::new(0, 8),
        failure_domains: &[],
        instance_domain: &"domain-a".into(),
        avoid,
        tie_breaker: 0,
    };
    // The view provides the load and health of endpoints; here all are usable and idle.
    index.plan(&query, &IdleView)
}

fn show_chain(chain: &PlanChain) {
    for stage in &chain.stages {
        println!("  {}: layers {}", stage.endpoint, stage.range);
    }
    println!("  time of a token: {:?}", chain.cost);
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut index = PlanIndex::new(PlanSettings::default());
    println!("engines in the index: {}", index.update(&sheet()));
    // The two fast engines together cost less than the slow one, until one of them is excluded.
    show_chain(&plan(&index, &[]).ok_or("no chain with all engines")?);
    println!("without the engine `back`:");
    show_chain(&plan(&index, &["back".into()]).ok_or("no chain without `back`")?);
    // There is no plan unless every layer is covered, so that no request starts on a partial chain.
    let missing_plan = plan(&index, &["back".into(), "whole".into()]);
    println!("without `whole` as well: {missing_plan:?}");
    Ok(())
}
