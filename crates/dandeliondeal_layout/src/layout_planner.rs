//! Gives each engine a range of layers, moving as few engines as possible.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use dandeliondeal_types::{AcceleratorKind, EndpointId, FailureDomain, LayerRange};

use crate::engine_profile::EngineProfile;
use crate::layout_template::LayoutTemplate;

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
        draft.balance();
        draft.moves()
    }
}

/// Cards of one width, which may hold the same ranges.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CardWidth {
    Wide,
    Narrow,
}

struct DraftEngine<'plan> {
    state: &'plan EngineState,
    width: CardWidth,
    /// Index of its range in the draft.
    range: Option<usize>,
}

/// Whole chains that the engines of a domain can form by themselves.
#[derive(Clone, Copy, Debug, Default)]
struct OwnChains {
    /// With wide ranges on large cards.
    mixed: usize,
    /// On small cards alone.
    narrow: usize,
}

struct LayoutDraft<'plan> {
    template: &'plan LayoutTemplate,
    /// The ranges of the template, then the narrow ones of its wide ranges' layers.
    ranges: Vec<LayerRange>,
    engines: Vec<DraftEngine<'plan>>,
    domains: BTreeSet<&'plan str>,
}

impl<'plan> LayoutDraft<'plan> {
    fn new(
        profile: &EngineProfile,
        template: &'plan LayoutTemplate,
        states: &'plan [EngineState],
        tokens: f64,
    ) -> Self {
        let widest = template.ranges.first().copied().unwrap_or_default();
        let narrowest = template.ranges.last().copied().unwrap_or_default();
        let mut ranges = template.ranges.clone();
        ranges.extend(&template.split);
        let mut engines: Vec<DraftEngine<'plan>> = Vec::new();
        for state in states {
            let is_wide = template.wide > 0 && LayoutTemplate::fits(profile, state, widest, tokens);
            if !is_wide && !LayoutTemplate::fits(profile, state, narrowest, tokens) {
                continue;
            }
            let width = if is_wide {
                CardWidth::Wide
            } else {
                CardWidth::Narrow
            };
            let found = ranges.iter().position(|range| Some(*range) == state.held);
            let range = found.filter(|index| (*index < template.wide) == is_wide);
            engines.push(DraftEngine {
                state,
                width,
                range,
            });
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
            template,
            ranges,
            engines,
            domains,
        }
    }

    /// The ranges of the template for cards of a width.
    fn main_ranges(&self, width: CardWidth) -> Range<usize> {
        match width {
            CardWidth::Wide => 0..self.template.wide,
            CardWidth::Narrow => self.template.wide..self.template.ranges.len(),
        }
    }

    /// The narrow ranges of the wide ranges' layers.
    fn split_ranges(&self) -> Range<usize> {
        self.template.ranges.len()..self.ranges.len()
    }

