//! Selects engines so that every range of a template has memory for the same number of tokens.

use dandeliondeal_types::LayerRange;

use crate::card_table::CardTable;
use crate::layout_template::LayoutTemplate;

/// Number of bisection steps of the token count.
const TARGET_STEPS: u32 = 10;
/// Tolerance of comparisons of token counts.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// An engine that can be assigned to a range.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CoverEngine {
    /// Index of its kind in the card table.
    pub(crate) kind: usize,
    /// Index of the range that it holds, if the template has that range.
    pub(crate) held: Option<usize>,
}

/// Which engines a cover may move away from the range that they hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MovePolicy {
    /// None; only engines without a range are assigned.
    None,
    /// Those that their range does not need.
    Surplus,
    /// All of them.
    Any,
}

/// Engines assigned to ranges.
#[derive(Clone, Debug, Default)]
pub(crate) struct LayerCover {
    /// Tokens that fit on every main range, with substitutes where wide ranges have less.
    pub(crate) tokens: f64,
    /// Index of the range of each engine; `None` for engines that the cover does not need.
    pub(crate) assigned: Vec<Option<usize>>,
    /// Tokens that fit on the engines of each range, at least as many as the cover needs.
    pub(crate) capacities: Vec<f64>,
}

/// Ranges of a template with what a cover needs of them.
#[derive(Debug)]
pub(crate) struct CoverRanges<'plan> {
    table: &'plan CardTable<'plan>,
    ranges: Vec<LayerRange>,
    wide_count: usize,
    main_count: usize,
    /// Indices of all ranges but the wide ones, the longest first.
    narrow_order: Vec<usize>,
}

impl<'plan> CoverRanges<'plan> {
    pub(crate) fn new(table: &'plan CardTable<'plan>, template: &LayoutTemplate) -> Self {
        let ranges = template.all_ranges();
        let mut narrow_order: Vec<usize> = (template.wide_count..ranges.len()).collect();
        narrow_order.sort_by_key(|index| std::cmp::Reverse(ranges[*index].len()));
        Self {
            table,
            ranges,
            wide_count: template.wide_count,
            main_count: template.main_ranges.len(),
            narrow_order,
        }
    }

    /// Returns the number of ranges.
    pub(crate) fn len(&self) -> usize {
        self.ranges.len()
    }

    /// Returns the number of main ranges.
    pub(crate) fn main_count(&self) -> usize {
        self.main_count
    }

    /// Returns the number of wide ranges, which are the first of the main ranges.
    pub(crate) fn wide_count(&self) -> usize {
        self.wide_count
    }

    /// Returns whether an engine of a kind may hold a range.
    pub(crate) fn fits(&self, kind: usize, index: usize) -> bool {
        self.table.max_layers(kind) >= self.ranges[index].len()
    }

    /// Returns the token capacity of an engine of a kind that holds a range.
    pub(crate) fn capacity(&self, kind: usize, index: usize) -> f64 {
        self.table.capacity(kind, self.ranges[index])
    }

    /// Returns the cover with the most tokens.
    ///
    /// `engines` have to be sorted by the layers that their cards can hold; those with the smallest
    /// cards are preferred. `base` is the capacity that each range has without them.
    pub(crate) fn find_cover(
        &self,
        engines: &[CoverEngine],
        base: &[f64],
        policy: MovePolicy,
    ) -> LayerCover {
        let capacity = |engine: &CoverEngine| {
            let capacities = (0..self.main_count).map(|index| self.capacity(engine.kind, index));
            capacities.fold(0.0, f64::max)
        };
        let base_total: f64 = base.iter().sum();
        let total = engines.iter().map(capacity).sum::<f64>() + base_total;
        let mut best = LayerCover {
            tokens: 0.0,
            assigned: vec![None; engines.len()],
            capacities: base.to_vec(),
        };
        let (mut low, mut high) = (0.0, total / self.main_count.max(1) as f64);
        for _ in 0..TARGET_STEPS {
            let tokens = f64::midpoint(low, high);
            match self.try_cover(engines, base, policy, tokens) {
                Some(cover) => {
                    best = cover;
                    low = tokens;
                }
                None => high = tokens,
            }
        }
        best
    }

    /// Returns a cover with at least `tokens` tokens on every main range, if there is one.
    fn try_cover(
        &self,
        engines: &[CoverEngine],
        base: &[f64],
        policy: MovePolicy,
        tokens: f64,
    ) -> Option<LayerCover> {
        let mut draft = CoverDraft {
            ranges: self,
            engines,
            has_holders: engines.iter().any(|engine| engine.held.is_some()),
            policy,
            assigned: vec![None; engines.len()],
            capacities: base.to_vec(),
        };
        let mut substituted_tokens: f64 = 0.0;
        for index in 0..self.wide_count {
            draft.keep_held(index, tokens);
            let missing = draft.fill(index, tokens);
            if missing > 0.0 && self.main_count == self.len() {
                return None;
            }
            substituted_tokens = substituted_tokens.max(missing);
        }
        let required = |index: usize| {
            if index < self.main_count {
                tokens
            } else {
                substituted_tokens
            }
        };
        if policy != MovePolicy::Any {
            for index in &self.narrow_order {
                draft.keep_held(*index, required(*index));
            }
        }
        for index in &self.narrow_order {
            if policy == MovePolicy::Any {
                draft.keep_held(*index, required(*index));
            }
            if draft.fill(*index, required(*index)) > 0.0 {
                return None;
            }
        }
        Some(LayerCover {
            tokens,
            assigned: draft.assigned,
            capacities: draft.capacities,
        })
    }
}

/// A cover under construction.
struct CoverDraft<'plan> {
    ranges: &'plan CoverRanges<'plan>,
    engines: &'plan [CoverEngine],
    has_holders: bool,
    policy: MovePolicy,
    assigned: Vec<Option<usize>>,
    capacities: Vec<f64>,
}

impl CoverDraft<'_> {
    fn assign(&mut self, position: usize, index: usize) {
        self.assigned[position] = Some(index);
        self.capacities[index] += self.ranges.capacity(self.engines[position].kind, index);
    }

    fn is_covered(&self, index: usize, tokens: f64) -> bool {
        self.capacities[index] + TOKEN_TOLERANCE >= tokens
    }

    /// Assigns holders of a range to it until it has the required capacity.
    fn keep_held(&mut self, index: usize, tokens: f64) {
        if !self.has_holders {
            return;
        }
        for position in 0..self.engines.len() {
            if self.is_covered(index, tokens) {
                return;
            }
            if self.engines[position].held == Some(index) && self.assigned[position].is_none() {
                self.assign(position, index);
            }
        }
    }

    /// Assigns other engines to a range; returns the capacity that is still missing.
    ///
    /// Engines without a range come first.
    fn fill(&mut self, index: usize, tokens: f64) -> f64 {
        let ranges = self.ranges;
        let is_small = |engine: &CoverEngine| !ranges.fits(engine.kind, index);
        let first_fitting = self.engines.partition_point(is_small);
        for may_move in [false, true] {
            if may_move && (self.policy == MovePolicy::None || !self.has_holders) {
                break;
            }
            for position in first_fitting..self.engines.len() {
                if self.is_covered(index, tokens) {
                    return 0.0;
                }
                let is_candidate = self.assigned[position].is_none()
                    && self.engines[position].held.is_some() == may_move;
                if is_candidate {
                    self.assign(position, index);
                }
            }
        }
        if self.is_covered(index, tokens) {
            0.0
        } else {
            tokens - self.capacities[index]
        }
    }
}
