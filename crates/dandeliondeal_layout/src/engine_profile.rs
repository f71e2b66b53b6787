//! What the operators state of a service's engines.

use std::time::Duration;

use dandeliondeal_types::{AcceleratorKind, ModelId};

/// Bytes in a megabyte, as the operators count memory.
const MEGABYTE: f64 = 1e6;

/// One kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct CardProfile {
    /// Name of the kind.
    pub kind: AcceleratorKind,
    /// Memory for layers and requests, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of token steps.
    pub step_factor: f64,
    /// Factor on the time of reading prompts.
    pub read_factor: f64,
}

/// Times and sizes of a service's engines, for a model held whole on a card of factor 1.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// The model.
    pub model: ModelId,
    /// Layers of the model.
    pub layers: u32,
    /// Size of one layer in megabytes.
    pub layer_mb: f64,
    /// Memory of one token over all layers, in bytes.
    pub token_bytes: f64,
    /// Bytes that one token sends from engine to engine.
    pub activation_bytes: f64,
    /// Base time of one token step.
    pub step: Duration,
    /// Prompt tokens read in a second.
    pub read_rate: f64,
    /// Time to load the whole model.
    pub load_time: Duration,
    /// Loads that run at once at full speed, over all engines.
    pub parallel_loads: u32,
    /// Mean prompt of a request, in tokens.
    pub usual_prompt: u32,
    /// Mean answer of a request, in tokens.
    pub usual_answer: u32,
    /// Bandwidth between failure domains in megabits a second, shared by all.
    pub pipe_mbps: f64,
    /// The kinds of accelerator.
    pub cards: Vec<CardProfile>,
}

impl EngineProfile {
    /// The profile of a kind of accelerator.
    pub fn card(&self, kind: &str) -> Option<&CardProfile> {
        self.cards.iter().find(|card| &*card.kind == kind)
    }

    /// Share of the model that `layers` layers are.
    fn share(&self, layers: u32) -> f64 {
        f64::from(layers) / f64::from(self.layers.max(1))
    }

    /// Time of one token step through `layers` layers on a card.
    pub fn step_time(&self, card: &CardProfile, layers: u32) -> Duration {
        self.step.mul_f64(card.step_factor * self.share(layers))
    }

    /// Time to read `tokens` prompt tokens through `layers` layers on a card.
    pub fn read_time(&self, card: &CardProfile, layers: u32, tokens: u32) -> Duration {
        let seconds = f64::from(tokens) / self.read_rate.max(1.0);
        Duration::try_from_secs_f64(seconds * card.read_factor * self.share(layers))
            .unwrap_or(Duration::MAX)
    }

    /// Tokens for which a card has memory beside `layers` layers.
    pub fn token_room(&self, card: &CardProfile, layers: u32) -> f64 {
        let free = (card.memory_mb - f64::from(layers) * self.layer_mb) * MEGABYTE;
        let token = self.token_bytes * self.share(layers);
        if layers == 0 || token <= 0.0 {
            return 0.0;
        }
        (free / token).max(0.0)
    }

    /// Most layers with which a card still has memory for `tokens` tokens.
    pub fn layer_limit(&self, card: &CardProfile, tokens: f64) -> u32 {
        let fits = |layers: &u32| self.token_room(card, *layers) >= tokens;
        (1..=self.layers).rev().find(fits).unwrap_or(0)
    }

    /// Time for which sending `tokens` tokens occupies the link between two failure domains.
    pub fn crossing_time(&self, tokens: u32) -> Duration {
        let megabits = f64::from(tokens) * self.activation_bytes * 8.0 / MEGABYTE;
        Duration::try_from_secs_f64(megabits / self.pipe_mbps.max(1.0)).unwrap_or(Duration::MAX)
    }

    /// Time to load `layers` layers while no more loads run than are allowed at full speed.
    pub fn loading_time(&self, layers: u32) -> Duration {
        self.load_time.mul_f64(self.share(layers))
    }
}
