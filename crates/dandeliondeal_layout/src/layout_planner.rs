//! Assigns a range of layers to each engine, moving as few engines as possible.

use std::collections::BTreeMap;

use dandeliondeal_types::{AcceleratorKind, EndpointId, FailureDomain, LayerRange};

use crate::card_table::CardTable;
use crate::engine_profile::EngineProfile;
use crate::layout_assignment::assign_ranges;
use crate::template_search::{self, TemplateCheck};

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
        self.plan_after(profile, engines, &mut None)
    }

    /// Returns the moves of [`Self::plan`]; `last_check` is kept between plans of one service.
    pub(crate) fn plan_after(
        self,
        profile: &EngineProfile,
        engines: &[EngineState],
        last_check: &mut Option<TemplateCheck>,
    ) -> Vec<LayoutMove> {
        let table = CardTable::new(profile, self.settings.token_capacity);
        let template = template_search::find_best(profile, &table, engines, last_check);
        let Some(template) = template else {
            return Vec::new();
        };
        let ranges = assign_ranges(&table, &template, engines);
        let changed = engines.iter().zip(ranges).filter_map(|(engine, range)| {
            let range = range?;
            (engine.held_range != Some(range)).then(|| LayoutMove {
                engine: EndpointId::clone(&engine.id),
                range,
            })
        });
        let mut moves: Vec<LayoutMove> = changed.collect();
        moves.sort_unstable_by(|left, right| left.engine.cmp(&right.engine));
        let mut holder_counts: BTreeMap<LayerRange, usize> = BTreeMap::new();
        for engine in engines {
            if let Some(held_range) = engine.held_range {
                *holder_counts.entry(held_range).or_default() += 1;
            }
        }
        // Ranges with the fewest current holders come first.
        moves.sort_by_key(|layout_move| {
            let count = holder_counts.get(&layout_move.range);
            count.copied().unwrap_or(0)
        });
        moves
    }
}
