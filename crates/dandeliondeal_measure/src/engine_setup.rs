//! Settings and a sheet for measurements that route requests over stand-in engines.

use std::net::SocketAddr;

use dandeliondeal_entry::route_table::key_hash;
use dandeliondeal_standin::engine_sheet::{self, EngineSheetSettings};
use dandeliondeal_standin::{EngineSettings, EngineStandin};
use dandeliondeal_types::{LayerRange, SheetModel};

/// API key of the only organisation in the sheet.
pub const API_KEY: &str = "measure-key";
/// Number of layers of the model `model-a`.
pub const MODEL_LAYERS: u32 = 8;

/// Maximum concurrent sessions at each engine.
const ENGINE_CAPACITY: u32 = 256;

/// Returns the settings of an engine for layers `range` of the model.
pub fn engine_settings(range: LayerRange, layer_microseconds: u64) -> EngineSettings {
    EngineSettings {
        model: "model-a".into(),
        layers: MODEL_LAYERS,
        range,
        layer_microseconds,
        capacity: ENGINE_CAPACITY as usize,
        ..EngineSettings::default()
    }
}

/// Returns a sheet with the route `desk` over `engines`, which are named `engine-1` and so on.
pub fn engine_sheet(engines: &[(EngineStandin, LayerRange)]) -> SheetModel {
    let settings = EngineSheetSettings {
        layers: MODEL_LAYERS,
        context_tokens: 8_192,
        capacity: ENGINE_CAPACITY,
        organisations: vec![("org-a".into(), key_hash(API_KEY))],
    };
    let engines: Vec<(SocketAddr, LayerRange)> = engines
        .iter()
        .map(|(engine, range)| (engine.address(), *range))
        .collect();
    engine_sheet::engine_sheet(&settings, &engines)
}
