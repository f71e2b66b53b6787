//! Gives each engine a range of layers, moving as few engines as possible.

use std::collections::{BTreeMap, BTreeSet};

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
    /// Index of its range in the template.
    range: Option<usize>,
}

struct LayoutDraft<'plan> {
    template: &'plan LayoutTemplate,
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
        let mut engines: Vec<DraftEngine<'plan>> = Vec::new();
        for state in states {
            let is_wide = template.wide > 0 && LayoutTemplate::fits(profile, state, widest, tokens);
            let narrowest = template.ranges.last().copied().unwrap_or_default();
            if !is_wide && !LayoutTemplate::fits(profile, state, narrowest, tokens) {
                continue;
            }
            let width = if is_wide {
                CardWidth::Wide
            } else {
                CardWidth::Narrow
            };
            let held = state.held.and_then(|held| {
                let found = template.ranges.iter().position(|range| *range == held);
                found.filter(|index| Self::allows(template, width, *index))
            });
            engines.push(DraftEngine {
                state,
                width,
                range: held,
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
            engines,
            domains,
        }
    }

    /// Wide cards hold wide ranges and narrow cards narrow ones; where a template has one width
    /// only, every card that has the memory may hold any.
    fn allows(template: &LayoutTemplate, width: CardWidth, index: usize) -> bool {
        let is_wide_range = index < template.wide;
        is_wide_range == (width == CardWidth::Wide)
    }

    fn ranges_of(&self, width: CardWidth) -> std::ops::Range<usize> {
        match width {
            CardWidth::Wide => 0..self.template.wide,
            CardWidth::Narrow => self.template.wide..self.template.ranges.len(),
        }
    }

    fn count(&self, index: usize, domain: Option<&str>) -> usize {
        let is_here = |engine: &&DraftEngine<'_>| {
            engine.range == Some(index)
                && domain.is_none_or(|domain| *engine.state.failure_domain == *domain)
        };
        self.engines.iter().filter(is_here).count()
    }

    /// Whole chains that the engines of a domain can form by themselves.
    fn own_chains(&self, domain: &str) -> usize {
        let chains = |width: CardWidth| {
            let ranges = self.ranges_of(width).len();
            let is_here = |engine: &&DraftEngine<'_>| {
                engine.width == width && *engine.state.failure_domain == *domain
            };
            let engines = self.engines.iter().filter(is_here).count();
            engines.checked_div(ranges).unwrap_or(usize::MAX)
        };
        chains(CardWidth::Wide).min(chains(CardWidth::Narrow))
    }

    /// Gives free engines the ranges that their domain's own chains lack.
    fn fill_domains(&mut self) {
        for domain in self.domains.clone() {
            let quota = self.own_chains(domain);
            for position in 0..self.engines.len() {
                let engine = &self.engines[position];
                if engine.range.is_some() || *engine.state.failure_domain != *domain {
                    continue;
                }
                let range = self
                    .ranges_of(engine.width)
                    .map(|index| (self.count(index, Some(domain)), index))
                    .filter(|(count, _)| *count < quota)
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
                    .ranges_of(engine.width)
                    .map(|index| {
                        (
                            self.count(index, None),
                            self.count(index, Some(domain)),
                            index,
                        )
                    })
                    .min();
                self.engines[position].range = range.map(|(_, _, index)| index);
            }
        }
    }

    /// Moves engines that a domain can spare to ranges that its own chains lack.
    fn repair_domains(&mut self) {
        for domain in self.domains.clone() {
            let quota = self.own_chains(domain);
            if quota == 0 {
                continue;
            }
            for index in 0..self.template.ranges.len() {
                while self.count(index, Some(domain)) < quota {
                    let width = self.width_of(index);
                    let least = self.least(width);
                    let spare = self.spare(width, domain, quota, least);
                    let Some(position) = spare else {
                        break;
                    };
                    self.engines[position].range = Some(index);
                }
            }
        }
    }

    fn width_of(&self, index: usize) -> CardWidth {
        if index < self.template.wide {
            CardWidth::Wide
        } else {
            CardWidth::Narrow
        }
    }

    /// Engines that hold the range with the fewest.
    fn least(&self, width: CardWidth) -> usize {
        let counts = self.ranges_of(width).map(|index| self.count(index, None));
        counts.min().unwrap_or(0)
    }

    /// An engine of `domain` whose range has more engines than the domain's chains need, and
    /// more than the range with the fewest engines of all.
    fn spare(&self, width: CardWidth, domain: &str, quota: usize, least: usize) -> Option<usize> {
        let mut best: Option<(usize, usize)> = None;
        for (position, engine) in self.engines.iter().enumerate() {
            let Some(index) = engine.range.filter(|_| engine.width == width) else {
                continue;
            };
            let is_here = *engine.state.failure_domain == *domain;
            let whole = self.count(index, None);
            if !is_here || self.count(index, Some(domain)) <= quota || whole <= least {
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
            .ranges_of(width)
            .map(|index| (self.count(index, None), index))
            .collect();
        let (least, target) = *counts.iter().min()?;
        let (most, _) = *counts.iter().max()?;
        if most < least + 2 {
            return None;
        }
        // Of the engines that can go, one whose domain keeps its own chains.
        let is_full = |index: usize| self.count(index, None) == most;
        let rank = |engine: &DraftEngine<'_>, index: usize| {
            let domain = &*engine.state.failure_domain;
            let kept = self.count(index, Some(domain)) > self.own_chains(domain);
            let lacks = self.count(target, Some(domain)) < self.own_chains(domain);
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
            let range = self.template.ranges[engine.range?];
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
