//! A configuration sheet with one route to stand-in engines of one model.

use std::net::SocketAddr;
use std::sync::Arc;

use dandeliondeal_types::sheet_model::{
    AcceleratorEntry, EndpointEntry, EndpointTarget, ModelEntry, OrganisationEntry, PipelineEntry,
    RouteEntry,
};
use dandeliondeal_types::{LayerRange, OrganisationId, SheetModel};

/// Settings of an [`engine_sheet`], apart from the list of its engines.
#[derive(Clone, Debug)]
pub struct EngineSheetSettings {
    /// Number of layers of the model `model-a`.
    pub layers: u32,
    /// Maximum total length of prompt and answer, in tokens.
    pub context_tokens: u32,
    /// Maximum number of concurrent sessions or calls at each endpoint.
    pub capacity: u32,
    /// Organisations, each with the SHA-256 hash of its API key.
    pub organisations: Vec<(OrganisationId, Arc<str>)>,
}

/// Returns a sheet at revision 1 with the route `desk` and the engines `engine-1`, `engine-2`, ...
pub fn engine_sheet(
    settings: &EngineSheetSettings,
    engines: &[(SocketAddr, LayerRange)],
) -> SheetModel {
    let mut sheet = SheetModel {
        revision: 1,
        ..SheetModel::default()
    };
    let model = ModelEntry {
        layers: settings.layers,
        context_tokens: settings.context_tokens,
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
    let accelerator = AcceleratorEntry {
        layer_nanoseconds: 50_000,
    };
    sheet.accelerators.insert("a10".into(), accelerator);
    for (organisation, key_hash) in &settings.organisations {
        let entry = OrganisationEntry {
            key_hashes: vec![Arc::clone(key_hash)],
            weight: 1,
        };
        sheet.organisations.insert(Arc::clone(organisation), entry);
    }
    for (index, (address, range)) in engines.iter().enumerate() {
        let target = EndpointTarget::Layers {
            model: "model-a".into(),
            range: *range,
        };
        let entry = sheet_endpoint(settings, *address, target);
        let name = format!("engine-{}", index + 1);
        sheet.endpoints.insert(name.into(), entry);
    }
    sheet
}

/// Returns an endpoint of the sheet, at the given address.
pub fn sheet_endpoint(
    settings: &EngineSheetSettings,
    address: SocketAddr,
    target: EndpointTarget,
) -> EndpointEntry {
    EndpointEntry {
        address,
        target,
        accelerator: "a10".into(),
        failure_domain: "domain-a".into(),
        region: "region-a".into(),
        checks_fencing: true,
        capacity: settings.capacity,
    }
}
