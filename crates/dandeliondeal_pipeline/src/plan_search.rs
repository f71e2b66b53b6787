//! Shortest path over layer boundaries, no endpoint twice.
//!
//! The cost of a chain is the sum over its stages of an entry time (wait and link) and a time for
//! each layer. Boundaries are visited in order; at each one every engine either goes on from the
//! boundary before or takes over from the cheapest chain so far, which makes the work engines times
//! boundaries. A cheapest path may come back to an engine that it has left. Such an engine is then
//! tracked by a bit in each label, and the search runs again (state space relaxation), so that the
//! result stays exact without tracking every engine.

use std::time::Duration;

use dandeliondeal_types::{EndpointId, Layer, LayerRange};

use crate::{PlanChain, PlanStage};

/// Most engines that one search tracks; beyond it repeats are merged, which may cost optimality.
const TRACKED_LIMIT: usize = 6;

/// An engine that may take part, with its costs.
#[derive(Clone, Debug)]
pub(crate) struct PlanCandidate {
    pub(crate) endpoint: EndpointId,
    pub(crate) range: LayerRange,
    /// Cost of entering the engine, whatever it then runs.
    pub(crate) entry_time: Duration,
    pub(crate) layer_time: Duration,
}

/// Place of a label: a boundary and the tracked engines that the path has used.
type LabelKey = (usize, usize);

/// The cheapest known path to a label, by its last stage.
#[derive(Clone, Copy, Debug)]
struct PathLabel {
    cost: Duration,
    candidate: usize,
    from: LabelKey,
}

/// Finds the cheapest chain from the first boundary to the last.
pub(crate) fn search(
    candidates: &[PlanCandidate],
    boundaries: &[Layer],
    spread: u64,
) -> Option<PlanChain> {
    let mut tracked: Vec<usize> = Vec::new();
    loop {
        let path = shortest_path(candidates, boundaries, spread, &tracked)?;
        let repeats = repeated(&path);
        if repeats.is_empty() || tracked.len() + repeats.len() > TRACKED_LIMIT {
            return Some(chain(candidates, &path));
        }
        tracked.extend(repeats);
    }
}

/// One stage of a path: the candidate and the layers it runs.
type PathStage = (usize, LayerRange);

fn shortest_path(
    candidates: &[PlanCandidate],
    boundaries: &[Layer],
    spread: u64,
    tracked: &[usize],
) -> Option<Vec<PathStage>> {
    let masks = 1_usize << tracked.len();
    let last = boundaries.len().checked_sub(1).filter(|last| *last > 0)?;
    let mut best: Vec<Option<PathLabel>> = vec![None; boundaries.len() * masks];
    let mut running: Vec<Option<PathLabel>> = vec![None; candidates.len() * masks];
    let order = rotation(candidates.len(), spread);
    for step in 0..last {
        let layers = LayerRange::new(boundaries[step], boundaries[step + 1]);
        for &candidate in &order {
            let engine = &candidates[candidate];
            if !engine.range.contains(layers) {
                continue;
            }
            let bit = tracked_bit(tracked, candidate);
            let slots = &mut running[candidate * masks..(candidate + 1) * masks];
            for mask in (0..masks).filter(|mask| mask & bit == 0) {
                let entered = start_cost(&best, (step, mask), masks).map(|cost| PathLabel {
                    cost: cost + engine.entry_time,
                    candidate,
                    from: (step, mask),
                });
                keep_cheaper(&mut slots[mask | bit], entered);
            }
            for (mask, slot) in slots.iter_mut().enumerate() {
                if let Some(label) = slot {
                    label.cost += engine.layer_time * layers.len();
                    keep_cheaper(&mut best[(step + 1) * masks + mask], *slot);
                }
            }
        }
    }
    let end = (0..masks)
        .filter_map(|mask| Some((mask, best[last * masks + mask]?.cost)))
        .min_by_key(|(_, cost)| *cost)?;
    trace_back(&best, boundaries, masks, (last, end.0))
}

fn start_cost(best: &[Option<PathLabel>], key: LabelKey, masks: usize) -> Option<Duration> {
    match key {
        (0, 0) => Some(Duration::ZERO),
        (0, _) => None,
        (step, mask) => best[step * masks + mask].map(|label| label.cost),
    }
}

fn keep_cheaper(slot: &mut Option<PathLabel>, label: Option<PathLabel>) {
    let Some(label) = label else { return };
    if slot.is_none_or(|kept| label.cost < kept.cost) {
        *slot = Some(label);
    }
}

fn tracked_bit(tracked: &[usize], candidate: usize) -> usize {
    tracked
        .iter()
        .position(|index| *index == candidate)
        .map_or(0, |place| 1 << place)
}

fn trace_back(
    best: &[Option<PathLabel>],
    boundaries: &[Layer],
    masks: usize,
    end: LabelKey,
) -> Option<Vec<PathStage>> {
    let mut path = Vec::new();
    let mut key = end;
    while key.0 > 0 {
        let label = best[key.0 * masks + key.1]?;
        let range = LayerRange::new(boundaries[label.from.0], boundaries[key.0]);
        path.push((label.candidate, range));
        key = label.from;
    }
    path.reverse();
    Some(path)
}

/// Every index once, starting at a place that `spread` chooses.
fn rotation(length: usize, spread: u64) -> Vec<usize> {
    let offset = usize::try_from(spread % (length.max(1) as u64)).unwrap_or_default();
    (offset..length).chain(0..offset).collect()
}

fn repeated(path: &[PathStage]) -> Vec<usize> {
    let mut repeats: Vec<usize> = Vec::new();
    for (place, (candidate, _)) in path.iter().enumerate() {
        let is_later = path[..place].iter().any(|(other, _)| other == candidate);
        if is_later && !repeats.contains(candidate) {
            repeats.push(*candidate);
        }
    }
    repeats
}

/// Turns a path into a chain; stages between two of the same engine are given to that engine.
fn chain(candidates: &[PlanCandidate], path: &[PathStage]) -> PlanChain {
    let mut merged: Vec<PathStage> = Vec::new();
    for &(candidate, range) in path {
        match merged.iter().position(|(other, _)| *other == candidate) {
            Some(place) => {
                merged.truncate(place + 1);
                merged[place].1.end = range.end;
            }
            None => merged.push((candidate, range)),
        }
    }
    let cost = |(candidate, range): &PathStage| {
        candidates[*candidate].entry_time + candidates[*candidate].layer_time * range.len()
    };
    PlanChain {
        cost: merged.iter().map(cost).sum(),
        stages: merged
            .iter()
            .map(|(candidate, range)| PlanStage {
                endpoint: candidates[*candidate].endpoint.clone(),
                range: *range,
            })
            .collect(),
    }
}
