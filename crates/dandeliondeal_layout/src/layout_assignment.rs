//! Assigns engines to the ranges of a template, moving as few as possible.
//!
//! Each failure domain first forms chains of its own, since the links between domains carry few
//! requests. The engines that a domain cannot use for that form chains across domains. All other
//! engines without layers join the range of their domain with the least memory.

use std::collections::BTreeMap;

use dandeliondeal_types::LayerRange;

use crate::card_table::CardTable;
use crate::layer_cover::{CoverEngine, CoverRanges, LayerCover, MovePolicy};
use crate::layout_planner::EngineState;
use crate::layout_template::LayoutTemplate;

/// Minimum gain in tokens, as a share of those without moves, that justifies moving engines.
const MIN_MOVE_GAIN: f64 = 0.2;
/// Tokens that a move has to gain, as a multiple of the mean tokens of an engine in the fleet.
///
/// An engine that moves first finishes the requests that use its layers, which takes up to ten
/// seconds in which it accepts no others.
const MOVE_COST: f64 = 1.5;

/// An engine with the range that it is assigned.
struct AssignedEngine<'plan> {
    state: &'plan EngineState,
    cover: CoverEngine,
    range: Option<usize>,
}

/// Engines of one service with their ranges; those that no card fits stay without one.
struct AssignmentDraft<'plan> {
    ranges: CoverRanges<'plan>,
    /// Engines with the smallest cards first, then by id.
    engines: Vec<AssignedEngine<'plan>>,
    /// Whether the engine is part of a cover, by position in `engines`.
    is_needed: Vec<bool>,
    /// Capacity that the covers of the domains leave unused, by range.
    unused: Vec<f64>,
    /// Tokens of all covers so far.
    tokens: f64,
    /// Tokens that each move has to gain.
    move_cost: f64,
}

/// Returns the range of each engine, in the order of `states`; `None` for engines that cannot hold
/// any range of the template.
pub(crate) fn assign_ranges(
    table: &CardTable<'_>,
    template: &LayoutTemplate,
    states: &[EngineState],
) -> Vec<Option<LayerRange>> {
    let all_ranges = template.all_ranges();
    let ranges = CoverRanges::new(table, template);
    let mut engines: Vec<AssignedEngine<'_>> = Vec::new();
    for state in states {
        let Some(kind) = table.kind_of(state) else {
            continue;
        };
        let held = all_ranges
            .iter()
            .position(|range| Some(*range) == state.held_range)
            .filter(|index| ranges.fits(kind, *index));
        let cover = CoverEngine { kind, held };
        engines.push(AssignedEngine {
            state,
            cover,
            range: held,
        });
    }
    engines.sort_by(|left, right| {
        let max_layers = |engine: &AssignedEngine<'_>| table.max_layers(engine.cover.kind);
        max_layers(left)
            .cmp(&max_layers(right))
            .then_with(|| left.state.id.cmp(&right.state.id))
    });
    let mut draft = AssignmentDraft {
        is_needed: vec![false; engines.len()],
        unused: vec![0.0; ranges.len()],
        tokens: 0.0,
        move_cost: 0.0,
        engines,
        ranges,
    };
    draft.cover_domains();
    draft.cover_fleet();
    draft.assign_remaining();
    let assigned: BTreeMap<&str, LayerRange> = draft
        .engines
        .iter()
        .filter_map(|engine| Some((&*engine.state.id, all_ranges[engine.range?])))
        .collect();
    let range_of = |state: &EngineState| assigned.get(&*state.id).copied();
    states.iter().map(range_of).collect()
}

