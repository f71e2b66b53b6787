//! Counts a fleet's accelerator cards by kind and by the number of layers that they can hold.

use std::collections::BTreeMap;

use dandeliondeal_types::LayerRange;

use crate::engine_profile::{CardProfile, EngineProfile};
use crate::layout_planner::EngineState;

/// Minimum ratio between the layer capacities of the largest and the smallest cards at which they
/// count as different widths.
const MIN_WIDTH_RATIO: u32 = 2;

/// Cards of one kind.
#[derive(Clone, Debug)]
pub(crate) struct KindSupply<'plan> {
    pub(crate) card: &'plan CardProfile,
    /// Maximum number of layers that leaves a card enough memory for the required tokens.
    pub(crate) max_layers: u32,
    pub(crate) card_count: usize,
    /// Number of cards by failure domain.
    pub(crate) domain_counts: BTreeMap<&'plan str, usize>,
}

/// Cards of all kinds that can hold at least one layer.
#[derive(Clone, Debug)]
pub(crate) struct CardSupply<'plan> {
    pub(crate) profile: &'plan EngineProfile,
    /// Kinds of card in ascending order of the layers that they can hold.
    pub(crate) kinds: Vec<KindSupply<'plan>>,
    /// Number of engines by the range that they currently hold.
    pub(crate) holder_counts: BTreeMap<LayerRange, usize>,
}

/// Maximum number of layers on a card of each width.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct WidthLimits {
    pub(crate) narrow: u32,
    /// Equal to `narrow` if no kind of card lies between the narrow and the wide limit.
    pub(crate) middle: u32,
    pub(crate) wide: u32,
}

impl<'plan> CardSupply<'plan> {
    /// Counts the cards that have memory for one layer plus the KV cache of `tokens` tokens.
    pub(crate) fn from_engines(
        profile: &'plan EngineProfile,
        engines: &'plan [EngineState],
        tokens: f64,
    ) -> Self {
        let mut kinds: Vec<KindSupply<'plan>> = Vec::new();
        let mut holder_counts: BTreeMap<LayerRange, usize> = BTreeMap::new();
        for engine in engines {
            let Some(card) = profile.card(&engine.kind) else {
                continue;
            };
            let kind_index = kinds
                .iter()
                .position(|kind| std::ptr::eq(kind.card, card))
                .unwrap_or_else(|| {
                    kinds.push(KindSupply {
                        card,
                        max_layers: profile.max_layers(card, tokens),
                        card_count: 0,
                        domain_counts: BTreeMap::new(),
                    });
                    kinds.len() - 1
                });
            let kind = &mut kinds[kind_index];
            if kind.max_layers == 0 {
                continue;
            }
            kind.card_count += 1;
            *kind
                .domain_counts
                .entry(&engine.failure_domain)
                .or_default() += 1;
            if let Some(range) = engine.held_range {
                *holder_counts.entry(range).or_default() += 1;
            }
        }
        kinds.retain(|kind| kind.card_count > 0);
        kinds.sort_by_key(|kind| kind.max_layers);
        Self {
            profile,
            kinds,
            holder_counts,
        }
    }

    /// Returns the layer limit of each width, or `None` if there are no cards.
    pub(crate) fn width_limits(&self) -> Option<WidthLimits> {
        let narrow = self.kinds.first()?.max_layers;
        let largest = self.kinds.last()?.max_layers;
        let wide = if largest < narrow * MIN_WIDTH_RATIO {
            narrow
        } else {
            largest
        };
        let is_between = |max_layers: &u32| *max_layers > narrow && *max_layers < wide;
        let middle = self
            .kinds
            .iter()
            .map(|kind| kind.max_layers)
            .find(is_between);
        Some(WidthLimits {
            narrow,
            middle: middle.unwrap_or(narrow),
            wide,
        })
    }

    /// Returns the number of cards of all kinds.
    pub(crate) fn card_count(&self) -> usize {
        self.kinds.iter().map(|kind| kind.card_count).sum()
    }

    /// Returns the failure domains that have cards, sorted by name.
    pub(crate) fn failure_domains(&self) -> Vec<&'plan str> {
        let domains = self.kinds.iter().flat_map(|kind| kind.domain_counts.keys());
        let mut domains: Vec<&'plan str> = domains.copied().collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }
}

impl KindSupply<'_> {
    /// Returns the number of cards in a failure domain, or in all of them for `None`.
    pub(crate) fn count_in(&self, domain: Option<&str>) -> usize {
        match domain {
            None => self.card_count,
            Some(domain) => self.domain_counts.get(domain).copied().unwrap_or(0),
        }
    }
}
