//! Searches the cut of a model's layers that suits the cards of a fleet.
//!
//! Memory for requests binds sooner than time: a cut is worth the tokens for which its tightest
//! range has memory, divided by the time that a token takes, since requests hold their memory
//! for as long as they run.

use dandeliondeal_types::LayerRange;

use crate::card_supply::{CardSupply, KindSupply, WidthLimits};
use crate::layout_template::{LayoutTemplate, RangeWidth, WidthCounts};

/// Seconds that each further engine of a chain adds to a token beside its layers: the way there,
/// and the wait for the end of its running pass.
const HOP_SECONDS: f64 = 0.000_4;

/// How many times the chains of a held cut another one has to give: changing the cut empties the
/// engines for seconds, and lost ones usually come back sooner.
const REPLACEMENT_FACTOR: f64 = 2.0;

/// A cut with what the fleet can do with it.
#[derive(Clone, Debug)]
struct RatedTemplate {
    template: LayoutTemplate,
    /// Chains over the whole fleet, with fractions.
    chains: f64,
    /// Whole chains over the fleet, with those of small cards alone.
    whole_chains: usize,
    /// Whole chains within failure domains.
    local_chains: usize,
    /// Tokens a second at the tightest range, up to a factor.
    rate: f64,
    /// Engines that hold a range of the cut.
    held: usize,
}

/// The best cut for the cards; `None` if none gives a chain.
pub(crate) fn best(supply: &CardSupply<'_>) -> Option<LayoutTemplate> {
    let limits = supply.width_limits()?;
    let templates = cuts(supply.profile.layers, limits);
    let rated = templates.filter_map(|template| rate(template, supply));
    let rated: Vec<RatedTemplate> = rated.filter(|rated| rated.chains >= 1.0).collect();
    let best = rated.iter().max_by(|left, right| {
        let chains = |rated: &RatedTemplate| rated.chains.floor();
        chains(left)
            .total_cmp(&chains(right))
            .then(left.local_chains.cmp(&right.local_chains))
            .then(left.rate.total_cmp(&right.rate))
    })?;
    let held = rated.iter().max_by_key(|rated| rated.held)?;
    let is_held = held.held * 2 > supply.card_count();
    let is_kept = is_held && held.whole_chains as f64 * REPLACEMENT_FACTOR > best.chains;
    let chosen = if is_kept { held } else { best };
    Some(chosen.template.clone())
}

/// All cuts into ranges that cards of some width can hold.
fn cuts(layers: u32, limits: WidthLimits) -> impl Iterator<Item = LayoutTemplate> {
    let most_wide = layers.div_ceil(limits.wide);
    let wide = (0..=most_wide).flat_map(move |count| {
        let lengths = if count == 0 {
            0..=0
        } else {
            limits.narrow..=limits.wide
        };
        lengths.map(move |length| (count, length))
    });
    wide.flat_map(move |(wide, wide_length)| {
        let most_middle = layers.div_ceil(limits.middle);
        let middle = (0..=most_middle).flat_map(move |count| {
            let lengths = if count == 0 {
                0..=0
            } else {
                limits.narrow + 1..=limits.middle
            };
            lengths.map(move |length| (count, length))
        });
        middle.filter_map(move |(middle, middle_length)| {
            cut(
                layers,
                limits.narrow,
                (wide, wide_length),
                (middle, middle_length),
            )
        })
    })
}

