//! Shortest-path search over layer boundaries that uses no endpoint twice.
//!
//! The cost of a chain is the sum over its stages of an entry time (wait and link) and a time per
//! layer. Boundaries are visited in order. At each one, every engine either continues from the
//! previous boundary or takes over from the cheapest chain so far, so the cost of the search is
//! proportional to engines times boundaries.
//!
//! The cheapest path may return to an engine that it has left. Such an engine is then tracked by a
//! bit in each label, and the search runs again (state space relaxation). The result is exact
//! without tracking every engine.

use std::time::Duration;

use dandeliondeal_types::{EndpointId, Layer, LayerRange};

use crate::{PlanChain, PlanStage};

/// Maximum number of engines that one search tracks.
///
/// Beyond it, stages on the same engine are merged, and the chain may not be the cheapest.
const MAX_TRACKED_ENGINES: usize = 6;

/// An engine that may run a stage, with its costs.
#[derive(Clone, Debug)]
pub(crate) struct PlanCandidate {
    pub(crate) endpoint: EndpointId,
    pub(crate) range: LayerRange,
    /// Cost of entering the engine, independent of the number of layers that it runs.
    pub(crate) entry_time: Duration,
    /// Cost of each layer that the engine runs.
    pub(crate) layer_time: Duration,
}

/// Key of a label: index of a boundary, and bit mask of the tracked engines that the path uses.
type LabelKey = (usize, usize);

/// Cheapest path found to a label, represented by its last stage.
#[derive(Clone, Copy, Debug)]
struct PathLabel {
    cost: Duration,
    /// Index of the candidate that runs the last stage.
    candidate: usize,
    /// Label at which the last stage starts.
    from: LabelKey,
}

/// Returns the cheapest chain from the first boundary to the last.
pub(crate) fn search(
    candidates: &[PlanCandidate],
    boundaries: &[Layer],
    tie_breaker: u64,
) -> Option<PlanChain> {
    let mut tracked: Vec<usize> = Vec::new();
    loop {
        let path = shortest_path(candidates, boundaries, tie_breaker, &tracked)?;
        let repeats = repeated_candidates(&path);
        if repeats.is_empty() || tracked.len() + repeats.len() > MAX_TRACKED_ENGINES {
            return Some(build_chain(candidates, &path));
        }
        tracked.extend(repeats);
    }
}

/// One stage of a path: the index of the candidate and the layers that it runs.
type PathStage = (usize, LayerRange);

/// Returns the cheapest path; only candidates in `tracked` are kept from being used twice.
fn shortest_path(
    candidates: &[PlanCandidate],
    boundaries: &[Layer],
    tie_breaker: u64,
    tracked: &[usize],
) -> Option<Vec<PathStage>> {
    let mask_count = 1_usize << tracked.len();
    let last_boundary = boundaries
        .len()
        .checked_sub(1)
        .filter(|last_boundary| *last_boundary > 0)?;
    // Cheapest label for each boundary and mask.
    let mut best_labels: Vec<Option<PathLabel>> = vec![None; boundaries.len() * mask_count];
    // Cheapest label for each candidate and mask, whose last stage still runs on the candidate.
    let mut active_labels: Vec<Option<PathLabel>> = vec![None; candidates.len() * mask_count];
    let candidate_order = rotated_indices(candidates.len(), tie_breaker);
    for boundary in 0..last_boundary {
        let layers = LayerRange::new(boundaries[boundary], boundaries[boundary + 1]);
        for &candidate in &candidate_order {
            let engine = &candidates[candidate];
            if !engine.range.contains(layers) {
                continue;
            }
            let bit = tracked_bit(tracked, candidate);
            let labels = &mut active_labels[candidate * mask_count..(candidate + 1) * mask_count];
            for mask in (0..mask_count).filter(|mask| mask & bit == 0) {
                let entered =
                    label_cost(&best_labels, (boundary, mask), mask_count).map(|cost| PathLabel {
                        cost: cost + engine.entry_time,
                        candidate,
                        from: (boundary, mask),
                    });
                keep_cheaper(&mut labels[mask | bit], entered);
            }
            for (mask, slot) in labels.iter_mut().enumerate() {
                if let Some(label) = slot {
                    label.cost += engine.layer_time * layers.len();
                    keep_cheaper(&mut best_labels[(boundary + 1) * mask_count + mask], *slot);
                }
            }
        }
    }
    let end = (0..mask_count)
        .filter_map(|mask| Some((mask, best_labels[last_boundary * mask_count + mask]?.cost)))
        .min_by_key(|(_, cost)| *cost)?;
    trace_back(&best_labels, boundaries, mask_count, (last_boundary, end.0))
}

