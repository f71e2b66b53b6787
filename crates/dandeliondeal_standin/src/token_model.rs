//! A model whose next token depends on every layer, in order, over the whole session.
//!
//! Each layer mixes its input into its cache and the cache into its output. A layer that is run
//! twice, left out, run out of order, or run for another session changes every later token.

use dandeliondeal_types::{Layer, LayerRange};
use xxhash_rust::xxh3::xxh3_64;

/// Number of tokens in the vocabulary.
pub const VOCABULARY: u64 = 32_000;

/// The KV cache of one session over a range of layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerCache {
    range: LayerRange,
    cells: Vec<u64>,
}

impl LayerCache {
    /// Makes the empty cache of a session.
    pub fn new(model: &str, range: LayerRange) -> Self {
        let seed = xxh3_64(model.as_bytes());
        let cells = (range.start..range.end)
            .map(|layer| mix(seed, u64::from(layer)))
            .collect();
        Self { range, cells }
    }

    /// Restores an exported cache; `None` if it has not one cell a layer.
    pub fn restore(range: LayerRange, cells: Vec<u64>) -> Option<Self> {
        let is_whole = cells.len() == range.len() as usize;
        is_whole.then_some(Self { range, cells })
    }

    /// One cell a layer.
    pub fn cells(&self) -> &[u64] {
        &self.cells
    }

    /// Runs one position through the layers and returns the activation after the last of them.
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

/// The token that an activation after the model's last layer stands for.
pub fn token_of(activation: u64) -> u64 {
    activation % VOCABULARY
}

/// Computes the undisturbed answer of a model: `count` tokens after the prompt.
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
        next = Some(token_of(cache.run(token)));
    }
    let mut answer = Vec::with_capacity(count);
    while let Some(token) = next
        && answer.len() < count
    {
        answer.push(token);
        next = Some(token_of(cache.run(token)));
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
