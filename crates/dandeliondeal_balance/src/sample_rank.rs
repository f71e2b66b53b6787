//! Ranks the sampled endpoints of one choice.

use std::time::Duration;

/// Share of a report that must be left for predicted completions to be compared.
const FRESH_SHARE: f64 = 0.5;
/// Steps of one service time, or of one place, that count as different.
const RESOLUTION: f64 = 0.05;

/// What is predicted for one sampled endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SampleScore {
    /// The endpoint.
    pub(crate) slot: usize,
    /// Predicted time until the answer.
    pub(crate) completion: Duration,
    /// Usual time of one call.
    pub(crate) service: Duration,
    /// Predicted queue, in calls a place.
    pub(crate) queue: f64,
    /// Share of the last report that has not faded.
    pub(crate) freshness: f64,
    /// Factor for a suspected endpoint.
    pub(crate) penalty: f64,
}

/// Ranks the samples, the best first; equals stay in order, so that ties fall at random.
///
/// Predicted completion leads all instances to the fastest endpoints, which is right only as long
/// as reports show the others' work there. With stale reports the queues are compared instead,
/// and the speeds count through the sampling alone.
pub(crate) fn rank_samples(scores: &[SampleScore], is_alone: bool) -> Vec<usize> {
    let is_fresh = is_alone || scores.iter().all(|score| score.freshness >= FRESH_SHARE);
    let least_service = scores.iter().map(|score| score.service).min();
    let unit = least_service.unwrap_or_default().as_secs_f64();
    let rank = |score: &SampleScore| {
        let value = if is_fresh {
            score.completion.as_secs_f64() / unit.max(f64::MIN_POSITIVE)
        } else {
            score.queue + 1.0
        };
        (value * score.penalty / RESOLUTION).floor()
    };
    let mut ranked: Vec<(f64, usize)> = scores
        .iter()
        .map(|score| (rank(score), score.slot))
        .collect();
    ranked.sort_by(|left, right| left.0.total_cmp(&right.0));
    ranked.into_iter().map(|(_, slot)| slot).collect()
}
