//! How the layers of a model are cut into ranges that engines hold.

use std::ops::Range;

use dandeliondeal_types::LayerRange;

use crate::card_supply::CardSupply;
use crate::engine_profile::EngineProfile;
use crate::layout_planner::EngineState;
use crate::template_search;

/// A cut of a model's layers: wide ranges for large cards first, then middle and narrow ones.
///
/// All chains use the same cut, so that any engine of a range can stand in for any other.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LayoutTemplate {
    /// The ranges in order; together they are all layers.
    pub ranges: Vec<LayerRange>,
    /// How many of the first ranges are wide.
    pub wide: usize,
    /// How many of the ranges after the wide ones are too long for the smallest cards.
    pub middle: usize,
    /// The wide ranges' layers in narrow ranges, with which small cards form chains alone.
    pub split: Vec<LayerRange>,
}

/// Which cards a range is meant for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RangeWidth {
    /// Large cards.
    Wide,
    /// Cards that hold more than the smallest.
    Middle,
    /// Any card but large ones.
    Narrow,
}

/// Cards of each width.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WidthCounts {
    /// Large cards.
    pub wide: usize,
    /// Cards that can hold the middle ranges.
    pub middle: usize,
    /// Cards that can hold narrow ranges only.
    pub narrow: usize,
}

/// Whole chains that a set of cards can form.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChainCounts {
    /// With wide ranges on large cards.
    pub mixed: usize,
    /// On small cards alone.
    pub alone: usize,
}

impl LayoutTemplate {
    /// The cut with the most chains, and among those the one that serves most requests at once.
    ///
    /// A cut that engines already hold is given up only for at least twice its chains. `None` if no
    /// cut gives a chain.
    pub fn choose(profile: &EngineProfile, engines: &[EngineState], tokens: f64) -> Option<Self> {
        template_search::best(&CardSupply::from_engines(profile, engines, tokens))
    }

    /// Whether `range` is one of the cut.
    pub fn has(&self, range: LayerRange) -> bool {
        self.ranges.contains(&range) || self.split.contains(&range)
    }

    /// All ranges: those of the cut, then the narrow ones of the wide ranges' layers.
    pub fn all_ranges(&self) -> Vec<LayerRange> {
        let ranges = self.ranges.iter().chain(&self.split);
        ranges.copied().collect()
    }

    /// Width of a range by its index among all ranges.
    pub fn width(&self, index: usize) -> RangeWidth {
        if index < self.wide {
            RangeWidth::Wide
        } else if index < self.wide + self.middle {
            RangeWidth::Middle
        } else {
            RangeWidth::Narrow
        }
    }

    /// Indices of the narrow ranges of the wide ranges' layers.
    pub fn split_indices(&self) -> Range<usize> {
        self.ranges.len()..self.ranges.len() + self.split.len()
    }

    /// The longest range that a card which can hold `limit` layers is meant for; `None` if it is
    /// too small for all.
    pub fn width_of(&self, limit: u32) -> Option<RangeWidth> {
        let fits = |index: usize| {
            let range = self.ranges.get(index);
            range.is_some_and(|range| range.len() <= limit)
        };
        let longest_narrow = self.ranges[self.wide + self.middle..]
            .iter()
            .chain(&self.split)
            .map(|range| range.len())
            .max();
        if self.wide > 0 && fits(0) {
            Some(RangeWidth::Wide)
        } else if self.middle > 0 && fits(self.wide) {
            Some(RangeWidth::Middle)
        } else if longest_narrow.is_some_and(|longest| longest <= limit) {
            Some(RangeWidth::Narrow)
        } else {
            None
        }
    }

    /// Whole chains that cards of these counts can form.
    pub fn chains(&self, cards: WidthCounts) -> ChainCounts {
        let main = self.ranges.len() - self.wide;
        let small = cards.middle + cards.narrow;
        let most = |large: usize, small: usize, middle: usize, small_ranges: usize| {
            let wide = large.checked_div(self.wide);
            let narrow = small.checked_div(small_ranges);
            let middle = middle.checked_div(self.middle);
            [wide, narrow, middle].into_iter().flatten().min()
        };
        let mixed = if self.wide == 0 {
            0
        } else {
            most(cards.wide, small, cards.middle, main).unwrap_or(0)
        };
        let alone_ranges = main + self.split.len();
        let alone = most(
            usize::MAX,
            small - mixed * main,
            cards.middle - mixed * self.middle,
            alone_ranges,
        );
        let alone = if alone_ranges == 0 {
            0
        } else {
            alone.unwrap_or(0)
        };
        ChainCounts { mixed, alone }
    }
}
