//! Token capacity of each kind of accelerator by the number of layers that it holds.

use dandeliondeal_types::LayerRange;

use crate::engine_profile::EngineProfile;
use crate::layout_planner::EngineState;

/// One kind of accelerator.
#[derive(Clone, Debug)]
struct KindRow<'plan> {
    kind: &'plan str,
    max_layers: u32,
    /// Token capacity by the number of layers.
    capacities: Vec<f64>,
    /// Token capacity as the first engine of chains, by the number of layers.
    first_capacities: Vec<f64>,
}

/// Capacities of the kinds of a profile, computed once for a plan.
#[derive(Clone, Debug)]
pub(crate) struct CardTable<'plan> {
    layers: u32,
    kinds: Vec<KindRow<'plan>>,
}

impl<'plan> CardTable<'plan> {
    /// Creates the table; a card holds only as many layers as leave memory for `min_tokens` tokens.
    pub(crate) fn new(profile: &'plan EngineProfile, min_tokens: f64) -> Self {
        let kinds = profile.cards.iter().map(|card| KindRow {
            kind: &card.kind,
            max_layers: profile.max_layers(card, min_tokens),
            capacities: (0..=profile.layers)
                .map(|layers| profile.token_capacity(card, layers))
                .collect(),
            first_capacities: (0..=profile.layers)
                .map(|layers| profile.range_capacity(card, LayerRange::new(0, layers)))
                .collect(),
        });
        Self {
            layers: profile.layers,
            kinds: kinds.collect(),
        }
    }

    /// Returns the number of layers of the model.
    pub(crate) fn layers(&self) -> u32 {
        self.layers
    }

    /// Returns the index of an engine's kind if its cards can hold at least one layer.
    pub(crate) fn kind_of(&self, engine: &EngineState) -> Option<usize> {
        let index = self
            .kinds
            .iter()
            .position(|row| *row.kind == *engine.kind)?;
        (self.kinds[index].max_layers > 0).then_some(index)
    }

    /// Returns the maximum number of layers on a card of a kind.
    pub(crate) fn max_layers(&self, kind: usize) -> u32 {
        self.kinds[kind].max_layers
    }

    /// Returns the number of tokens that the requests on a card of a kind with `range` may use.
    pub(crate) fn capacity(&self, kind: usize, range: LayerRange) -> f64 {
        let row = &self.kinds[kind];
        let capacities = if range.start == 0 {
            &row.first_capacities
        } else {
            &row.capacities
        };
        let capacity = capacities.get(range.len() as usize);
        capacity.copied().unwrap_or(0.0)
    }

    /// Returns the distinct limits of layers of all kinds in ascending order.
    pub(crate) fn layer_limits(&self) -> Vec<u32> {
        let limits = self.kinds.iter().map(|row| row.max_layers);
        let mut limits: Vec<u32> = limits.filter(|limit| *limit > 0).collect();
        limits.sort_unstable();
        limits.dedup();
        limits
    }
}
