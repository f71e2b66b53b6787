//! The site that measurements run: a route over stand-in engines.

use dandeliondeal_entry::route_table::key_hash;
use dandeliondeal_standin::{EngineSettings, EngineStandin};
use dandeliondeal_types::sheet_model::{
    AcceleratorEntry, EndpointEntry, EndpointTarget, ModelEntry, OrganisationEntry, PipelineEntry,
    RouteEntry,
};
use dandeliondeal_types::{LayerRange, SheetModel};

/// Key of the only organisation.
pub const SITE_KEY: &str = "measure-key";
/// Layers of the model `model-a`.
pub const SITE_LAYERS: u32 = 8;

/// Sessions at once at each engine.
const ENGINE_CAPACITY: u32 = 256;

/// Settings of an engine for `range` of the site's model.
pub fn engine_settings(range: LayerRange, layer_microseconds: u64) -> EngineSettings {
    EngineSettings {
        model: "model-a".into(),
        layers: SITE_LAYERS,
        range,
        layer_microseconds,
        capacity: ENGINE_CAPACITY as usize,
        ..EngineSettings::default()
    }
}

/// The sheet of the site: route `desk` over `engines`, named `engine-1` and so on.
pub fn site_sheet(engines: &[(EngineStandin, LayerRange)]) -> SheetModel {
    let mut sheet = SheetModel {
        revision: 1,
        ..SheetModel::default()
    };
    let model = ModelEntry {
        layers: SITE_LAYERS,
        context_tokens: 8_192,
        version: "1".into(),
    };
    sheet.models.insert("model-a".into(), model);
    let pipeline = PipelineEntry {
        model: "model-a".into(),
        failure_domains: Vec::new(),
    };
    sheet.pipelines.insert("pipeline-a".into(), pipeline);
    let route = RouteEntry {
        pipeline: "pipeline-a".into(),
        repeatable: true,
        priority: 5,
    };
    sheet.routes.insert("desk".into(), route);
    sheet.accelerators.insert(
        "a10".into(),
        AcceleratorEntry {
            layer_nanoseconds: 50_000,
        },
    );
    let organisation = OrganisationEntry {
        key_hashes: vec![key_hash(SITE_KEY)],
        weight: 1,
    };
    sheet.organisations.insert("org-a".into(), organisation);
    for (index, (engine, range)) in engines.iter().enumerate() {
        let entry = EndpointEntry {
            address: engine.address(),
            target: EndpointTarget::Layers {
                model: "model-a".into(),
                range: *range,
            },
            accelerator: "a10".into(),
            failure_domain: "domain-a".into(),
            region: "region-a".into(),
            checks_fencing: true,
            capacity: ENGINE_CAPACITY,
        };
        sheet
            .endpoints
            .insert(format!("engine-{}", index + 1).into(), entry);
    }
    sheet
}
