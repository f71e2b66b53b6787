//! Plans a chain of engines over the layers of one model.

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

/// Two fast engines that hold half of the model each, and a slow one that holds all of it.
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
        domains: &[],
        home: &"domain-a".into(),
        avoid,
        spread: 0,
    };
    // The view tells load and health; here every endpoint is usable and idle.
    index.plan(&query, &IdleView)
}

fn show(chain: &PlanChain) {
    for stage in &chain.stages {
        println!("  {}: layers {}", stage.endpoint, stage.range);
    }
    println!("  time of a token: {:?}", chain.cost);
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut index = PlanIndex::new(PlanSettings::default());
    println!("engines in the index: {}", index.update(&sheet()));
    // Two hops to fast engines are cheaper than one to a slow engine, until one is lost.
    show(&plan(&index, &[]).ok_or("no chain over all engines")?);
    println!("without the engine `back`:");
    show(&plan(&index, &["back".into()]).ok_or("no chain without `back`")?);
    // A plan covers every layer or is none: no request starts into a gap.
    let rest = plan(&index, &["back".into(), "whole".into()]);
    println!("without `whole` as well: {rest:?}");
    Ok(())
}
