//! Searches for the layout template that best suits the cards of a fleet.
//!
//! Memory for requests runs out before compute does. Requests hold their memory for as long as
//! they run, so a template is rated by the tokens that fit on its most constrained range, divided
//! by the time that a token takes.

use dandeliondeal_types::LayerRange;

use crate::card_supply::{CardSupply, KindSupply, WidthLimits};
use crate::layout_template::{LayoutTemplate, RangeWidth, WidthCounts};

/// Seconds that each additional engine of a chain adds to a token apart from running its layers:
/// the transfer to the engine and the wait for its current pass to end.
const HOP_SECONDS: f64 = 0.000_4;

/// Minimum ratio of a new template's chains to those of the template that engines hold.
///
/// Changing the template empties the engines for seconds, and lost engines usually return sooner.
const MIN_REPLACEMENT_GAIN: f64 = 2.0;

/// A template with the chains and the throughput that it gives the fleet.
#[derive(Clone, Debug)]
struct RatedTemplate {
    template: LayoutTemplate,
    /// Chains over the whole fleet, including fractions.
    fractional_chains: f64,
    /// Whole chains over the fleet, including those without large cards.
    whole_chains: usize,
    /// Whole chains within single failure domains.
    local_chains: usize,
    /// Tokens per second at the most constrained range, up to a constant factor.
    token_rate: f64,
    /// Number of engines that already hold a range of the template.
    holder_count: usize,
}

/// Returns the best template for the cards, or `None` if no template gives a chain.
pub(crate) fn find_best(supply: &CardSupply<'_>) -> Option<LayoutTemplate> {
    let limits = supply.width_limits()?;
    let templates = candidate_templates(supply.profile.layers, limits);
    let rated = templates.filter_map(|template| rate_template(template, supply));
    let rated: Vec<RatedTemplate> = rated
        .filter(|rated| rated.fractional_chains >= 1.0)
        .collect();
    let best = rated.iter().max_by(|left, right| {
        let chains = |rated: &RatedTemplate| rated.fractional_chains.floor();
        chains(left)
            .total_cmp(&chains(right))
            .then(left.local_chains.cmp(&right.local_chains))
            .then(left.token_rate.total_cmp(&right.token_rate))
    })?;
    let current = rated.iter().max_by_key(|rated| rated.holder_count)?;
    let is_in_use = current.holder_count * 2 > supply.card_count();
    let keeps_current =
        is_in_use && current.whole_chains as f64 * MIN_REPLACEMENT_GAIN > best.fractional_chains;
    let selected = if keeps_current { current } else { best };
    Some(selected.template.clone())
}

/// Returns all templates whose ranges fit on cards of some width.
fn candidate_templates(layers: u32, limits: WidthLimits) -> impl Iterator<Item = LayoutTemplate> {
    let max_wide = layers.div_ceil(limits.wide);
    let wide = (0..=max_wide).flat_map(move |count| {
        let lengths = if count == 0 {
            0..=0
        } else {
            limits.narrow..=limits.wide
        };
        lengths.map(move |length| (count, length))
    });
    wide.flat_map(move |(wide_count, wide_length)| {
        let max_middle = layers.div_ceil(limits.middle);
        let middle = (0..=max_middle).flat_map(move |count| {
            let lengths = if count == 0 {
                0..=0
            } else {
                limits.narrow + 1..=limits.middle
            };
            lengths.map(move |length| (count, length))
        });
        middle.filter_map(move |(middle_count, middle_length)| {
            build_template(
                layers,
                limits.narrow,
                (wide_count, wide_length),
                (middle_count, middle_length),
            )
        })
    })
}

/// Builds a template from wide and middle ranges, and divides the remaining layers into as few
/// narrow ranges as possible.
///
/// Returns `None` if fewer ranges of the same length would cover the wide or the middle layers.
fn build_template(
    layers: u32,
    narrow_limit: u32,
    (wide_count, wide_length): (u32, u32),
    (middle_count, middle_length): (u32, u32),
) -> Option<LayoutTemplate> {
    let wide_layers = (wide_count * wide_length).min(layers);
    let middle_layers = (middle_count * middle_length).min(layers - wide_layers);
    let has_spare_range =
        |count: u32, length: u32, covered: u32| count > 0 && length * (count - 1) >= covered;
    if has_spare_range(wide_count, wide_length, wide_layers)
        || has_spare_range(middle_count, middle_length, middle_layers)
    {
        return None;
    }
    let narrow_layers = layers - wide_layers - middle_layers;
    let mut main_ranges = divide_evenly(0, wide_layers, wide_count);
    main_ranges.extend(divide_evenly(wide_layers, middle_layers, middle_count));
    main_ranges.extend(divide_evenly(
        wide_layers + middle_layers,
        narrow_layers,
        narrow_layers.div_ceil(narrow_limit),
    ));
    Some(LayoutTemplate {
        main_ranges,
        wide_count: wide_count as usize,
        middle_count: middle_count as usize,
        substitute_ranges: divide_evenly(0, wide_layers, wide_layers.div_ceil(narrow_limit)),
    })
}

/// Divides `length` layers from `start` on into `count` ranges of nearly equal length.
fn divide_evenly(start: u32, length: u32, count: u32) -> Vec<LayerRange> {
    (0..count)
        .map(|index| {
            let range_start = start + length * index / count;
            let range_end = start + length * (index + 1) / count;
            LayerRange::new(range_start, range_end)
        })
        .collect()
}

