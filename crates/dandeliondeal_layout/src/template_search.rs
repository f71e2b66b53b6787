//! Searches for the layout template that serves the highest rate of requests.
//!
//! The candidates are all divisions into at most three groups of equally long ranges. In their
//! order, neighbours differ little, so the search rates some of them at even distances and then
//! those around the best.

use std::collections::BTreeSet;

use crate::card_table::CardTable;
use crate::engine_profile::EngineProfile;
use crate::layout_assignment::assign_ranges;
use crate::layout_planner::EngineState;
use crate::layout_template::LayoutTemplate;
use crate::served_rate::rate_after_losses;

/// Distance between two candidates that a search rates at first.
const SEARCH_STRIDE: usize = 5;
/// Distance between two candidates that decide whether a template in use is worth replacing.
const CHECK_STRIDE: usize = 32;
/// Number of rated candidates whose neighbours are rated as well.
const REFINED_CANDIDATES: usize = 4;
/// Minimum rate of the selected template as a share of the best one's.
///
/// Among templates with similar rates the one with the fewest ranges is selected, because a lost
/// engine then interrupts the fewest running requests.
const MIN_RATE_SHARE: f64 = 0.97;
/// Number of additional ranges into which the narrow layers may be divided.
const MAX_EXTRA_RANGES: u32 = 2;
/// Minimum ratio of a new template's rate to that of the template that engines hold.
///
/// Changing the template empties the engines for seconds, and lost engines usually return sooner.
const MIN_REPLACEMENT_GAIN: f64 = 2.0;
/// Change in the number of engines, as a share, after which a template in use is compared anew.
const MAX_COUNT_CHANGE: f64 = 0.25;

/// Result of the last comparison of the template in use with other templates.
#[derive(Clone, Debug)]
pub(crate) struct TemplateCheck {
    template: LayoutTemplate,
    engine_count: usize,
    rate: f64,
}

impl TemplateCheck {
    /// Returns whether a template that now has `rate` needs no new comparison.
    fn is_valid(&self, engine_count: usize, rate: f64) -> bool {
        let change = self.engine_count.abs_diff(engine_count) as f64;
        change <= self.engine_count as f64 * MAX_COUNT_CHANGE
            && rate * MIN_REPLACEMENT_GAIN >= self.rate
    }
}

/// Rates templates for the cards of one fleet.
struct TemplateRating<'plan> {
    profile: &'plan EngineProfile,
    table: &'plan CardTable<'plan>,
    /// Engines without layers.
    engines: Vec<EngineState>,
}

/// Returns the best template for the engines, or `None` if none gives a chain.
///
/// A template that engines hold is kept unless another one serves at least twice the rate.
/// `last_check` saves comparisons while the engines change little.
pub(crate) fn find_best(
    profile: &EngineProfile,
    table: &CardTable<'_>,
    engines: &[EngineState],
    last_check: &mut Option<TemplateCheck>,
) -> Option<LayoutTemplate> {
    let rating = TemplateRating::new(profile, table, engines);
    if let Some(check) = last_check.as_ref()
        && is_in_use(&check.template, engines)
        && check.is_valid(engines.len(), rating.rate(&check.template))
    {
        return Some(check.template.clone());
    }
    *last_check = None;
    let templates: Vec<LayoutTemplate> = candidate_templates(table).into_iter().collect();
    let Some(current) = held_template(&templates, engines) else {
        return rating.search(&templates);
    };
    let rate = rating.rate(current);
    let compared = templates.iter().step_by(CHECK_STRIDE);
    let best_rate = compared.map(|template| rating.rate(template));
    if rate * MIN_REPLACEMENT_GAIN <= best_rate.fold(0.0, f64::max) {
        return rating.search(&templates);
    }
    *last_check = Some(TemplateCheck {
        template: current.clone(),
        engine_count: engines.len(),
        rate,
    });
    (rate > 0.0).then(|| current.clone())
}

/// Returns whether most engines hold ranges of a template.
fn is_in_use(template: &LayoutTemplate, engines: &[EngineState]) -> bool {
    holder_count(template, engines) * 2 > engines.len()
}

/// Returns the number of engines that hold a range of a template.
fn holder_count(template: &LayoutTemplate, engines: &[EngineState]) -> usize {
    let held = engines.iter().filter_map(|engine| engine.held_range);
    held.filter(|range| template.contains(*range)).count()
}

impl<'plan> TemplateRating<'plan> {
    fn new(
        profile: &'plan EngineProfile,
        table: &'plan CardTable<'plan>,
        engines: &[EngineState],
    ) -> Self {
        let mut engines = engines.to_vec();
        for engine in &mut engines {
            engine.held_range = None;
        }
        Self {
            profile,
            table,
            engines,
        }
    }

    /// Returns the rate of a template after losses if all engines were assigned anew.
    fn rate(&self, template: &LayoutTemplate) -> f64 {
        let ranges = assign_ranges(self.table, template, &self.engines);
        let mut engines = self.engines.clone();
        for (engine, range) in engines.iter_mut().zip(ranges) {
            engine.held_range = range;
        }
        rate_after_losses(self.profile, &engines)
    }

