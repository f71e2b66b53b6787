//! Rate of requests that a layout of layers can serve.
//!
//! Requests hold memory for as long as they run, so the rate is the number of tokens that fit on
//! whole chains, divided by the tokens of a request and by its duration. Requests of one failure
//! domain stay there as far as its engines form chains; others cross the links between domains,
//! which carry little.

use std::collections::BTreeMap;
use std::time::Duration;

use dandeliondeal_types::LayerRange;

use crate::chain_graph::MAX_LINK_UTILISATION;
use crate::engine_profile::{CardProfile, EngineProfile};
use crate::layer_flow::{RangeEdge, maximize_flow};
use crate::layout_planner::EngineState;

/// Mean duration of a pass including the wait for the pass that runs when a request arrives, as a
/// multiple of the pass.
pub(crate) const PASS_WAIT_FACTOR: f64 = 1.5;
/// Seconds that each engine of a chain adds to a pass apart from running its layers.
pub(crate) const HOP_SECONDS: f64 = 0.000_4;
/// Highest utilisation of an engine by prompts and batches at which its times are still bounded.
const MAX_UTILISATION: f64 = 0.9;
/// Mean number of link transfers of the prompt of a request that leaves its failure domain.
const TRANSFERS_PER_CROSSING: f64 = 1.3;
/// Usual objective for the first event.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(500);
/// Usual objective for the pause between events.
const PAUSE_LIMIT: Duration = Duration::from_millis(250);
/// Number of bisection steps of the rate; gives it to a thousandth.
const RATE_STEPS: u32 = 10;
/// Reciprocal of the share of engines that [`rate_after_losses`] takes away.
const LOSS_STRIDE: usize = 20;

/// What a layout can serve.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServedRate {
    /// Requests of mean length per second.
    pub requests_per_second: f64,
    /// Tokens of the requests that run at the same time.
    pub concurrent_tokens: f64,
    /// Duration of a request at that rate, in seconds.
    pub request_seconds: f64,
}

/// Holders of one range in one failure domain.
#[derive(Clone, Debug)]
struct RangeCell<'rate> {
    /// Cards with their number.
    cards: Vec<(&'rate CardProfile, f64)>,
    /// Range with the capacity of the holders and the flow through them.
    edge: RangeEdge,
}

/// Position of an engine in [`LayoutCells`].
#[derive(Clone, Copy, Debug)]
struct EnginePlace {
    domain: usize,
    cell: usize,
    capacity: f64,
}

/// Engines grouped by failure domain and range.
#[derive(Clone, Debug)]
struct LayoutCells<'rate> {
    domains: Vec<Vec<RangeCell<'rate>>>,
    /// Engines that hold layers, sorted by failure domain and range.
    places: Vec<EnginePlace>,
}

/// Durations of a request at one rate, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct RequestTimes {
    total: f64,
    first_event: f64,
    pause: f64,
}

/// Returns the rate that the layers held by `engines` can serve.
///
/// The rate is the highest at which the requests fit into memory, no engine is overloaded, and
/// first events and pauses keep the usual objectives.
pub fn served_rate(profile: &EngineProfile, engines: &[EngineState]) -> ServedRate {
    let mut cells = LayoutCells::new(profile, engines);
    let tokens = cells.fill(profile.layers);
    cells.served_rate(profile, tokens)
}

/// Returns the rate that remains after one twentieth of the engines is lost, at least one.
///
/// Each engine is among the lost ones in one of the cases. Their rates are averaged by their square
/// roots, so that a layout must not depend on single engines.
pub fn rate_after_losses(profile: &EngineProfile, engines: &[EngineState]) -> f64 {
    let cells = LayoutCells::new(profile, engines);
    let mut whole_cells = cells.clone();
    let whole_tokens = whole_cells.fill(profile.layers);
    let whole = whole_cells.served_rate(profile, whole_tokens);
    if whole.requests_per_second <= 0.0 {
        return 0.0;
    }
    let cases = LOSS_STRIDE.min(cells.places.len());
    let request_tokens = profile.tokens_per_request();
    let roots = (0..cases).map(|case| {
        let mut remaining = cells.clone();
        for place in cells.places.iter().skip(case).step_by(LOSS_STRIDE) {
            remaining.domains[place.domain][place.cell].edge.capacity -= place.capacity;
        }
        let tokens = remaining.fill(profile.layers);
        let rate = |tokens: f64| tokens / request_tokens / whole.request_seconds;
        let rate = rate(tokens.local) + rate(tokens.crossing).min(max_crossing_rate(profile));
        rate.sqrt()
    });
    let mean_root = roots.sum::<f64>() / cases.max(1) as f64;
    mean_root * mean_root
}

