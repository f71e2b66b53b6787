//! Profiles of engines for tests.

use std::time::Duration;

use dandeliondeal_layout::{CardProfile, EngineProfile};

/// Returns a profile of 8 layers; an engine with 4 of them holds 4,000 tokens.
pub fn profile() -> EngineProfile {
    EngineProfile {
        model: "m0".into(),
        layers: 8,
        layer_mb: 100.0,
        token_bytes: 1_000.0,
        activation_bytes: 1_000.0,
        step: Duration::from_millis(1),
        request_step: Duration::from_micros(10),
        context_step: Duration::from_micros(10),
        steps_per_pass: 2,
        max_running: 8,
        prompt_tokens_per_second: 100_000.0,
        load_time: Duration::from_secs(1),
        parallel_loads: 6,
        mean_prompt_tokens: 800,
        mean_output_tokens: 80,
        pipe_mbps: 10_000.0,
        cards: vec![CardProfile {
            kind: "card".into(),
            memory_mb: 402.0,
            step_factor: 1.0,
            prefill_factor: 1.0,
        }],
    }
}
