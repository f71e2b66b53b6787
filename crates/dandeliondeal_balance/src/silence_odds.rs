//! Odds that silent streams have another cause than one engine.

/// Maximum number of silences that are weighed for one engine.
///
/// Fewer silences only raise the probability that the engine is sound.
const MAX_WEIGHED_SILENCES: usize = 16;
/// Weight below which an explanation is not followed further.
const MIN_EXPLANATION_WEIGHT: f64 = 1e-9;

/// Prior probabilities of the causes of a silence.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CauseWeights {
    /// Probability that a given engine was lost, if any stream is silent.
    pub(crate) loss: f64,
    /// Probability that a stream of a sound chain is silent at a given time.
    pub(crate) chance: f64,
}

/// Silences that are weighed for one engine, each with the other engines that may explain it.
#[derive(Debug)]
struct SilenceCover {
    /// For each silence, the indices into `covers` of the other engines.
    alternatives: Vec<Vec<usize>>,
    /// For each other engine, the set of weighed silences that its loss explains.
    covers: Vec<u32>,
    weights: CauseWeights,
    /// Total above which the engine is not suspected.
    max_total: f64,
    /// Total weight of the explanations so far.
    total: f64,
}

/// Returns an upper bound on the probability that `engine` is sound, or a value above `limit`.
///
/// `silences` are the candidates for each silence that `engine` may explain. All explanations
/// without `engine` are added up: each silence is due to chance or to the loss of another candidate,
/// which also explains the silences of its other streams.
pub(crate) fn sound_probability(
    engine: usize,
    silences: &[&[usize]],
    weights: CauseWeights,
    limit: f64,
) -> f64 {
    let mut chosen: Vec<&[usize]> = silences.to_vec();
    chosen.sort_by_key(|candidates| candidates.len());
    chosen.truncate(MAX_WEIGHED_SILENCES);
    let mut engines: Vec<usize> = chosen.concat();
    engines.retain(|candidate| *candidate != engine);
    engines.sort_unstable();
    engines.dedup();
    let mut cover = SilenceCover {
        alternatives: vec![Vec::new(); chosen.len()],
        covers: vec![0; engines.len()],
        weights,
        max_total: weights.loss * limit / (1.0 - limit),
        total: 0.0,
    };
    for (silence, candidates) in chosen.iter().enumerate() {
        for candidate in *candidates {
            if let Ok(index) = engines.binary_search(candidate) {
                cover.alternatives[silence].push(index);
                cover.covers[index] |= 1 << silence;
            }
        }
    }
    cover.weigh((1_u32 << chosen.len()) - 1, 1.0);
    cover.total / (cover.total + weights.loss)
}

impl SilenceCover {
    /// Adds the weights of the explanations of the silences in `open`, times `weight`, to the total
    /// until it exceeds the maximum.
    fn weigh(&mut self, open: u32, weight: f64) {
        if self.total > self.max_total {
            return;
        }
        if open == 0 || weight < MIN_EXPLANATION_WEIGHT {
            self.total += weight;
            return;
        }
        let silence = open.trailing_zeros();
        for alternative in 0..self.alternatives[silence as usize].len() {
            let engine = self.alternatives[silence as usize][alternative];
            self.weigh(open & !self.covers[engine], weight * self.weights.loss);
        }
        self.weigh(open & !(1 << silence), weight * self.weights.chance);
    }
}
