//! How the layers of a model are cut into ranges that engines hold.

use dandeliondeal_types::LayerRange;

use crate::engine_profile::EngineProfile;
use crate::layout_planner::EngineState;

/// A cut of a model's layers: wide ranges for large cards first, then narrow ones.
///
/// All chains use the same cut, so that any engine of a range can stand in for any other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayoutTemplate {
    /// The ranges in order; together they are all layers.
    pub ranges: Vec<LayerRange>,
    /// How many of the first ranges are wide.
    pub wide: usize,
    /// The wide ranges' layers in narrow ranges, with which small cards form chains alone.
    pub split: Vec<LayerRange>,
}

/// Least factor between the layers of large and small cards that makes two widths worth it.
const WIDTH_FACTOR: u32 = 2;

impl LayoutTemplate {
    /// The cut that gives the most chains.
    ///
    /// Among equal cuts, one that engines already hold wins; a cut that engines hold is given up
    /// only for at least one chain more. `None` if no cut gives a chain.
    pub fn choose(profile: &EngineProfile, engines: &[EngineState], tokens: f64) -> Option<Self> {
        let (narrow, wide) = widths(profile, engines, tokens)?;
        let most_wide = profile.layers.div_ceil(wide);
        let templates = (0..=most_wide).filter_map(|count| Self::cut(profile, narrow, wide, count));
        let held = |template: &Self| {
            let holds = |engine: &&EngineState| engine.held.is_some_and(|held| template.has(held));
            engines.iter().filter(holds).count()
        };
        let most_held = templates.clone().map(|template| held(&template)).max();
        templates
            .map(|template| {
                let is_held =
                    held(&template) * 2 > engines.len() && Some(held(&template)) == most_held;
                let bonus = if is_held { 1.0 } else { 0.0 };
                let score = template.chains(profile, engines, tokens) + bonus;
                (template, score, bonus)
            })
            .filter(|(_, score, bonus)| score - bonus >= 1.0)
            .max_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(template, _, _)| template)
    }

    /// Cuts `count` wide ranges and as many narrow ones as the rest takes.
    fn cut(profile: &EngineProfile, narrow: u32, wide: u32, count: u32) -> Option<Self> {
        let wide_layers = (wide * count).min(profile.layers);
        let rest = profile.layers - wide_layers;
        if count > 0 && rest == 0 && wide * (count - 1) >= profile.layers {
            return None;
        }
        let mut ranges = split(0, wide_layers, count);
        ranges.extend(split(wide_layers, rest, rest.div_ceil(narrow)));
        Some(Self {
            ranges,
            wide: count as usize,
            split: split(0, wide_layers, wide_layers.div_ceil(narrow)),
        })
    }

    /// Whether `range` is one of the cut.
    pub fn has(&self, range: LayerRange) -> bool {
        self.ranges.contains(&range) || self.split.contains(&range)
    }

    /// Whether an engine has the memory for a range, and for enough tokens beside it.
    pub fn fits(
        profile: &EngineProfile,
        engine: &EngineState,
        range: LayerRange,
        tokens: f64,
    ) -> bool {
        let card = profile.card(&engine.kind);
        card.is_some_and(|card| profile.layer_limit(card, tokens) >= range.len())
    }

    /// Chains that the engines could form, not counting failure domains.
    fn chains(&self, profile: &EngineProfile, engines: &[EngineState], tokens: f64) -> f64 {
        let wide_range = self.ranges.first().copied().unwrap_or_default();
        let is_large = |engine: &&EngineState| Self::fits(profile, engine, wide_range, tokens);
        let large = engines.iter().filter(is_large).count();
        let narrow = self.ranges.len() - self.wide;
        match (self.wide, narrow) {
            (0, narrow) => engines.len() as f64 / narrow.max(1) as f64,
            (wide, 0) => large as f64 / wide as f64,
            (wide, narrow) => {
                let small = engines.len() - large;
                (large as f64 / wide as f64).min(small as f64 / narrow as f64)
            }
        }
    }
}

/// Layers of small and of large cards.
fn widths(profile: &EngineProfile, engines: &[EngineState], tokens: f64) -> Option<(u32, u32)> {
    let mut limits: Vec<u32> = engines
        .iter()
        .filter_map(|engine| profile.card(&engine.kind))
        .map(|card| profile.layer_limit(card, tokens))
        .filter(|limit| *limit > 0)
        .collect();
    limits.sort_unstable();
    let narrow = *limits.first()?;
    let wide = *limits.last()?;
    Some(if wide < narrow * WIDTH_FACTOR {
        (narrow, narrow)
    } else {
        (narrow, wide)
    })
}

/// Splits `length` layers from `start` into `count` ranges of nearly equal length.
fn split(start: u32, length: u32, count: u32) -> Vec<LayerRange> {
    (0..count)
        .map(|index| {
            let from = start + length * index / count;
            let to = start + length * (index + 1) / count;
            LayerRange::new(from, to)
        })
        .collect()
}
