//! Gives each engine a range of layers, moving as few engines as possible.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use dandeliondeal_types::{AcceleratorKind, EndpointId, FailureDomain, LayerRange};

use crate::engine_profile::EngineProfile;
use crate::layout_template::{ChainCounts, LayoutTemplate, RangeWidth, WidthCounts};

/// An engine as the planner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// The engine.
    pub id: EndpointId,
    /// Failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Kind of accelerator.
    pub kind: AcceleratorKind,
    /// The layers it holds or is loading.
    pub held: Option<LayerRange>,
}

/// An engine that has to hold other layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayoutMove {
    /// The engine.
    pub engine: EndpointId,
    /// The layers it has to hold.
    pub range: LayerRange,
}

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayoutSettings {
    /// Tokens for which an engine needs memory beside its layers. Some 60 requests of a usual
    /// prompt and answer: what a chain runs at once on a day of usual load, with a half to spare.
    pub token_room: f64,
}

impl Default for LayoutSettings {
    fn default() -> Self {
        Self {
            token_room: 60_000.0,
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
/// assert!(planner.settings().token_room > 0.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LayoutPlanner {
    settings: LayoutSettings,
}

impl LayoutPlanner {
    /// Makes a planner.
    pub fn new(settings: LayoutSettings) -> Self {
        Self { settings }
    }

    /// The settings.
    pub fn settings(&self) -> &LayoutSettings {
        &self.settings
    }

    /// The moves that bring `engines` to a good layout; empty if they are there.
    pub fn plan(&self, profile: &EngineProfile, engines: &[EngineState]) -> Vec<LayoutMove> {
        let tokens = self.settings.token_room;
        let Some(template) = LayoutTemplate::choose(profile, engines, tokens) else {
            return Vec::new();
        };
        let mut draft = LayoutDraft::new(profile, &template, engines, tokens);
        draft.fill_domains();
        draft.fill_rest();
        draft.repair_domains();
        draft.replace_wide();
        draft.balance();
        draft.moves()
    }
}

struct DraftEngine<'plan> {
    state: &'plan EngineState,
    /// The longest ranges that its card is meant for.
    width: RangeWidth,
    /// Index of its range in the draft.
    range: Option<usize>,
}

impl DraftEngine<'_> {
    /// Whether it may hold ranges of a width; large cards are kept for wide ones.
    fn may_hold(&self, width: RangeWidth) -> bool {
        match self.width {
            RangeWidth::Wide => width == RangeWidth::Wide,
            RangeWidth::Middle => width != RangeWidth::Wide,
            RangeWidth::Narrow => width == RangeWidth::Narrow,
        }
    }
}