    /// Returns the template with the highest rate, or `None` if none gives a chain.
    fn search(&self, templates: &[LayoutTemplate]) -> Option<LayoutTemplate> {
        let mut rated: Vec<(f64, usize)> = (0..templates.len())
            .step_by(SEARCH_STRIDE)
            .map(|index| (self.rate(&templates[index]), index))
            .collect();
        let by_rate = |left: &(f64, usize), right: &(f64, usize)| right.0.total_cmp(&left.0);
        rated.sort_by(by_rate);
        let centres: Vec<usize> = rated
            .iter()
            .take(REFINED_CANDIDATES)
            .map(|(_, index)| *index)
            .collect();
        let neighbours: BTreeSet<usize> = centres
            .into_iter()
            .flat_map(|centre| {
                let last = (centre + SEARCH_STRIDE).min(templates.len());
                centre.saturating_sub(SEARCH_STRIDE - 1)..last
            })
            .collect();
        rated.extend(
            neighbours
                .into_iter()
                .map(|index| (self.rate(&templates[index]), index)),
        );
        let best_rate = rated.iter().map(|(rate, _)| *rate).fold(0.0, f64::max);
        let good = rated
            .into_iter()
            .filter(|(rate, _)| *rate > 0.0 && *rate >= best_rate * MIN_RATE_SHARE);
        let range_count = |index: usize| templates[index].main_ranges.len();
        let best = good.min_by(|left, right| {
            let counts = range_count(left.1).cmp(&range_count(right.1));
            counts.then(right.0.total_cmp(&left.0))
        });
        best.map(|(_, index)| templates[index].clone())
    }
}

/// Returns the template of which most engines hold a range, if at least half of the engines do.
fn held_template<'plan>(
    templates: &'plan [LayoutTemplate],
    engines: &[EngineState],
) -> Option<&'plan LayoutTemplate> {
    let holders = engines.iter().filter(|engine| engine.held_range.is_some());
    if holders.count() * 2 <= engines.len() {
        return None;
    }
    let most_held = templates
        .iter()
        .max_by_key(|template| holder_count(template, engines))?;
    is_in_use(most_held, engines).then_some(most_held)
}

/// Returns all divisions into at most three groups of ranges whose lengths fit on the cards.
///
/// Each group is made for the cards whose limit lies in one interval between the distinct limits.
fn candidate_templates(table: &CardTable<'_>) -> BTreeSet<LayoutTemplate> {
    let limits = table.layer_limits();
    let mut templates = BTreeSet::new();
    for (index, narrow_limit) in limits.iter().enumerate() {
        let intervals: Vec<(u32, u32)> = limits[index..]
            .windows(2)
            .map(|pair| (pair[0], pair[1]))
            .collect();
        add_templates(table.layers(), *narrow_limit, &[], &mut templates);
        for (position, middle) in intervals.iter().enumerate() {
            for first in group_options(table.layers(), *middle) {
                add_templates(table.layers(), *narrow_limit, &[first], &mut templates);
                for wide in &intervals[position + 1..] {
                    for second in group_options(table.layers() - first.0, *wide) {
                        let groups = [second, first];
                        add_templates(table.layers(), *narrow_limit, &groups, &mut templates);
                    }
                }
            }
        }
    }
    templates
}

/// Returns the groups of ranges with lengths in `(shorter, longest]` that fit into `layers` layers,
/// each with its layers and its number of ranges.
fn group_options(layers: u32, (shorter, longest): (u32, u32)) -> Vec<(u32, u32)> {
    let max_count = layers.div_ceil(longest) + 1;
    let options = (1..=max_count).flat_map(|count| {
        let lengths = (shorter + 1)..=longest;
        lengths.map(move |length| ((length * count).min(layers), count))
    });
    // A group whose ranges come out shorter than the interval belongs to another one.
    let mut options: Vec<(u32, u32)> = options
        .filter(|(group_layers, count)| group_layers.div_ceil(*count) > shorter)
        .collect();
    options.dedup();
    options
}

/// Adds the templates that divide the layers after `groups` into narrow ranges.
fn add_templates(
    layers: u32,
    narrow_limit: u32,
    groups: &[(u32, u32)],
    templates: &mut BTreeSet<LayoutTemplate>,
) {
    let narrow_layers = layers - groups.iter().map(|(layers, _)| layers).sum::<u32>();
    let fewest = narrow_layers.div_ceil(narrow_limit);
    let most = if groups.is_empty() {
        fewest * 2
    } else {
        fewest + MAX_EXTRA_RANGES
    };
    // The ranges of all groups but the last need larger cards than most have.
    let wide_groups = groups.len().min(1);
    for count in fewest..=most.min(narrow_layers) {
        let mut all_groups = groups.to_vec();
        if count > 0 {
            all_groups.push((narrow_layers, count));
        }
        templates.insert(LayoutTemplate::from_groups(
            &all_groups,
            wide_groups,
            narrow_limit,
        ));
    }
}
