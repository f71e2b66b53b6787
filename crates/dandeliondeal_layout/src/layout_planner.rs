//! Assigns a range of layers to each engine, moving as few engines as possible.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use dandeliondeal_types::{AcceleratorKind, EndpointId, FailureDomain, LayerRange};

use crate::engine_profile::EngineProfile;
use crate::layout_template::{ChainCounts, LayoutTemplate, RangeWidth, WidthCounts};

/// State of an engine as input to the planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// Endpoint id of the engine.
    pub id: EndpointId,
    /// Failure domain of the engine.
    pub failure_domain: FailureDomain,
    /// Kind of accelerator.
    pub kind: AcceleratorKind,
    /// The layers that the engine holds or is loading.
    pub held_range: Option<LayerRange>,
}

/// An instruction for an engine to hold another range of layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayoutMove {
    /// Endpoint id of the engine.
    pub engine: EndpointId,
    /// The layers that the engine has to load.
    pub range: LayerRange,
}

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutSettings {
    /// Minimum number of tokens whose KV cache has to fit on an engine in addition to its layers.
    ///
    /// The default is enough for about 60 requests of mean length, which is 1,000 tokens: the
    /// requests that one chain runs at once under normal load, and half as many in reserve.
    pub token_capacity: f64,
}

impl Default for LayoutSettings {
    fn default() -> Self {
        Self {
            token_capacity: 60_000.0,
        }
    }
}

/// Plans the layout of one service's engines.
///
/// # Examples
///
/// ```
/// use dandeliondeal_layout::{LayoutPlanner, LayoutSettings};
///
/// let planner = LayoutPlanner::new(LayoutSettings::default());
/// assert!(planner.settings().token_capacity > 0.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LayoutPlanner {
    settings: LayoutSettings,
}

impl LayoutPlanner {
    /// Creates a planner.
    pub fn new(settings: LayoutSettings) -> Self {
        Self { settings }
    }

    /// Returns the settings of the planner.
    pub fn settings(&self) -> &LayoutSettings {
        &self.settings
    }

    /// Returns the moves that bring `engines` to the planned layout.
    ///
    /// Empty if the engines already have that layout or cannot form a single chain.
    pub fn plan(&self, profile: &EngineProfile, engines: &[EngineState]) -> Vec<LayoutMove> {
        let tokens = self.settings.token_capacity;
        let Some(template) = LayoutTemplate::select(profile, engines, tokens) else {
            return Vec::new();
        };
        let mut draft = LayoutDraft::new(profile, &template, engines, tokens);
        draft.assign_domain_chains();
        draft.assign_remaining();
        draft.repair_domain_chains();
        draft.replace_wide_ranges();
        draft.balance_holders();
        draft.moves()
    }
}

/// An engine with the range that the draft assigns to it.
struct DraftEngine<'plan> {
    state: &'plan EngineState,
    /// Width of the longest ranges that the engine's card can hold.
    width: RangeWidth,
    /// Index of the assigned range in [`LayoutDraft::ranges`].
    range_index: Option<usize>,
}

impl DraftEngine<'_> {
    /// Returns whether the engine may hold ranges of a width.
    ///
    /// Large cards are reserved for wide ranges.
    fn may_hold_width(&self, width: RangeWidth) -> bool {
        match self.width {
            RangeWidth::Wide => width == RangeWidth::Wide,
            RangeWidth::Middle => width != RangeWidth::Wide,
            RangeWidth::Narrow => width == RangeWidth::Narrow,
        }
    }
}

/// A layout under construction.
struct LayoutDraft<'plan> {
    profile: &'plan EngineProfile,
    template: &'plan LayoutTemplate,
    /// The main ranges of the template, then its substitute ranges.
    ranges: Vec<LayerRange>,
    /// Engines in ascending order of decode step time, then by id.
    engines: Vec<DraftEngine<'plan>>,
    failure_domains: BTreeSet<&'plan str>,
}

