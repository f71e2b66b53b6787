//! Orders to a stand-in engine and the state that results from them.

use std::sync::Arc;

use dandeliondeal_types::{FencingNumber, LayerRange, ModelId};
use serde::Deserialize;
use serde_json::{Value, json};

use super::EngineSettings;

/// The fields of an order that the engine applies; other fields are stored only for the report.
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

/// The loaded model, the role, and the highest fencing number of any applied order.
#[derive(Clone, Debug)]
pub(crate) struct OrderState {
    pub(crate) model: ModelId,
    pub(crate) version: Arc<str>,
    pub(crate) adapter: Option<Arc<str>>,
    pub(crate) role: Arc<str>,
    pub(crate) layers: u32,
    pub(crate) range: LayerRange,
    pub(crate) highest_fencing_number: FencingNumber,
    last_order: Value,
    applied_count: u64,
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
            highest_fencing_number: 0,
            last_order: Value::Null,
            applied_count: 0,
        }
    }

    /// Returns whether the order requires the engine to load other weights.
    pub(crate) fn requires_load(&self, order: &OrderFields) -> bool {
        let is_different = |ordered: &Option<Arc<str>>, loaded: &Arc<str>| {
            ordered.as_ref().is_some_and(|ordered| ordered != loaded)
        };
        is_different(&order.model, &self.model)
            || is_different(&order.version, &self.version)
            || (order.adapter.is_some() && order.adapter != self.adapter)
            || self.ordered_range(order) != self.range
    }

    /// Applies the fields that the order contains and leaves the others unchanged.
    pub(crate) fn apply(&mut self, order: OrderFields, raw: Value) {
        self.range = self.ordered_range(&order);
        self.model = order.model.unwrap_or_else(|| Arc::clone(&self.model));
        self.version = order.version.unwrap_or_else(|| Arc::clone(&self.version));
        self.adapter = order.adapter.or_else(|| self.adapter.clone());
        self.role = order.role.unwrap_or_else(|| Arc::clone(&self.role));
        self.layers = order.layers.unwrap_or(self.layers);
        self.highest_fencing_number = self.highest_fencing_number.max(order.fencing_number);
        self.last_order = raw;
        self.applied_count += 1;
    }

    pub(crate) fn report(&self) -> Value {
        json!({
            "model": self.model,
            "version": self.version,
            "adapter": self.adapter,
            "role": self.role,
            "start": self.range.start,
            "end": self.range.end,
            "fencing_number": self.highest_fencing_number,
            "applied": self.applied_count,
            "last": self.last_order,
        })
    }

    fn ordered_range(&self, order: &OrderFields) -> LayerRange {
        LayerRange::new(
            order.start.unwrap_or(self.range.start),
            order.end.unwrap_or(self.range.end),
        )
    }
}