/// Rates a template; returns `None` if it has no ranges.
fn rate_template(template: LayoutTemplate, supply: &CardSupply<'_>) -> Option<RatedTemplate> {
    let width_counts = |domain: Option<&str>| {
        let mut counts = WidthCounts::default();
        for kind in &supply.kinds {
            let card_count = kind.count_in(domain);
            match template.card_width(kind.max_layers) {
                Some(RangeWidth::Wide) => counts.wide += card_count,
                Some(RangeWidth::Middle) => counts.middle += card_count,
                Some(RangeWidth::Narrow) => counts.narrow += card_count,
                None => {}
            }
        }
        counts
    };
    let local_chains = supply.failure_domains().into_iter().map(|domain| {
        let chains = template.chain_counts(width_counts(Some(domain)));
        if template.wide_count == 0 {
            chains.small_only
        } else {
            chains.mixed
        }
    });
    let fleet_cards = width_counts(None);
    let ratio = |cards: usize, ranges: usize| (ranges > 0).then(|| cards as f64 / ranges as f64);
    let small_ranges = template.main_ranges.len() - template.wide_count;
    let chain_limits = [
        ratio(fleet_cards.wide, template.wide_count),
        ratio(fleet_cards.middle, template.middle_count),
        ratio(fleet_cards.middle + fleet_cards.narrow, small_ranges),
    ];
    let fractional_chains = chain_limits.into_iter().flatten().reduce(f64::min)?;
    let holder_counts = supply.holder_counts.iter();
    let holder_counts = holder_counts.filter(|(range, _)| template.contains(**range));
    let fleet_chains = template.chain_counts(fleet_cards);
    Some(RatedTemplate {
        fractional_chains,
        whole_chains: fleet_chains.mixed + fleet_chains.small_only,
        local_chains: local_chains.sum(),
        token_rate: token_rate(&template, supply)?,
        holder_count: holder_counts.map(|(_, count)| count).sum(),
        template,
    })
}

/// Cards of one width, with the capacity that they provide for the main ranges of that width.
struct WidthSupply {
    range_count: f64,
    /// Tokens whose KV cache fits on all cards of the width together.
    total_capacity: f64,
    /// Tokens whose KV cache fits on the largest card of the width.
    largest_capacity: f64,
    /// Mean duration of a decode step through one range, in seconds.
    step_seconds: f64,
}

impl WidthSupply {
    fn new(template: &LayoutTemplate, supply: &CardSupply<'_>, width: RangeWidth) -> Self {
        let indices = 0..template.main_ranges.len();
        let indices = indices.filter(|index| template.range_width(*index) == width);
        let lengths: Vec<u32> = indices
            .map(|index| template.main_ranges[index].len())
            .collect();
        let longest = lengths.iter().copied().max().unwrap_or(0);
        let has_width =
            |kind: &&KindSupply<'_>| template.card_width(kind.max_layers) == Some(width);
        let kinds: Vec<&KindSupply<'_>> = supply.kinds.iter().filter(has_width).collect();
        let capacity = |kind: &&KindSupply<'_>| supply.profile.token_capacity(kind.card, longest);
        let card_count: usize = kinds.iter().map(|kind| kind.card_count).sum();
        let step_seconds = kinds.iter().map(|kind| {
            let step = supply.profile.step_time(kind.card, longest);
            step.as_secs_f64() * kind.card_count as f64
        });
        Self {
            range_count: lengths.len() as f64,
            total_capacity: kinds
                .iter()
                .map(|kind| capacity(kind) * kind.card_count as f64)
                .sum(),
            largest_capacity: kinds.iter().map(capacity).fold(0.0, f64::max),
            step_seconds: step_seconds.sum::<f64>() / card_count.max(1) as f64,
        }
    }

    /// Returns the token capacity of each range after the loss of its largest card.
    ///
    /// `extra` is the capacity that cards of another width contribute. Returns `None` if the
    /// template has no ranges of this width.
    fn capacity_after_loss(&self, extra: f64) -> Option<f64> {
        let remaining = (self.total_capacity + extra) / self.range_count - self.largest_capacity;
        (self.range_count > 0.0).then(|| remaining.max(0.0))
    }
}

/// Returns the token capacity of the most constrained range after a loss, divided by the seconds
/// that one token takes through the whole chain.
fn token_rate(template: &LayoutTemplate, supply: &CardSupply<'_>) -> Option<f64> {
    let wide = WidthSupply::new(template, supply, RangeWidth::Wide);
    let middle = WidthSupply::new(template, supply, RangeWidth::Middle);
    let narrow = WidthSupply::new(template, supply, RangeWidth::Narrow);
    let mut min_capacity = [
        wide.capacity_after_loss(0.0),
        middle.capacity_after_loss(0.0),
    ]
    .into_iter()
    .flatten()
    .reduce(f64::min);
    if narrow.range_count > 0.0 {
        // Middle cards that the wide and middle ranges cannot use serve narrow ranges.
        let spare_capacity = match min_capacity {
            Some(capacity) => (middle.total_capacity
                - (capacity + middle.largest_capacity) * middle.range_count)
                .max(0.0),
            None => middle.total_capacity,
        };
        let narrow_capacity = narrow.capacity_after_loss(spare_capacity)?;
        min_capacity =
            Some(min_capacity.map_or(narrow_capacity, |capacity| capacity.min(narrow_capacity)));
    }
    let step_seconds = wide.step_seconds * wide.range_count
        + middle.step_seconds * middle.range_count
        + narrow.step_seconds * narrow.range_count;
    let hop_seconds = template.main_ranges.len() as f64 * HOP_SECONDS;
    Some(min_capacity? / (step_seconds + hop_seconds))
}
