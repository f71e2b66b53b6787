//! What endpoints are ordered to be, and what they say they are.

use std::collections::BTreeMap;
use std::sync::Arc;

use dandeliondeal_types::sheet_model::EndpointTarget;
use dandeliondeal_types::{EndpointId, FencingNumber, Layer, LayerRange, ModelId, SheetModel};
use serde::{Deserialize, Serialize};

/// What an engine holds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EngineContent {
    /// The model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: Arc<str>,
    /// First layer.
    pub start: Layer,
    /// One past the last layer.
    pub end: Layer,
}

/// What an endpoint is to be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredState {
    /// What it is to hold.
    pub content: EngineContent,
    /// Number of layers of the whole model.
    pub layers: u32,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
}

/// An order to one endpoint, as it is sent.
///
/// It names the whole state, so that a repeat of it changes nothing.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EndpointOrder {
    /// Fencing number of the sender's lease.
    pub fencing_number: FencingNumber,
    /// Time after its arrival in which it may take effect, in milliseconds.
    pub life_milliseconds: u64,
    /// Number of layers of the whole model.
    pub layers: u32,
    /// What the endpoint is to hold.
    #[serde(flatten)]
    pub content: EngineContent,
}

/// The desired state of each engine of a sheet.
pub fn desired_states(sheet: &SheetModel) -> BTreeMap<EndpointId, DesiredState> {
    let mut states = BTreeMap::new();
    for (endpoint, entry) in &sheet.endpoints {
        let EndpointTarget::Layers { model, range } = &entry.target else {
            continue;
        };
        let Some(model_entry) = sheet.models.get(model) else {
            continue;
        };
        let state = DesiredState {
            content: content(model, &model_entry.version, *range),
            layers: model_entry.layers,
            checks_fencing: entry.checks_fencing,
        };
        states.insert(Arc::clone(endpoint), state);
    }
    states
}

fn content(model: &ModelId, version: &Arc<str>, range: LayerRange) -> EngineContent {
    EngineContent {
        model: Arc::clone(model),
        version: Arc::clone(version),
        start: range.start,
        end: range.end,
    }
}
