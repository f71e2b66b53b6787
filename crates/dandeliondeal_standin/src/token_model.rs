//! A deterministic model whose next token depends on every layer and the whole session.
//!
//! Each layer hashes its input into its cache and the cache into its output. A layer that runs
//! twice, is skipped, runs out of order or runs for another session changes every later token, so
//! that tests detect such errors in the answer.

use dandeliondeal_types::{Layer, LayerRange};
use xxhash_rust::xxh3::xxh3_64;

/// Number of tokens in the vocabulary.
pub const VOCABULARY_SIZE: u64 = 32_000;

/// The key-value cache of one session for a range of layers, with one cell per layer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerCache {
    range: LayerRange,
    cells: Vec<u64>,
}

impl LayerCache {
    /// Creates the empty cache of a session.
    pub fn new(model: &str, range: LayerRange) -> Self {
        let seed = xxh3_64(model.as_bytes());
        let cells = (range.start..range.end)
            .map(|layer| mix(seed, u64::from(layer)))
            .collect();
        Self { range, cells }
    }

    /// Restores an exported cache; `None` unless it has exactly one cell per layer.
    pub fn restore(range: LayerRange, cells: Vec<u64>) -> Option<Self> {
        let is_complete = cells.len() == range.len() as usize;
        is_complete.then_some(Self { range, cells })
    }

    /// Returns the cells, one per layer.
    pub fn cells(&self) -> &[u64] {
        &self.cells
    }

    /// Processes one position in all layers and returns the activation after the last one.
    pub fn run(&mut self, input: u64) -> u64 {
        let layers = self.range.start..self.range.end;
        self.cells
            .iter_mut()
            .zip(layers)
            .fold(input, |activation, (cell, layer)| {
                *cell = mix(*cell, activation);
                mix_layer(activation, *cell, layer)
            })
    }
}

/// Returns the token for an activation after the last layer of the model.
pub fn token_from_activation(activation: u64) -> u64 {
    activation % VOCABULARY_SIZE
}

/// Computes the correct answer of a model: `count` tokens after the prompt.
///
/// # Examples
///
/// ```
/// use dandeliondeal_standin::reference_answer;
///
/// let long = reference_answer("model-a", 8, &[1, 2, 3], 4);
/// assert_eq!(long[..2], reference_answer("model-a", 8, &[1, 2, 3], 2));
/// assert_ne!(long, reference_answer("model-a", 7, &[1, 2, 3], 4));
/// ```
pub fn reference_answer(model: &str, layers: u32, prompt_tokens: &[u64], count: usize) -> Vec<u64> {
    let mut cache = LayerCache::new(model, LayerRange::new(0, layers));
    let mut next = None;
    for &token in prompt_tokens {
        next = Some(token_from_activation(cache.run(token)));
    }
    let mut answer = Vec::with_capacity(count);
    while let Some(token) = next
        && answer.len() < count
    {
        answer.push(token);
        next = Some(token_from_activation(cache.run(token)));
    }
    answer
}

fn mix(left: u64, right: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&left.to_le_bytes());
    bytes[8..].copy_from_slice(&right.to_le_bytes());
    xxh3_64(&bytes)
}

fn mix_layer(activation: u64, cell: u64, layer: Layer) -> u64 {
    mix(mix(activation, cell), u64::from(layer))
}