/// Returns the cost of the cheapest path to a label, if there is one.
fn label_cost(
    best_labels: &[Option<PathLabel>],
    key: LabelKey,
    mask_count: usize,
) -> Option<Duration> {
    match key {
        (0, 0) => Some(Duration::ZERO),
        (0, _) => None,
        (boundary, mask) => best_labels[boundary * mask_count + mask].map(|label| label.cost),
    }
}

fn keep_cheaper(slot: &mut Option<PathLabel>, label: Option<PathLabel>) {
    let Some(label) = label else { return };
    if slot.is_none_or(|current| label.cost < current.cost) {
        *slot = Some(label);
    }
}

/// Returns the mask bit of a tracked candidate, or 0 if it is not tracked.
fn tracked_bit(tracked: &[usize], candidate: usize) -> usize {
    tracked
        .iter()
        .position(|index| *index == candidate)
        .map_or(0, |bit| 1 << bit)
}

/// Returns the stages of the path that ends at a label, in order.
fn trace_back(
    best_labels: &[Option<PathLabel>],
    boundaries: &[Layer],
    mask_count: usize,
    end: LabelKey,
) -> Option<Vec<PathStage>> {
    let mut path = Vec::new();
    let mut key = end;
    while key.0 > 0 {
        let label = best_labels[key.0 * mask_count + key.1]?;
        let range = LayerRange::new(boundaries[label.from.0], boundaries[key.0]);
        path.push((label.candidate, range));
        key = label.from;
    }
    path.reverse();
    Some(path)
}

/// Returns the indices below `length` in order, starting at one that `tie_breaker` selects.
fn rotated_indices(length: usize, tie_breaker: u64) -> Vec<usize> {
    let offset = usize::try_from(tie_breaker % (length.max(1) as u64)).unwrap_or_default();
    (offset..length).chain(0..offset).collect()
}

/// Returns each candidate that runs more than one stage of the path.
fn repeated_candidates(path: &[PathStage]) -> Vec<usize> {
    let mut repeats: Vec<usize> = Vec::new();
    for (index, (candidate, _)) in path.iter().enumerate() {
        let is_repeated = path[..index].iter().any(|(other, _)| other == candidate);
        if is_repeated && !repeats.contains(candidate) {
            repeats.push(*candidate);
        }
    }
    repeats
}

/// Converts a path to a chain; stages between two of the same engine are merged into that engine.
fn build_chain(candidates: &[PlanCandidate], path: &[PathStage]) -> PlanChain {
    let mut merged: Vec<PathStage> = Vec::new();
    for &(candidate, range) in path {
        match merged.iter().position(|(other, _)| *other == candidate) {
            Some(index) => {
                merged.truncate(index + 1);
                merged[index].1.end = range.end;
            }
            None => merged.push((candidate, range)),
        }
    }
    let stage_cost = |(candidate, range): &PathStage| {
        candidates[*candidate].entry_time + candidates[*candidate].layer_time * range.len()
    };
    PlanChain {
        cost: merged.iter().map(stage_cost).sum(),
        stages: merged
            .iter()
            .map(|(candidate, range)| PlanStage {
                endpoint: candidates[*candidate].endpoint.clone(),
                range: *range,
            })
            .collect(),
    }
}