/// Tokens of concurrent requests by the way of their chains.
#[derive(Clone, Copy, Debug)]
struct FlowTokens {
    /// On chains within one failure domain.
    local: f64,
    /// On chains across failure domains.
    crossing: f64,
}

impl FlowTokens {
    fn total(self) -> f64 {
        self.local + self.crossing
    }
}

impl RequestTimes {
    fn keep_objectives(self) -> bool {
        self.first_event <= FIRST_EVENT_LIMIT.as_secs_f64()
            && self.pause <= PAUSE_LIMIT.as_secs_f64()
    }
}

impl<'rate> LayoutCells<'rate> {
    fn new(profile: &'rate EngineProfile, engines: &[EngineState]) -> Self {
        let mut holders: Vec<(&str, LayerRange, &CardProfile)> = engines
            .iter()
            .filter_map(|engine| {
                let card = profile.card(&engine.kind)?;
                Some((&*engine.failure_domain, engine.held_range?, card))
            })
            .collect();
        holders.sort_by(|left, right| {
            let key = |holder: &(&str, LayerRange, &CardProfile)| (holder.1, holder.2.kind.clone());
            left.0.cmp(right.0).then_with(|| key(left).cmp(&key(right)))
        });
        let mut cells = Self {
            domains: Vec::new(),
            places: Vec::new(),
        };
        let mut last_domain = None;
        for (domain, range, card) in holders {
            if last_domain != Some(domain) {
                cells.domains.push(Vec::new());
                last_domain = Some(domain);
            }
            cells.add(range, card, profile.range_capacity(card, range));
        }
        cells
    }

    /// Adds an engine to the last failure domain.
    fn add(&mut self, range: LayerRange, card: &'rate CardProfile, capacity: f64) {
        let domain = self.domains.len() - 1;
        let cells = &mut self.domains[domain];
        if cells.last().is_none_or(|cell| cell.edge.range != range) {
            cells.push(RangeCell {
                cards: Vec::new(),
                edge: RangeEdge::new(range, 0.0),
            });
        }
        let index = cells.len() - 1;
        let cell = &mut cells[index];
        cell.edge.capacity += capacity;
        match cell.cards.last_mut() {
            Some((known, count)) if std::ptr::eq(*known, card) => *count += 1.0,
            _ => cell.cards.push((card, 1.0)),
        }
        self.places.push(EnginePlace {
            domain,
            cell: index,
            capacity,
        });
    }

    /// Sets the flow of each cell: first within failure domains, then across them.
    fn fill(&mut self, layers: u32) -> FlowTokens {
        let mut local = 0.0;
        let mut unused: BTreeMap<LayerRange, f64> = BTreeMap::new();
        for cells in &mut self.domains {
            let mut edges: Vec<RangeEdge> = cells.iter().map(|cell| cell.edge).collect();
            local += maximize_flow(layers, &mut edges);
            for (cell, edge) in cells.iter_mut().zip(edges) {
                cell.edge = edge;
                *unused.entry(edge.range).or_default() += edge.unused();
            }
        }
        let edges = unused.iter();
        let mut edges: Vec<RangeEdge> = edges
            .map(|(range, capacity)| RangeEdge::new(*range, *capacity))
            .collect();
        let crossing = maximize_flow(layers, &mut edges);
        for cell in self.domains.iter_mut().flatten() {
            let index = edges.binary_search_by(|edge| edge.range.cmp(&cell.edge.range));
            if let Ok(index) = index
                && edges[index].capacity > 0.0
            {
                let used_share = edges[index].flow / edges[index].capacity;
                cell.edge.flow += cell.edge.unused() * used_share;
            }
        }
        FlowTokens { local, crossing }
    }