/// Cuts so many wide and middle ranges of a length, and as many narrow ones as the rest takes.
fn cut(
    layers: u32,
    narrow: u32,
    (wide, wide_length): (u32, u32),
    (middle, middle_length): (u32, u32),
) -> Option<LayoutTemplate> {
    let wide_layers = (wide * wide_length).min(layers);
    let middle_layers = (middle * middle_length).min(layers - wide_layers);
    let is_wasted =
        |count: u32, length: u32, taken: u32| count > 0 && length * (count - 1) >= taken;
    if is_wasted(wide, wide_length, wide_layers) || is_wasted(middle, middle_length, middle_layers)
    {
        return None;
    }
    let rest = layers - wide_layers - middle_layers;
    let mut ranges = split(0, wide_layers, wide);
    ranges.extend(split(wide_layers, middle_layers, middle));
    ranges.extend(split(
        wide_layers + middle_layers,
        rest,
        rest.div_ceil(narrow),
    ));
    Some(LayoutTemplate {
        ranges,
        wide: wide as usize,
        middle: middle as usize,
        split: split(0, wide_layers, wide_layers.div_ceil(narrow)),
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

fn rate(template: LayoutTemplate, supply: &CardSupply<'_>) -> Option<RatedTemplate> {
    let counts = |domain: Option<&str>| {
        let mut counts = WidthCounts::default();
        for kind in &supply.kinds {
            let count = kind.count_in(domain);
            match template.width_of(kind.max_layers) {
                Some(RangeWidth::Wide) => counts.wide += count,
                Some(RangeWidth::Middle) => counts.middle += count,
                Some(RangeWidth::Narrow) => counts.narrow += count,
                None => {}
            }
        }
        counts
    };
    let local_chains = supply.failure_domains().into_iter().map(|domain| {
        let chains = template.chains(counts(Some(domain)));
        if template.wide == 0 {
            chains.alone
        } else {
            chains.mixed
        }
    });
    let all = counts(None);
    let ratio = |cards: usize, ranges: usize| (ranges > 0).then(|| cards as f64 / ranges as f64);
    let main = template.ranges.len() - template.wide;
    let chains = [
        ratio(all.wide, template.wide),
        ratio(all.middle, template.middle),
        ratio(all.middle + all.narrow, main),
    ];
    let chains = chains.into_iter().flatten().reduce(f64::min)?;
    let held = supply.holder_counts.iter();
    let held = held.filter(|(range, _)| template.has(**range));
    let whole = template.chains(all);
    Some(RatedTemplate {
        chains,
        whole_chains: whole.mixed + whole.alone,
        local_chains: local_chains.sum(),
        rate: token_rate(&template, supply)?,
        held: held.map(|(_, count)| count).sum(),
        template,
    })
}

/// Cards of one width, with what they have for a range of theirs.
struct WidthSupply {
    ranges: f64,
    /// Tokens for which all cards of the width together have memory.
    room: f64,
    /// The most that one card of it has.
    largest: f64,
    /// Mean seconds of a token step.
    step: f64,
}

impl WidthSupply {
    fn new(template: &LayoutTemplate, supply: &CardSupply<'_>, width: RangeWidth) -> Self {
        let indices = 0..template.ranges.len();
        let own = indices.filter(|index| template.width(*index) == width);
        let lengths: Vec<u32> = own.map(|index| template.ranges[index].len()).collect();
        let longest = lengths.iter().copied().max().unwrap_or(0);
        let is_own = |kind: &&KindSupply<'_>| template.width_of(kind.max_layers) == Some(width);
        let kinds: Vec<&KindSupply<'_>> = supply.kinds.iter().filter(is_own).collect();
        let room = |kind: &&KindSupply<'_>| supply.profile.token_room(kind.card, longest);
        let count: usize = kinds.iter().map(|kind| kind.card_count).sum();
        let steps = kinds.iter().map(|kind| {
            let step = supply.profile.step_time(kind.card, longest);
            step.as_secs_f64() * kind.card_count as f64
        });
        Self {
            ranges: lengths.len() as f64,
            room: kinds
                .iter()
                .map(|kind| room(kind) * kind.card_count as f64)
                .sum(),
            largest: kinds.iter().map(room).fold(0.0, f64::max),
            step: steps.sum::<f64>() / count.max(1) as f64,
        }
    }

    /// Tokens at each range once the largest card of it is lost; `extra` cards' room comes from
    /// another width.
    fn tightest(&self, extra: f64) -> Option<f64> {
        let left = (self.room + extra) / self.ranges - self.largest;
        (self.ranges > 0.0).then(|| left.max(0.0))
    }
}

/// Tokens that the tightest range has memory for after a loss, by the time of a token's step.
fn token_rate(template: &LayoutTemplate, supply: &CardSupply<'_>) -> Option<f64> {
    let wide = WidthSupply::new(template, supply, RangeWidth::Wide);
    let middle = WidthSupply::new(template, supply, RangeWidth::Middle);
    let narrow = WidthSupply::new(template, supply, RangeWidth::Narrow);
    let mut room = [wide.tightest(0.0), middle.tightest(0.0)]
        .into_iter()
        .flatten()
        .reduce(f64::min);
    if narrow.ranges > 0.0 {
        // Middle cards beyond what the other ranges can use help out at narrow ranges.
        let spare = match room {
            Some(room) => (middle.room - (room + middle.largest) * middle.ranges).max(0.0),
            None => middle.room,
        };
        let tightest = narrow.tightest(spare)?;
        room = Some(room.map_or(tightest, |room| room.min(tightest)));
    }
    let step = wide.step * wide.ranges + middle.step * middle.ranges + narrow.step * narrow.ranges;
    let hops = template.ranges.len() as f64 * HOP_SECONDS;
    Some(room? / (step + hops))
}