impl<'plan> LayoutDraft<'plan> {
    fn new(
        profile: &'plan EngineProfile,
        template: &'plan LayoutTemplate,
        states: &'plan [EngineState],
        tokens: f64,
    ) -> Self {
        let ranges = template.all_ranges();
        let mut engines: Vec<DraftEngine<'plan>> = Vec::new();
        for state in states {
            let card = profile.card(&state.kind);
            let max_layers = card.map_or(0, |card| profile.max_layers(card, tokens));
            let Some(width) = template.card_width(max_layers) else {
                continue;
            };
            let mut engine = DraftEngine {
                state,
                width,
                range_index: None,
            };
            let held_index = ranges
                .iter()
                .position(|range| Some(*range) == state.held_range);
            engine.range_index =
                held_index.filter(|index| engine.may_hold_width(template.range_width(*index)));
            engines.push(engine);
        }
        // Fast cards come first so that each domain's own chains get them. The order by id makes
        // the plan deterministic.
        let step_factor = |engine: &DraftEngine<'_>| {
            let card = profile.card(&engine.state.kind);
            card.map_or(f64::MAX, |card| card.step_factor)
        };
        engines.sort_by(|left, right| {
            step_factor(left)
                .total_cmp(&step_factor(right))
                .then_with(|| left.state.id.cmp(&right.state.id))
        });
        let failure_domains = engines
            .iter()
            .map(|engine| &*engine.state.failure_domain)
            .collect();
        Self {
            profile,
            template,
            ranges,
            engines,
            failure_domains,
        }
    }

    fn may_hold_range(&self, engine: &DraftEngine<'_>, index: usize) -> bool {
        engine.may_hold_width(self.template.range_width(index))
    }

    /// Returns the indices of the template's main ranges.
    fn main_indices(&self) -> Range<usize> {
        0..self.template.main_ranges.len()
    }

    fn is_substitute(&self, index: usize) -> bool {
        self.template.substitute_indices().contains(&index)
    }

    /// Returns the engines that hold a range, in one failure domain or in all.
    fn holders(
        &self,
        index: usize,
        domain: Option<&str>,
    ) -> impl Iterator<Item = &DraftEngine<'_>> {
        self.engines.iter().filter(move |engine| {
            engine.range_index == Some(index)
                && domain.is_none_or(|domain| *engine.state.failure_domain == *domain)
        })
    }

    fn holder_count(&self, index: usize, domain: Option<&str>) -> usize {
        self.holders(index, domain).count()
    }

    /// Returns the number of tokens whose KV cache fits on all holders of a range together.
    fn token_capacity(&self, index: usize) -> f64 {
        let layers = self.ranges[index].len();
        let capacities = self.holders(index, None).map(|engine| {
            let card = self.profile.card(&engine.state.kind);
            card.map_or(0.0, |card| self.profile.token_capacity(card, layers))
        });
        capacities.sum()
    }

    /// Returns the number of whole chains that the engines of one failure domain, or of all, can
    /// form.
    fn chain_counts(&self, domain: Option<&str>) -> ChainCounts {
        let mut cards = WidthCounts::default();
        for engine in &self.engines {
            if domain.is_none_or(|domain| *engine.state.failure_domain == *domain) {
                match engine.width {
                    RangeWidth::Wide => cards.wide += 1,
                    RangeWidth::Middle => cards.middle += 1,
                    RangeWidth::Narrow => cards.narrow += 1,
                }
            }
        }
        self.template.chain_counts(cards)
    }

    /// Returns the number of engines that `chains` chains need for a range.
    fn required_holders(&self, index: usize, chains: ChainCounts) -> usize {
        if self.is_substitute(index) {
            chains.small_only
        } else if self.template.range_width(index) == RangeWidth::Wide {
            chains.mixed
        } else {
            chains.mixed + chains.small_only
        }
    }

    /// Assigns unassigned engines to the ranges that the chains of their own failure domain lack.
    fn assign_domain_chains(&mut self) {
        for domain in self.failure_domains.clone() {
            let chains = self.chain_counts(Some(domain));
            for position in 0..self.engines.len() {
                let engine = &self.engines[position];
                if engine.range_index.is_some() || *engine.state.failure_domain != *domain {
                    continue;
                }
                let best = (0..self.ranges.len())
                    .filter(|index| self.may_hold_range(engine, *index))
                    .map(|index| {
                        (
                            self.template.range_width(index),
                            self.holder_count(index, Some(domain)),
                            index,
                        )
                    })
                    .filter(|(_, count, index)| *count < self.required_holders(*index, chains))
                    .min();
                self.engines[position].range_index = best.map(|(_, _, index)| index);
            }
        }
    }

    /// Assigns the remaining engines to the ranges with too few holders for all chains of the
    /// fleet, then to those with the least token capacity.
    fn assign_remaining(&mut self) {
        let chains = self.chain_counts(None);
        let fleet_chains = chains.mixed + chains.small_only;
        for domain in self.failure_domains.clone() {
            for position in 0..self.engines.len() {
                let engine = &self.engines[position];
                if engine.range_index.is_some() || *engine.state.failure_domain != *domain {
                    continue;
                }
                let rank = |index: &usize| {
                    let local_holders = self.holder_count(*index, Some(domain));
                    (
                        self.holder_count(*index, None).min(fleet_chains),
                        self.token_capacity(*index),
                        local_holders,
                    )
                };
                let best = self
                    .main_indices()
                    .filter(|index| self.may_hold_range(engine, *index))
                    .min_by(|left, right| {
                        let (left, right) = (rank(left), rank(right));
                        left.0
                            .cmp(&right.0)
                            .then(left.1.total_cmp(&right.1))
                            .then(left.2.cmp(&right.2))
                    });
                self.engines[position].range_index = best;
            }
        }
    }

    /// Moves spare engines of each failure domain to ranges that the domain's own chains lack.
    fn repair_domain_chains(&mut self) {
        for domain in self.failure_domains.clone() {
            let chains = self.chain_counts(Some(domain));
            for index in 0..self.ranges.len() {
                while self.holder_count(index, Some(domain)) < self.required_holders(index, chains)
                {
                    let Some(position) = self.find_spare_engine(index, domain, chains) else {
                        break;
                    };
                    self.engines[position].range_index = Some(index);
                }
            }
        }
    }

    /// Moves surplus small cards of main ranges to the substitute ranges that lack holders.
    ///
    /// They replace lost large cards, also across failure domains.
    fn replace_wide_ranges(&mut self) {
        let chains = self.chain_counts(None);
        let fleet_chains = chains.mixed + chains.small_only;
        for target in self.template.substitute_indices() {
            while self.holder_count(target, None) < chains.small_only {
                let Some(position) = self.find_surplus_card(fleet_chains) else {
                    return;
                };
                self.engines[position].range_index = Some(target);
            }
        }
    }

    /// Returns a small card of a main range that has more holders than `fleet_chains`.
    ///
    /// Prefers a card that the chains of its own failure domain can spare, then one of the range
    /// with the most holders.
    fn find_surplus_card(&self, fleet_chains: usize) -> Option<usize> {
        let rank = |engine: &DraftEngine<'_>, index: usize| {
            let domain = &*engine.state.failure_domain;
            let required = self.required_holders(index, self.chain_counts(Some(domain)));
            let is_spare = self.holder_count(index, Some(domain)) > required;
            (is_spare, self.holder_count(index, None))
        };
        self.engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.may_hold_width(RangeWidth::Narrow))
            .filter_map(|(position, engine)| Some((position, engine, engine.range_index?)))
            .filter(|(_, _, index)| {
                !self.is_substitute(*index) && self.holder_count(*index, None) > fleet_chains
            })
            .max_by_key(|(_, engine, index)| rank(engine, *index))
            .map(|(position, _, _)| position)
    }

    /// Returns an engine of `domain` that can move to the range `target`.
    ///
    /// Its current range has more holders than the domain's chains need, and more than the range
    /// of the target's width with the fewest holders in the fleet.
    fn find_spare_engine(&self, target: usize, domain: &str, chains: ChainCounts) -> Option<usize> {
        let target_width = self.template.range_width(target);
        let same_width = self
            .main_indices()
            .filter(|index| self.template.range_width(*index) == target_width);
        let fewest_holders = same_width
            .map(|index| self.holder_count(index, None))
            .min()
            .unwrap_or(0);
        let fleet_counts = self.chain_counts(None);
        let mut best: Option<(usize, usize)> = None;
        for (position, engine) in self.engines.iter().enumerate() {
            let Some(index) = engine
                .range_index
                .filter(|_| self.may_hold_range(engine, target))
            else {
                continue;
            };
            let is_in_domain = *engine.state.failure_domain == *domain;
            let is_needed = self.holder_count(index, Some(domain))
                <= self.required_holders(index, chains)
                || (self.is_substitute(index)
                    && self.holder_count(index, None) <= fleet_counts.small_only);
            // Surplus holders of a substitute range serve no chain, so they are moved first.
            let fleet_holders = if self.is_substitute(index) {
                usize::MAX
            } else {
                self.holder_count(index, None)
            };
            if !is_in_domain || is_needed || fleet_holders <= fewest_holders {
                continue;
            }
            if best.is_none_or(|(_, most_holders)| fleet_holders > most_holders) {
                best = Some((position, fleet_holders));
            }
        }
        best.map(|(position, _)| position)
    }

    /// Moves engines from main ranges with many holders to ones with at least two fewer holders.
    fn balance_holders(&mut self) {
        while let Some((position, index)) = self.next_balance_move() {
            self.engines[position].range_index = Some(index);
        }
    }

    /// Returns the position of an engine to move and the index of its new range.
    fn next_balance_move(&self) -> Option<(usize, usize)> {
        let counts: Vec<usize> = self
            .main_indices()
            .map(|index| self.holder_count(index, None))
            .collect();
        let mut targets: Vec<usize> = self.main_indices().collect();
        targets.sort_by_key(|index| counts[*index]);
        targets.into_iter().find_map(|target| {
            let position = self.balance_source(target, &counts)?;
            Some((position, target))
        })
    }

    /// Returns an engine that can move to `target` from the range with the most holders.
    ///
    /// Prefers an engine whose failure domain keeps its own chains, then one whose domain lacks
    /// holders of `target`.
    fn balance_source(&self, target: usize, counts: &[usize]) -> Option<usize> {
        let rank = |engine: &DraftEngine<'_>, index: usize| {
            let domain = &*engine.state.failure_domain;
            let chains = self.chain_counts(Some(domain));
            let keeps_chains =
                self.holder_count(index, Some(domain)) > self.required_holders(index, chains);
            let lacks_target =
                self.holder_count(target, Some(domain)) < self.required_holders(target, chains);
            (counts[index], keeps_chains, lacks_target)
        };
        self.engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| self.may_hold_range(engine, target))
            .filter_map(|(position, engine)| Some((position, engine, engine.range_index?)))
            .filter(|(_, _, index)| {
                let count = counts.get(*index);
                count.is_some_and(|count| *count >= counts[target] + 2)
            })
            .max_by_key(|(_, engine, index)| rank(engine, *index))
            .map(|(position, _, _)| position)
    }

    /// Returns the moves from the current layout to the draft.
    fn moves(&self) -> Vec<LayoutMove> {
        let changed = self.engines.iter().filter_map(|engine| {
            let range = self.ranges[engine.range_index?];
            (engine.state.held_range != Some(range)).then(|| LayoutMove {
                engine: EndpointId::clone(&engine.state.id),
                range,
            })
        });
        let mut moves: Vec<LayoutMove> = changed.collect();
        let mut holder_counts: BTreeMap<LayerRange, usize> = BTreeMap::new();
        for engine in &self.engines {
            if let Some(held_range) = engine.state.held_range {
                *holder_counts.entry(held_range).or_default() += 1;
            }
        }
        // Ranges with the fewest current holders come first.
        moves
            .sort_by_key(|layout_move| holder_counts.get(&layout_move.range).copied().unwrap_or(0));
        moves
    }
}
