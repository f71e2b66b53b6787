//! Operator-supplied sizes and speeds of a service's engines.

use std::time::Duration;

use dandeliondeal_types::{AcceleratorKind, LayerRange, ModelId};

/// Bytes in a megabyte; operators state memory in decimal megabytes.
const MEGABYTE: f64 = 1e6;

/// Share of the requests that a first engine accepts at which they still start without delay.
const FIRST_ENGINE_SHARE: f64 = 0.6;

/// One kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct CardProfile {
    /// Name of the accelerator kind.
    pub kind: AcceleratorKind,
    /// Memory for layers and the KV cache, in megabytes.
    pub memory_mb: f64,
    /// Multiplier on the duration of a decode step.
    pub step_factor: f64,
    /// Multiplier on the duration of prompt processing (prefill).
    pub prefill_factor: f64,
}

/// Sizes and speeds of a service's engines.
///
/// Durations refer to the whole model on a card whose factors are 1.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// The model that the engines run.
    pub model: ModelId,
    /// Number of layers of the model.
    pub layers: u32,
    /// Size of one layer in megabytes.
    pub layer_mb: f64,
    /// KV-cache memory of one token over all layers, in bytes.
    pub token_bytes: f64,
    /// Bytes sent from one engine to the next for each token.
    pub activation_bytes: f64,
    /// Base duration of one decode step.
    pub step: Duration,
    /// Time that each request of a batch adds to a decode step.
    pub request_step: Duration,
    /// Time that each 1,000 tokens of context in a batch add to a decode step.
    pub context_step: Duration,
    /// Number of decode steps that one pass of an engine runs; an event holds their tokens.
    pub steps_per_pass: u32,
    /// Number of requests that an engine accepts at once as the first of their chains.
    pub max_running: u32,
    /// Prompt tokens processed per second.
    pub prompt_tokens_per_second: f64,
    /// Time to load the whole model.
    pub load_time: Duration,
    /// Number of engines that can load at the same time at full speed.
    pub parallel_loads: u32,
    /// Mean prompt length of a request, in tokens.
    pub mean_prompt_tokens: u32,
    /// Mean output length of a request, in tokens.
    pub mean_output_tokens: u32,
    /// Total bandwidth between failure domains, shared by all requests, in megabits per second.
    pub pipe_mbps: f64,
    /// The kinds of accelerator.
    pub cards: Vec<CardProfile>,
}

impl EngineProfile {
    /// Returns the profile of an accelerator kind.
    pub fn card(&self, kind: &str) -> Option<&CardProfile> {
        self.cards.iter().find(|card| &*card.kind == kind)
    }

    /// Returns the fraction of the model that `layers` layers make up.
    fn layer_fraction(&self, layers: u32) -> f64 {
        f64::from(layers) / f64::from(self.layers.max(1))
    }

    /// Returns the duration of one decode step through `layers` layers on a card.
    pub fn step_time(&self, card: &CardProfile, layers: u32) -> Duration {
        self.step
            .mul_f64(card.step_factor * self.layer_fraction(layers))
    }

    /// Returns the time that one request with `context` tokens adds to a decode step through
    /// `layers` layers on a card.
    pub fn request_step_time(&self, card: &CardProfile, layers: u32, context: f64) -> Duration {
        let step = self.request_step + self.context_step.mul_f64(context.max(0.0) / 1e3);
        step.mul_f64(card.step_factor * self.layer_fraction(layers))
    }

    /// Returns the time to process `tokens` prompt tokens through `layers` layers on a card.
    pub fn prefill_time(&self, card: &CardProfile, layers: u32, tokens: u32) -> Duration {
        let seconds = f64::from(tokens) / self.prompt_tokens_per_second.max(1.0);
        Duration::try_from_secs_f64(seconds * card.prefill_factor * self.layer_fraction(layers))
            .unwrap_or(Duration::MAX)
    }

    /// Returns the number of tokens whose KV cache fits on a card that holds `layers` layers.
    pub fn token_capacity(&self, card: &CardProfile, layers: u32) -> f64 {
        let free_bytes = (card.memory_mb - f64::from(layers) * self.layer_mb) * MEGABYTE;
        let bytes_per_token = self.token_bytes * self.layer_fraction(layers);
        if layers == 0 || bytes_per_token <= 0.0 {
            return 0.0;
        }
        (free_bytes / bytes_per_token).max(0.0)
    }

    /// Returns the number of tokens that the requests on a card with `range` may use.
    ///
    /// The first engine of a chain also limits the number of requests.
    pub fn range_capacity(&self, card: &CardProfile, range: LayerRange) -> f64 {
        let capacity = self.token_capacity(card, range.len());
        if range.start > 0 || self.max_running == 0 {
            return capacity;
        }
        let requests = f64::from(self.max_running) * FIRST_ENGINE_SHARE;
        capacity.min(requests * self.tokens_per_request())
    }

    /// Returns the number of tokens that a request of mean length uses at its end.
    pub fn tokens_per_request(&self) -> f64 {
        f64::from(self.mean_prompt_tokens + self.mean_output_tokens).max(1.0)
    }

    /// Returns the maximum number of layers that leaves a card memory for `tokens` tokens.
    pub fn max_layers(&self, card: &CardProfile, tokens: f64) -> u32 {
        let fits = |layers: &u32| self.token_capacity(card, *layers) >= tokens;
        (1..=self.layers).rev().find(fits).unwrap_or(0)
    }

    /// Returns how long sending `tokens` tokens occupies the link between two failure domains.
    pub fn crossing_time(&self, tokens: u32) -> Duration {
        let megabits = f64::from(tokens) * self.activation_bytes * 8.0 / MEGABYTE;
        Duration::try_from_secs_f64(megabits / self.pipe_mbps.max(1.0)).unwrap_or(Duration::MAX)
    }

    /// Returns the time to load `layers` layers at full speed.
    ///
    /// Loading is slower if more than [`parallel_loads`](Self::parallel_loads) engines load at the
    /// same time.
    pub fn loading_time(&self, layers: u32) -> Duration {
        self.load_time.mul_f64(self.layer_fraction(layers))
    }
}
