//! Divides the layers of a model into ranges that engines hold.

use std::ops::Range;

use dandeliondeal_types::LayerRange;

/// A division of a model's layers into ranges, the longest at the end of the model.
///
/// All chains use the same template, so that any engine of a range can replace any other. Chains
/// start with a short range, because those have the most holders: the first engine of a chain
/// accepts a limited number of requests, and those that it runs are interrupted if it fails.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LayoutTemplate {
    /// The main ranges, from the last to the first; together they cover all layers.
    pub main_ranges: Vec<LayerRange>,
    /// Number of wide ranges, which come first in `main_ranges` and need large cards.
    pub wide_count: usize,
    /// Narrow ranges that cover the layers of the wide ranges.
    ///
    /// With these, small cards can form chains without large cards.
    pub substitute_ranges: Vec<LayerRange>,
}

impl LayoutTemplate {
    /// Creates a template from groups of ranges, each given by its number of layers and of ranges,
    /// from the end of the model on.
    ///
    /// `wide_groups` is the number of groups whose ranges are wide, and `narrow_limit` the maximum
    /// length of substitute ranges.
    pub fn from_groups(groups: &[(u32, u32)], wide_groups: usize, narrow_limit: u32) -> Self {
        let model_layers: u32 = groups.iter().map(|(layers, _)| layers).sum();
        let mut main_ranges = Vec::new();
        let mut end = model_layers;
        let mut wide_count = 0;
        let mut wide_layers = 0;
        for (index, (layers, count)) in groups.iter().enumerate() {
            main_ranges.extend(divide_evenly(end, *layers, *count));
            end -= layers;
            if index < wide_groups {
                wide_count = main_ranges.len();
                wide_layers += layers;
            }
        }
        let substitute_count = wide_layers.div_ceil(narrow_limit.max(1));
        Self {
            main_ranges,
            wide_count,
            substitute_ranges: divide_evenly(model_layers, wide_layers, substitute_count),
        }
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

    /// Returns the indices of the substitute ranges in [`all_ranges`](Self::all_ranges).
    pub fn substitute_indices(&self) -> Range<usize> {
        self.main_ranges.len()..self.main_ranges.len() + self.substitute_ranges.len()
    }
}

/// Divides the `length` layers before `end` into `count` ranges of nearly equal length, the last one
/// first.
fn divide_evenly(end: u32, length: u32, count: u32) -> Vec<LayerRange> {
    (0..count)
        .map(|index| {
            let range_start = end - length * (index + 1) / count;
            let range_end = end - length * index / count;
            LayerRange::new(range_start, range_end)
        })
        .collect()
}
