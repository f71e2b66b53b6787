//! Ranks the sampled endpoints for one selection.

use std::time::Duration;

/// Minimum freshness of all load reports for ranking by predicted completion time.
const MIN_COMPLETION_FRESHNESS: f64 = 0.5;
/// Smallest difference between scores that counts, in service times or calls per unit of capacity.
const SCORE_RESOLUTION: f64 = 0.05;

/// Predictions for one sampled endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SampleScore {
    /// Slot index of the endpoint.
    pub(crate) slot: usize,
    /// Predicted time until the answer.
    pub(crate) completion: Duration,
    /// Average time of one call without queueing.
    pub(crate) service_time: Duration,
    /// Predicted queue, in calls per unit of capacity.
    pub(crate) queue: f64,
    /// Remaining weight of the last load report, from 0 to 1.
    pub(crate) freshness: f64,
    /// Factor on the score, above 1 for a suspected endpoint.
    pub(crate) penalty: f64,
}

/// Ranks the samples best first. Samples with equal scores keep their random order.
///
/// The predicted completion time draws all instances to the fastest endpoint, which is correct only
/// while load reports show the calls of other instances there. If any report is stale, the queues
/// are compared instead, and speed counts only through the sampling probability.
pub(crate) fn rank_samples(scores: &[SampleScore], is_only_instance: bool) -> Vec<usize> {
    let is_fresh = is_only_instance
        || scores
            .iter()
            .all(|score| score.freshness >= MIN_COMPLETION_FRESHNESS);
    let shortest_service_time = scores.iter().map(|score| score.service_time).min();
    let service_seconds = shortest_service_time.unwrap_or_default().as_secs_f64();
    let quantise = |score: &SampleScore| {
        let value = if is_fresh {
            score.completion.as_secs_f64() / service_seconds.max(f64::MIN_POSITIVE)
        } else {
            score.queue + 1.0
        };
        (value * score.penalty / SCORE_RESOLUTION).floor()
    };
    let mut ranked: Vec<(f64, usize)> = scores
        .iter()
        .map(|score| (quantise(score), score.slot))
        .collect();
    ranked.sort_by(|left, right| left.0.total_cmp(&right.0));
    ranked.into_iter().map(|(_, slot)| slot).collect()
}
