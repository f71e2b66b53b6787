//! Orders to a stand-in engine and what they left it with.

use std::sync::Arc;

use dandeliondeal_types::{FencingNumber, LayerRange, ModelId};
use serde::Deserialize;
use serde_json::{Value, json};

use super::EngineSettings;

/// The fields of an order that the engine acts on; the rest is kept for the read-back.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct OrderFields {
    #[serde(alias = "fence", alias = "fencing")]
    pub(crate) fencing_number: FencingNumber,
    pub(crate) life_milliseconds: Option<u64>,
    pub(crate) model: Option<ModelId>,
    pub(crate) version: Option<Arc<str>>,
    pub(crate) adapter: Option<Arc<str>>,
    pub(crate) role: Option<Arc<str>>,
    pub(crate) layers: Option<u32>,
    pub(crate) start: Option<u32>,
    pub(crate) end: Option<u32>,
}

/// What the engine runs and whom it last obeyed.
#[derive(Clone, Debug)]
pub(crate) struct OrderState {
    pub(crate) model: ModelId,
    pub(crate) version: Arc<str>,
    pub(crate) adapter: Option<Arc<str>>,
    pub(crate) role: Arc<str>,
    pub(crate) layers: u32,
    pub(crate) range: LayerRange,
    pub(crate) highest_fence: FencingNumber,
    last: Value,
    applied: u64,
}

impl OrderState {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            model: Arc::clone(&settings.model),
            version: Arc::clone(&settings.version),
            adapter: None,
            role: Arc::clone(&settings.role),
            layers: settings.layers,
            range: settings.range,
            highest_fence: 0,
            last: Value::Null,
            applied: 0,
        }
    }

    /// Whether the order changes the weights that the engine holds.
    pub(crate) fn is_load(&self, order: &OrderFields) -> bool {
        let is_other =
            |new: &Option<Arc<str>>, old: &Arc<str>| new.as_ref().is_some_and(|new| new != old);
        is_other(&order.model, &self.model)
            || is_other(&order.version, &self.version)
            || (order.adapter.is_some() && order.adapter != self.adapter)
            || self.ordered_range(order) != self.range
    }

    /// Takes over what the order names and leaves the rest.
    pub(crate) fn apply(&mut self, order: OrderFields, raw: Value) {
        self.range = self.ordered_range(&order);
        self.model = order.model.unwrap_or_else(|| Arc::clone(&self.model));
        self.version = order.version.unwrap_or_else(|| Arc::clone(&self.version));
        self.adapter = order.adapter.or_else(|| self.adapter.clone());
        self.role = order.role.unwrap_or_else(|| Arc::clone(&self.role));
        self.layers = order.layers.unwrap_or(self.layers);
        self.highest_fence = self.highest_fence.max(order.fencing_number);
        self.last = raw;
        self.applied += 1;
    }

    pub(crate) fn report(&self) -> Value {
        json!({
            "model": self.model,
            "version": self.version,
            "adapter": self.adapter,
            "role": self.role,
            "start": self.range.start,
            "end": self.range.end,
            "fencing_number": self.highest_fence,
            "applied": self.applied,
            "last": self.last,
        })
    }

    fn ordered_range(&self, order: &OrderFields) -> LayerRange {
        LayerRange::new(
            order.start.unwrap_or(self.range.start),
            order.end.unwrap_or(self.range.end),
        )
    }
}
