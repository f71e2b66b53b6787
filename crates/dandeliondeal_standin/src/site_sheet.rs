//! The sheet of a small site: route `desk` over stand-in engines of one model.

use std::net::SocketAddr;
use std::sync::Arc;

use dandeliondeal_types::sheet_model::{
    AcceleratorEntry, EndpointEntry, EndpointTarget, ModelEntry, OrganisationEntry, PipelineEntry,
    RouteEntry,
};
use dandeliondeal_types::{LayerRange, OrganisationId, SheetModel};

/// What a [`site_sheet`] says beside its engines.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Layers of the model `model-a`.
    pub layers: u32,
    /// Longest prompt and answer together, in tokens.
    pub context_tokens: u32,
    /// Sessions or calls at once at each endpoint.
    pub capacity: u32,
    /// Organisations, each with the SHA-256 of its key.
    pub organisations: Vec<(OrganisationId, Arc<str>)>,
}

/// The sheet at revision 1, with `engines` named `engine-1` and so on.
pub fn site_sheet(settings: &SiteSettings, engines: &[(SocketAddr, LayerRange)]) -> SheetModel {
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
        let entry = site_endpoint(settings, *address, target);
        let name = format!("engine-{}", index + 1);
        sheet.endpoints.insert(name.into(), entry);
    }
    sheet
}

/// An endpoint of the site.
pub fn site_endpoint(
    settings: &SiteSettings,
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