    fn count(&self, index: usize, domain: Option<&str>) -> usize {
        let is_here = |engine: &&DraftEngine<'_>| {
            engine.range == Some(index)
                && domain.is_none_or(|domain| *engine.state.failure_domain == *domain)
        };
        self.engines.iter().filter(is_here).count()
    }

    fn own_chains(&self, domain: &str) -> OwnChains {
        let engines = |width: CardWidth| {
            let is_here = |engine: &&DraftEngine<'_>| {
                engine.width == width && *engine.state.failure_domain == *domain
            };
            self.engines.iter().filter(is_here).count()
        };
        let main = self.main_ranges(CardWidth::Narrow).len();
        let small = engines(CardWidth::Narrow);
        if self.template.wide == 0 {
            let narrow = small.checked_div(main).unwrap_or(0);
            return OwnChains { mixed: 0, narrow };
        }
        let large = engines(CardWidth::Wide) / self.template.wide;
        let mixed = small.checked_div(main).unwrap_or(large).min(large);
        let alone = main + self.split_ranges().len();
        let narrow = (small - mixed * main).checked_div(alone).unwrap_or(0);
        OwnChains { mixed, narrow }
    }

    /// Engines of a domain that its own chains need for a range.
    fn quota(&self, index: usize, chains: OwnChains) -> usize {
        if index < self.template.wide {
            chains.mixed
        } else if index < self.template.ranges.len() {
            chains.mixed + chains.narrow
        } else {
            chains.narrow
        }
    }

    /// Gives free engines the ranges that their domain's own chains lack.
    fn fill_domains(&mut self) {
        for domain in self.domains.clone() {
            let chains = self.own_chains(domain);
            for position in 0..self.engines.len() {
                let engine = &self.engines[position];
                if engine.range.is_some() || *engine.state.failure_domain != *domain {
                    continue;
                }
                let split = match engine.width {
                    CardWidth::Wide => 0..0,
                    CardWidth::Narrow => self.split_ranges(),
                };
                let range = self
                    .main_ranges(engine.width)
                    .chain(split)
                    .map(|index| (self.count(index, Some(domain)), index))
                    .filter(|(count, index)| *count < self.quota(*index, chains))
                    .min();
                self.engines[position].range = range.map(|(_, index)| index);
            }
        }
    }

    /// Gives the free engines that are left the ranges that fewest engines hold.
    fn fill_rest(&mut self) {
        for domain in self.domains.clone() {
            for position in 0..self.engines.len() {
                let engine = &self.engines[position];
                if engine.range.is_some() || *engine.state.failure_domain != *domain {
                    continue;
                }
                let range = self
                    .main_ranges(engine.width)
                    .map(|index| {
                        let here = self.count(index, Some(domain));
                        (self.count(index, None), here, index)
                    })
                    .min();
                self.engines[position].range = range.map(|(_, _, index)| index);
            }
        }
    }

    /// Moves engines that a domain can spare to ranges that its own chains lack.
    fn repair_domains(&mut self) {
        for domain in self.domains.clone() {
            let chains = self.own_chains(domain);
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

    /// An engine of `domain` that may hold range `target`, whose own range has more engines than
    /// the domain's chains need, and more than the range with the fewest engines of all.
    fn spare(&self, target: usize, domain: &str, chains: OwnChains) -> Option<usize> {
        let width = if target < self.template.wide {
            CardWidth::Wide
        } else {
            CardWidth::Narrow
        };
        let counts = self.main_ranges(width).map(|index| self.count(index, None));
        let least = counts.min().unwrap_or(0);
        let mut best: Option<(usize, usize)> = None;
        for (position, engine) in self.engines.iter().enumerate() {
            let Some(index) = engine.range.filter(|_| engine.width == width) else {
                continue;
            };
            let is_here = *engine.state.failure_domain == *domain;
            let is_needed = self.count(index, Some(domain)) <= self.quota(index, chains);
            // Narrow ranges of wide layers help nobody but their own domain.
            let is_split = index >= self.template.ranges.len();
            let whole = if is_split {
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
        for width in [CardWidth::Wide, CardWidth::Narrow] {
            while let Some((position, index)) = self.next_balance(width) {
                self.engines[position].range = Some(index);
            }
        }
    }

    fn next_balance(&self, width: CardWidth) -> Option<(usize, usize)> {
        let counts: Vec<(usize, usize)> = self
            .main_ranges(width)
            .map(|index| (self.count(index, None), index))
            .collect();
        let (least, target) = *counts.iter().min()?;
        let (most, _) = *counts.iter().max()?;
        if most < least + 2 {
            return None;
        }
        // Of the engines that can go, one whose domain keeps its own chains.
        let is_full = |index: usize| {
            self.main_ranges(width).contains(&index) && self.count(index, None) == most
        };
        let rank = |engine: &DraftEngine<'_>, index: usize| {
            let domain = &*engine.state.failure_domain;
            let chains = self.own_chains(domain);
            let kept = self.count(index, Some(domain)) > self.quota(index, chains);
            let lacks = self.count(target, Some(domain)) < self.quota(target, chains);
            (kept, lacks)
        };
        self.engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.width == width)
            .filter_map(|(position, engine)| Some((position, engine, engine.range?)))
            .filter(|(_, _, index)| is_full(*index))
            .max_by_key(|(_, engine, index)| rank(engine, *index))
            .map(|(position, _, _)| (position, target))
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
