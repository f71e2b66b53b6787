//! The site that measurements run: a route over stand-in engines.

use std::net::SocketAddr;

use dandeliondeal_entry::route_table::key_hash;
use dandeliondeal_standin::site_sheet::{self, SiteSettings};
use dandeliondeal_standin::{EngineSettings, EngineStandin};
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
    let settings = SiteSettings {
        layers: SITE_LAYERS,
        context_tokens: 8_192,
        capacity: ENGINE_CAPACITY,
        organisations: vec![("org-a".into(), key_hash(SITE_KEY))],
    };
    let engines: Vec<(SocketAddr, LayerRange)> = engines
        .iter()
        .map(|(engine, range)| (engine.address(), *range))
        .collect();
    site_sheet::site_sheet(&settings, &engines)
}