impl AssignmentDraft<'_> {
    /// Forms chains within each failure domain.
    fn cover_domains(&mut self) {
        let mut domains: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (position, engine) in self.engines.iter().enumerate() {
            let domain = &*engine.state.failure_domain;
            domains.entry(domain).or_default().push(position);
        }
        let domains: Vec<Vec<usize>> = domains.into_values().collect();
        let base = vec![0.0; self.ranges.len()];
        if self
            .engines
            .iter()
            .any(|engine| engine.cover.held.is_some())
        {
            let covers = domains.iter().map(|positions| {
                let engines = self.cover_engines(positions);
                let cover = self.ranges.find_cover(&engines, &base, MovePolicy::None);
                cover.tokens
            });
            self.move_cost = covers.sum::<f64>() / self.engines.len() as f64 * MOVE_COST;
        }
        for positions in domains {
            let cover = self.select_cover(&positions, &base, 0.0);
            for (unused, capacity) in self.unused.iter_mut().zip(&cover.capacities) {
                *unused += (capacity - cover.tokens).max(0.0);
            }
            self.apply(&positions, &cover);
        }
    }

    /// Forms chains across failure domains of the engines that the domains do not need.
    fn cover_fleet(&mut self) {
        let is_free = |position: &usize| !self.is_needed[*position];
        let positions: Vec<usize> = (0..self.engines.len()).filter(is_free).collect();
        let base = self.unused.clone();
        let cover = self.select_cover(&positions, &base, self.tokens);
        self.apply(&positions, &cover);
    }

    /// Returns the cover with the fewest moves whose tokens are close enough to the best one's.
    ///
    /// `other_tokens` are the tokens of other covers, beside which a gain is judged.
    fn select_cover(&self, positions: &[usize], base: &[f64], other_tokens: f64) -> LayerCover {
        let engines = self.cover_engines(positions);
        let has_holders = engines.iter().any(|engine| engine.held.is_some());
        let mut selected = self.ranges.find_cover(&engines, base, MovePolicy::None);
        if !has_holders {
            return selected;
        }
        for policy in [MovePolicy::Surplus, MovePolicy::Any] {
            let cover = self.ranges.find_cover(&engines, base, policy);
            let gain = cover.tokens - selected.tokens;
            let min_gain = (selected.tokens + other_tokens) * MIN_MOVE_GAIN;
            if gain > min_gain && gain > move_count(&engines, &cover) * self.move_cost {
                selected = cover;
            }
        }
        selected
    }

    fn cover_engines(&self, positions: &[usize]) -> Vec<CoverEngine> {
        let positions = positions.iter();
        positions
            .map(|position| self.engines[*position].cover)
            .collect()
    }

    fn apply(&mut self, positions: &[usize], cover: &LayerCover) {
        self.tokens += cover.tokens;
        for (position, range) in positions.iter().zip(&cover.assigned) {
            if range.is_some() {
                self.engines[*position].range = *range;
                self.is_needed[*position] = true;
            }
        }
    }

    /// Assigns the engines still without a range: large cards to wide ranges, others to narrow ones,
    /// and among these to the one with the least memory in their failure domain, then in the fleet.
    fn assign_remaining(&mut self) {
        let mut fleet = vec![0.0; self.ranges.len()];
        let mut domains: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for engine in &self.engines {
            let capacities = domains.entry(&engine.state.failure_domain);
            let capacities = capacities.or_insert_with(|| vec![0.0; self.ranges.len()]);
            if let Some(index) = engine.range {
                let capacity = self.ranges.capacity(engine.cover.kind, index);
                capacities[index] += capacity;
                fleet[index] += capacity;
            }
        }
        for engine in self
            .engines
            .iter_mut()
            .filter(|engine| engine.range.is_none())
        {
            let kind = engine.cover.kind;
            let Some(local) = domains.get_mut(&*engine.state.failure_domain) else {
                continue;
            };
            let fitting =
                (0..self.ranges.main_count()).filter(|index| self.ranges.fits(kind, *index));
            // Only large cards can hold the wide ranges.
            let is_narrow = |index: usize| index >= self.ranges.wide_count();
            let best = fitting.min_by(|left, right| {
                let by_width = is_narrow(*left).cmp(&is_narrow(*right));
                let by_domain = local[*left].total_cmp(&local[*right]);
                by_width
                    .then(by_domain)
                    .then(fleet[*left].total_cmp(&fleet[*right]))
            });
            engine.range = best;
            if let Some(index) = best {
                let capacity = self.ranges.capacity(kind, index);
                local[index] += capacity;
                fleet[index] += capacity;
            }
        }
    }
}

/// Returns the number of engines that a cover moves away from the range that they hold.
fn move_count(engines: &[CoverEngine], cover: &LayerCover) -> f64 {
    let assigned = engines.iter().zip(&cover.assigned);
    let moved = assigned.filter(|(engine, range)| {
        engine.held.is_some() && range.is_some() && engine.held != **range
    });
    moved.count() as f64
}