    /// Returns the rate if `tokens` is the flow through the cells.
    fn served_rate(&self, profile: &EngineProfile, tokens: FlowTokens) -> ServedRate {
        let total = tokens.total();
        let requests = total / profile.tokens_per_request();
        let times_at = |rate: f64| request_times(profile, &self.domains, total, rate);
        let idle_seconds = match times_at(0.0) {
            Some(times) if requests > 0.0 && times.total > 0.0 => times.total,
            _ => return ServedRate::default(),
        };
        let (mut low, mut high) = (0.0, requests / idle_seconds);
        let mut request_seconds = idle_seconds;
        for _ in 0..RATE_STEPS {
            let rate = f64::midpoint(low, high);
            match times_at(rate) {
                Some(times) if rate * times.total <= requests && times.keep_objectives() => {
                    low = rate;
                    request_seconds = times.total;
                }
                _ => high = rate,
            }
        }
        // Requests that leave their failure domain are limited by the links as well.
        let crossing_rate = low * tokens.crossing / total;
        ServedRate {
            requests_per_second: low * tokens.local / total
                + crossing_rate.min(max_crossing_rate(profile)),
            concurrent_tokens: total,
            request_seconds,
        }
    }
}

/// Returns the mean durations of a request at `rate` requests per second over the whole layout.
///
/// Returns `None` if an engine is overloaded at that rate.
fn request_times(
    profile: &EngineProfile,
    domains: &[Vec<RangeCell<'_>>],
    tokens: f64,
    rate: f64,
) -> Option<RequestTimes> {
    let passes = passes_per_request(profile);
    let mut times = RequestTimes::default();
    for cell in domains.iter().flatten() {
        let share = cell.edge.flow / tokens;
        let layers = cell.edge.range.len();
        if share.is_nan() || share <= 0.0 {
            continue;
        }
        for (card, count) in &cell.cards {
            let capacity = profile.range_capacity(card, cell.edge.range) * count;
            let card_share = share * capacity / cell.edge.capacity;
            let engine_rate = rate * card_share / count;
            let engine = engine_times(profile, card, layers, engine_rate)?;
            times.total += card_share * (passes * engine.pass + engine.prefill);
            times.first_event += card_share * (engine.pass + engine.prefill);
            times.pause += card_share * engine.pass;
        }
    }
    Some(times)
}

/// Durations at one engine, in seconds.
#[derive(Clone, Copy, Debug)]
struct EngineTimes {
    /// One pass, with the wait for it and the transfer to the next engine.
    pass: f64,
    /// The whole prompt.
    prefill: f64,
}

fn engine_times(
    profile: &EngineProfile,
    card: &CardProfile,
    layers: u32,
    rate: f64,
) -> Option<EngineTimes> {
    let steps = f64::from(profile.steps_per_pass.max(1));
    let context =
        f64::from(profile.mean_prompt_tokens) + f64::from(profile.mean_output_tokens) / 2.0;
    let pass = steps * profile.step_time(card, layers).as_secs_f64();
    let request_pass = steps
        * profile
            .request_step_time(card, layers, context)
            .as_secs_f64();
    let prefill = profile.prefill_time(card, layers, profile.mean_prompt_tokens);
    let prefill = prefill.as_secs_f64();
    let utilisation = rate * (prefill + passes_per_request(profile) * request_pass);
    if utilisation > MAX_UTILISATION {
        return None;
    }
    let slowdown = 1.0 / (1.0 - utilisation);
    Some(EngineTimes {
        pass: pass * slowdown * PASS_WAIT_FACTOR + HOP_SECONDS,
        prefill: prefill * slowdown,
    })
}

/// Returns the number of passes that generate the output of a request of mean length.
pub(crate) fn passes_per_request(profile: &EngineProfile) -> f64 {
    let steps = f64::from(profile.steps_per_pass.max(1));
    (f64::from(profile.mean_output_tokens) / steps).max(1.0)
}

/// Returns the number of requests per second that may leave their failure domain.
fn max_crossing_rate(profile: &EngineProfile) -> f64 {
    let transfer = profile
        .crossing_time(profile.mean_prompt_tokens)
        .as_secs_f64();
    MAX_LINK_UTILISATION / (transfer * TRANSFERS_PER_CROSSING).max(f64::MIN_POSITIVE)
}
