//! Cards of each kind that a fleet has, by the layers that they can hold.

use std::collections::BTreeMap;

use dandeliondeal_types::LayerRange;

use crate::engine_profile::{CardProfile, EngineProfile};
use crate::layout_planner::EngineState;

/// Least factor between the layers of large and small cards that makes them cards of two widths.
const WIDTH_FACTOR: u32 = 2;

/// Cards of one kind.
#[derive(Clone, Debug)]
pub(crate) struct KindSupply<'plan> {
    pub(crate) card: &'plan CardProfile,
    /// Most layers beside which a card has memory for enough tokens.
    pub(crate) limit: u32,
    pub(crate) count: usize,
    /// Cards in each failure domain.
    pub(crate) domains: BTreeMap<&'plan str, usize>,
}

/// Cards of all kinds that can hold layers.
#[derive(Clone, Debug)]
pub(crate) struct CardSupply<'plan> {
    pub(crate) profile: &'plan EngineProfile,
    pub(crate) kinds: Vec<KindSupply<'plan>>,
    /// Engines by the range that they hold.
    pub(crate) held: BTreeMap<LayerRange, usize>,
}

/// Layers that cards of three widths can hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CardLimits {
    pub(crate) narrow: u32,
    /// The narrow limit again where no card lies between.
    pub(crate) middle: u32,
    pub(crate) wide: u32,
}

impl<'plan> CardSupply<'plan> {
    /// Counts the cards that have memory for a layer and for `tokens` tokens beside it.
    pub(crate) fn count(
        profile: &'plan EngineProfile,
        engines: &'plan [EngineState],
        tokens: f64,
    ) -> Self {
        let mut kinds: Vec<KindSupply<'plan>> = Vec::new();
        let mut held: BTreeMap<LayerRange, usize> = BTreeMap::new();
        for engine in engines {
            let Some(card) = profile.card(&engine.kind) else {
                continue;
            };
            let found = kinds
                .iter()
                .position(|kind| std::ptr::eq(kind.card, card))
                .unwrap_or_else(|| {
                    kinds.push(KindSupply {
                        card,
                        limit: profile.layer_limit(card, tokens),
                        count: 0,
                        domains: BTreeMap::new(),
                    });
                    kinds.len() - 1
                });
            let kind = &mut kinds[found];
            if kind.limit == 0 {
                continue;
            }
            kind.count += 1;
            *kind.domains.entry(&engine.failure_domain).or_default() += 1;
            if let Some(range) = engine.held {
                *held.entry(range).or_default() += 1;
            }
        }
        kinds.retain(|kind| kind.count > 0);
        kinds.sort_by_key(|kind| kind.limit);
        Self {
            profile,
            kinds,
            held,
        }
    }

    /// Widths of the cards; `None` without any.
    pub(crate) fn limits(&self) -> Option<CardLimits> {
        let narrow = self.kinds.first()?.limit;
        let largest = self.kinds.last()?.limit;
        let wide = if largest < narrow * WIDTH_FACTOR {
            narrow
        } else {
            largest
        };
        let between = |limit: &u32| *limit > narrow && *limit < wide;
        let middle = self.kinds.iter().map(|kind| kind.limit).find(between);
        Some(CardLimits {
            narrow,
            middle: middle.unwrap_or(narrow),
            wide,
        })
    }

    /// Number of cards.
    pub(crate) fn len(&self) -> usize {
        self.kinds.iter().map(|kind| kind.count).sum()
    }

    /// Failure domains that have cards.
    pub(crate) fn domains(&self) -> Vec<&'plan str> {
        let domains = self.kinds.iter().flat_map(|kind| kind.domains.keys());
        let mut domains: Vec<&'plan str> = domains.copied().collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }
}

impl KindSupply<'_> {
    /// Cards in a failure domain, or in all.
    pub(crate) fn count_in(&self, domain: Option<&str>) -> usize {
        match domain {
            None => self.count,
            Some(domain) => self.domains.get(domain).copied().unwrap_or(0),
        }
    }
}