struct LayoutDraft<'plan> {
    profile: &'plan EngineProfile,
    template: &'plan LayoutTemplate,
    /// The ranges of the template, then the narrow ones of its wide ranges' layers.
    ranges: Vec<LayerRange>,
    engines: Vec<DraftEngine<'plan>>,
    domains: BTreeSet<&'plan str>,
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
            let limit = card.map_or(0, |card| profile.max_layers(card, tokens));
            let Some(width) = template.width_of(limit) else {
                continue;
            };
            let mut engine = DraftEngine {
                state,
                width,
                range: None,
            };
            let found = ranges.iter().position(|range| Some(*range) == state.held);
            engine.range = found.filter(|index| engine.may_hold(template.width(*index)));
            engines.push(engine);
        }
        // Fast cards first, so that each domain's own chain gets them; by id for one result.
        let speed = |engine: &DraftEngine<'_>| {
            let card = profile.card(&engine.state.kind);
            card.map_or(f64::MAX, |card| card.step_factor)
        };
        engines.sort_by(|left, right| {
            speed(left)
                .total_cmp(&speed(right))
                .then_with(|| left.state.id.cmp(&right.state.id))
        });
        let domains = engines
            .iter()
            .map(|engine| &*engine.state.failure_domain)
            .collect();
        Self {
            profile,
            template,
            ranges,
            engines,
            domains,
        }
    }

    fn may_hold(&self, engine: &DraftEngine<'_>, index: usize) -> bool {
        engine.may_hold(self.template.width(index))
    }

    /// Indices of the template's ranges, without the narrow ones of wide ranges' layers.
    fn main_ranges(&self) -> Range<usize> {
        0..self.template.ranges.len()
    }

    fn is_split(&self, index: usize) -> bool {
        self.template.split_indices().contains(&index)
    }

    fn holders(
        &self,
        index: usize,
        domain: Option<&str>,
    ) -> impl Iterator<Item = &DraftEngine<'_>> {
        self.engines.iter().filter(move |engine| {
            engine.range == Some(index)
                && domain.is_none_or(|domain| *engine.state.failure_domain == *domain)
        })
    }

    fn count(&self, index: usize, domain: Option<&str>) -> usize {
        self.holders(index, domain).count()
    }

    /// Tokens for which the engines of a range have memory.
    fn room(&self, index: usize) -> f64 {
        let length = self.ranges[index].len();
        let rooms = self.holders(index, None).map(|engine| {
            let card = self.profile.card(&engine.state.kind);
            card.map_or(0.0, |card| self.profile.token_room(card, length))
        });
        rooms.sum()
    }

    /// Whole chains that the engines of a domain, or of all, can form by themselves.
    fn chains(&self, domain: Option<&str>) -> ChainCounts {
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
        self.template.chains(cards)
    }

    /// Engines of a domain that its own chains need for a range.
    fn quota(&self, index: usize, chains: ChainCounts) -> usize {
        if self.is_split(index) {
            chains.alone
        } else if self.template.width(index) == RangeWidth::Wide {
            chains.mixed
        } else {
            chains.mixed + chains.alone
        }
    }

    /// Gives free engines the ranges that their domain's own chains lack.
    fn fill_domains(&mut self) {
        for domain in self.domains.clone() {
            let chains = self.chains(Some(domain));
            for position in 0..self.engines.len() {
                let engine = &self.engines[position];
                if engine.range.is_some() || *engine.state.failure_domain != *domain {
                    continue;
                }
                let range = (0..self.ranges.len())
                    .filter(|index| self.may_hold(engine, *index))
                    .map(|index| {
                        (
                            self.template.width(index),
                            self.count(index, Some(domain)),
                            index,
                        )
                    })
                    .filter(|(_, count, index)| *count < self.quota(*index, chains))
                    .min();
                self.engines[position].range = range.map(|(_, _, index)| index);
            }
        }
    }

    /// Gives the free engines that are left the ranges that lack engines for whole chains, then
    /// those with the least memory.
    fn fill_rest(&mut self) {
        let chains = self.chains(None);
        let goal = chains.mixed + chains.alone;
        for domain in self.domains.clone() {
            for position in 0..self.engines.len() {
                let engine = &self.engines[position];
                if engine.range.is_some() || *engine.state.failure_domain != *domain {
                    continue;
                }
                let rank = |index: &usize| {
                    let here = self.count(*index, Some(domain));
                    (self.count(*index, None).min(goal), self.room(*index), here)
                };
                let range = self
                    .main_ranges()
                    .filter(|index| self.may_hold(engine, *index))
                    .min_by(|left, right| {
                        let (left, right) = (rank(left), rank(right));
                        left.0
                            .cmp(&right.0)
                            .then(left.1.total_cmp(&right.1))
                            .then(left.2.cmp(&right.2))
                    });
                self.engines[position].range = range;
            }
        }
    }

    /// Moves engines that a domain can spare to ranges that its own chains lack.
    fn repair_domains(&mut self) {
        for domain in self.domains.clone() {
            let chains = self.chains(Some(domain));
            for index in 0..self.ranges.len() {
                while self.count(index, Some(domain)) < self.quota(index, chains) {
                    let Some(position) = self.spare(index, domain, chains) else {
                        break;
                    };
                    self.engines[position].range = Some(index);
                }
            }
        }
    }

    /// Moves small cards that no whole chain of the fleet needs where they are to the narrow ranges
    /// of wide layers: in place of large cards that are lost, also across failure domains.
    fn replace_wide(&mut self) {
        let chains = self.chains(None);
        let goal = chains.mixed + chains.alone;
        for target in self.template.split_indices() {
            while self.count(target, None) < chains.alone {
                let Some(position) = self.surplus(goal) else {
                    return;
                };
                self.engines[position].range = Some(target);
            }
        }
    }

    /// A small card of the fullest range that more than `goal` engines hold; one that its own
    /// domain's chains can spare, if there is one.
    fn surplus(&self, goal: usize) -> Option<usize> {
        let rank = |engine: &DraftEngine<'_>, index: usize| {
            let domain = &*engine.state.failure_domain;
            let quota = self.quota(index, self.chains(Some(domain)));
            let is_spare = self.count(index, Some(domain)) > quota;
            (is_spare, self.count(index, None))
        };
        self.engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.may_hold(RangeWidth::Narrow))
            .filter_map(|(position, engine)| Some((position, engine, engine.range?)))
            .filter(|(_, _, index)| !self.is_split(*index) && self.count(*index, None) > goal)
            .max_by_key(|(_, engine, index)| rank(engine, *index))
            .map(|(position, _, _)| position)
    }

    /// An engine of `domain` that may hold range `target`, whose own range has more engines than
    /// the domain's chains need, and more than the range with the fewest engines of all.
    fn spare(&self, target: usize, domain: &str, chains: ChainCounts) -> Option<usize> {
        let width = self.template.width(target);
        let alike = self
            .main_ranges()
            .filter(|index| self.template.width(*index) == width);
        let least = alike
            .map(|index| self.count(index, None))
            .min()
            .unwrap_or(0);
        let fleet = self.chains(None);
        let mut best: Option<(usize, usize)> = None;
        for (position, engine) in self.engines.iter().enumerate() {
            let Some(index) = engine.range.filter(|_| self.may_hold(engine, target)) else {
                continue;
            };
            let is_here = *engine.state.failure_domain == *domain;
            let is_needed = self.count(index, Some(domain)) <= self.quota(index, chains)
                || (self.is_split(index) && self.count(index, None) <= fleet.alone);
            // Narrow ranges of wide layers beyond that help nobody.
            let whole = if self.is_split(index) {
                usize::MAX
            } else {
                self.count(index, None)
            };
            if !is_here || is_needed || whole <= least {
                continue;
            }
            if best.is_none_or(|(_, count)| whole > count) {
                best = Some((position, whole));
            }
        }
        best.map(|(position, _)| position)
    }

    /// Moves engines from ranges that many hold to ranges that fewer hold by two or more.
    fn balance(&mut self) {
        while let Some((position, index)) = self.next_balance() {
            self.engines[position].range = Some(index);
        }
    }

    fn next_balance(&self) -> Option<(usize, usize)> {
        let counts: Vec<usize> = self
            .main_ranges()
            .map(|index| self.count(index, None))
            .collect();
        let mut targets: Vec<usize> = self.main_ranges().collect();
        targets.sort_by_key(|index| counts[*index]);
        targets.into_iter().find_map(|target| {
            let position = self.balance_source(target, &counts)?;
            Some((position, target))
        })
    }

    /// Of the engines that can go to `target`, one of the fullest range, whose domain keeps its
    /// own chains.
    fn balance_source(&self, target: usize, counts: &[usize]) -> Option<usize> {
        let rank = |engine: &DraftEngine<'_>, index: usize| {
            let domain = &*engine.state.failure_domain;
            let chains = self.chains(Some(domain));
            let kept = self.count(index, Some(domain)) > self.quota(index, chains);
            let lacks = self.count(target, Some(domain)) < self.quota(target, chains);
            (counts[index], kept, lacks)
        };
        self.engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| self.may_hold(engine, target))
            .filter_map(|(position, engine)| Some((position, engine, engine.range?)))
            .filter(|(_, _, index)| {
                let count = counts.get(*index);
                count.is_some_and(|count| *count >= counts[target] + 2)
            })
            .max_by_key(|(_, engine, index)| rank(engine, *index))
            .map(|(position, _, _)| position)
    }

    fn moves(&self) -> Vec<LayoutMove> {
        let changed = self.engines.iter().filter_map(|engine| {
            let range = self.ranges[engine.range?];
            (engine.state.held != Some(range)).then(|| LayoutMove {
                engine: EndpointId::clone(&engine.state.id),
                range,
            })
        });
        let mut moves: Vec<LayoutMove> = changed.collect();
        let mut counts: BTreeMap<LayerRange, usize> = BTreeMap::new();
        for engine in &self.engines {
            if let Some(held) = engine.state.held {
                *counts.entry(held).or_default() += 1;
            }
        }
        // What fewest engines hold now comes first.
        moves.sort_by_key(|step| counts.get(&step.range).copied().unwrap_or(0));
        moves
    }
}
