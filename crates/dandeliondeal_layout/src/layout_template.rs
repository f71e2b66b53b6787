//! Divides the layers of a model into ranges that engines hold.

use std::ops::Range;

use dandeliondeal_types::LayerRange;

use crate::card_supply::CardSupply;
use crate::engine_profile::EngineProfile;
use crate::layout_planner::EngineState;
use crate::template_search;

/// A division of a model's layers: wide ranges for large cards first, then middle and narrow ones.
///
/// All chains use the same template, so that any engine of a range can replace any other.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LayoutTemplate {
    /// The main ranges in order; together they cover all layers.
    pub main_ranges: Vec<LayerRange>,
    /// Number of wide ranges, which are the first of the main ranges.
    pub wide_count: usize,
    /// Number of middle ranges, which follow the wide ones and are too long for the smallest cards.
    pub middle_count: usize,
    /// Narrow ranges that cover the layers of the wide ranges.
    ///
    /// With these, small cards can form chains without large cards.
    pub substitute_ranges: Vec<LayerRange>,
}

/// Length class of a range, which determines the cards that may hold it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RangeWidth {
    /// Ranges for large cards.
    Wide,
    /// Ranges for cards that hold more layers than the smallest ones.
    Middle,
    /// Ranges for any card except large ones.
    Narrow,
}

/// Number of cards of each width.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WidthCounts {
    /// Large cards.
    pub wide: usize,
    /// Cards that can hold the middle ranges.
    pub middle: usize,
    /// Cards that can hold only narrow ranges.
    pub narrow: usize,
}

/// Number of whole chains that a set of cards can form.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChainCounts {
    /// Chains with wide ranges on large cards.
    pub mixed: usize,
    /// Chains without large cards.
    pub small_only: usize,
}

impl LayoutTemplate {
    /// Selects the template with the most chains, then the one that serves most requests at once.
    ///
    /// Engines keep a template that they already hold unless another gives at least twice as many
    /// chains. Returns `None` if no template gives a chain.
    pub fn select(profile: &EngineProfile, engines: &[EngineState], tokens: f64) -> Option<Self> {
        template_search::find_best(&CardSupply::from_engines(profile, engines, tokens))
    }

    /// Returns whether `range` is one of the main or substitute ranges.
    pub fn contains(&self, range: LayerRange) -> bool {
        self.main_ranges.contains(&range) || self.substitute_ranges.contains(&range)
    }

    /// Returns all ranges: the main ranges, then the substitute ranges.
    pub fn all_ranges(&self) -> Vec<LayerRange> {
        let ranges = self.main_ranges.iter().chain(&self.substitute_ranges);
        ranges.copied().collect()
    }

    /// Returns the width of the range at `index` in [`all_ranges`](Self::all_ranges).
    pub fn range_width(&self, index: usize) -> RangeWidth {
        if index < self.wide_count {
            RangeWidth::Wide
        } else if index < self.wide_count + self.middle_count {
            RangeWidth::Middle
        } else {
            RangeWidth::Narrow
        }
    }

    /// Returns the indices of the substitute ranges in [`all_ranges`](Self::all_ranges).
    pub fn substitute_indices(&self) -> Range<usize> {
        self.main_ranges.len()..self.main_ranges.len() + self.substitute_ranges.len()
    }

    /// Returns the widest class of ranges that a card with room for `max_layers` layers can hold.
    ///
    /// Returns `None` if the card is too small for every range.
    pub fn card_width(&self, max_layers: u32) -> Option<RangeWidth> {
        let fits = |index: usize| {
            let range = self.main_ranges.get(index);
            range.is_some_and(|range| range.len() <= max_layers)
        };
        let longest_narrow = self.main_ranges[self.wide_count + self.middle_count..]
            .iter()
            .chain(&self.substitute_ranges)
            .map(|range| range.len())
            .max();
        if self.wide_count > 0 && fits(0) {
            Some(RangeWidth::Wide)
        } else if self.middle_count > 0 && fits(self.wide_count) {
            Some(RangeWidth::Middle)
        } else if longest_narrow.is_some_and(|longest| longest <= max_layers) {
            Some(RangeWidth::Narrow)
        } else {
            None
        }
    }

    /// Returns the number of whole chains that these cards can form.
    pub fn chain_counts(&self, cards: WidthCounts) -> ChainCounts {
        let small_ranges = self.main_ranges.len() - self.wide_count;
        let small_cards = cards.middle + cards.narrow;
        let max_chains =
            |wide_cards: usize, small_cards: usize, middle_cards: usize, small_ranges: usize| {
                let by_wide = wide_cards.checked_div(self.wide_count);
                let by_small = small_cards.checked_div(small_ranges);
                let by_middle = middle_cards.checked_div(self.middle_count);
                [by_wide, by_small, by_middle].into_iter().flatten().min()
            };
        let mixed = if self.wide_count == 0 {
            0
        } else {
            max_chains(cards.wide, small_cards, cards.middle, small_ranges).unwrap_or(0)
        };
        let small_only_ranges = small_ranges + self.substitute_ranges.len();
        let small_only = max_chains(
            usize::MAX,
            small_cards - mixed * small_ranges,
            cards.middle - mixed * self.middle_count,
            small_only_ranges,
        );
        let small_only = if small_only_ranges == 0 {
            0
        } else {
            small_only.unwrap_or(0)
        };
        ChainCounts { mixed, small_only }
    }
}
