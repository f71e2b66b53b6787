//! Desired and reported states of endpoints, and the orders sent to them.

use std::collections::BTreeMap;
use std::sync::Arc;

use dandeliondeal_types::sheet_model::EndpointTarget;
use dandeliondeal_types::{EndpointId, FencingNumber, Layer, LayerRange, ModelId, SheetModel};
use serde::{Deserialize, Serialize};

/// Model layers that an engine has loaded.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EngineContent {
    /// Model that the layers belong to.
    pub model: ModelId,
    /// Version of the model weights.
    pub version: Arc<str>,
    /// Index of the first layer.
    pub start: Layer,
    /// Index one past the last layer.
    pub end: Layer,
}

/// State that the sheet requires of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredState {
    /// Layers that the endpoint has to load.
    pub content: EngineContent,
    /// Number of layers of the whole model.
    pub layers: u32,
    /// Whether the endpoint refuses orders with a fencing number older than one it has seen.
    pub checks_fencing: bool,
}

/// Order to one endpoint, in the form in which it is sent.
///
/// Contains the full desired state, so that applying it twice has the same effect as once.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EndpointOrder {
    /// Fencing number of the sender's lease.
    pub fencing_number: FencingNumber,
    /// Time after arrival within which the endpoint may apply the order, in milliseconds.
    pub life_milliseconds: u64,
    /// Number of layers of the whole model.
    pub layers: u32,
    /// Layers that the endpoint has to load.
    #[serde(flatten)]
    pub content: EngineContent,
}

/// Returns the desired state of each endpoint of the sheet that serves model layers.
pub fn desired_states(sheet: &SheetModel) -> BTreeMap<EndpointId, DesiredState> {
    let mut desired = BTreeMap::new();
    for (endpoint, entry) in &sheet.endpoints {
        let EndpointTarget::Layers { model, range } = &entry.target else {
            continue;
        };
        let Some(model_entry) = sheet.models.get(model) else {
            continue;
        };
        let state = DesiredState {
            content: engine_content(model, &model_entry.version, *range),
            layers: model_entry.layers,
            checks_fencing: entry.checks_fencing,
        };
        desired.insert(Arc::clone(endpoint), state);
    }
    desired
}

fn engine_content(model: &ModelId, version: &Arc<str>, range: LayerRange) -> EngineContent {
    EngineContent {
        model: Arc::clone(model),
        version: Arc::clone(version),
        start: range.start,
        end: range.end,
    }
}
