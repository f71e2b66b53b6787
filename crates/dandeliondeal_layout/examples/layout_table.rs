//! Rates the planner's layouts of generated fleets against the upper bound of their cards.
//!
//! `cargo run --release -p dandeliondeal_layout --example layout_table -- 1000` prints one line for
//! each hundredth fleet, and the distribution of layout / bound over all.

use std::time::{Duration, Instant};

use dandeliondeal_layout::{
    CardProfile, EngineProfile, EngineState, LayoutPlanner, LayoutSettings, rate_after_losses,
    rate_bound, served_rate,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Kinds of accelerator with their memory in megabytes and their step and prefill factors.
const KINDS: [(&str, f64, f64, f64); 7] = [
    ("h200", 141_000.0, 1.0, 1.0),
    ("h100", 80_000.0, 1.4, 1.1),
    ("a100", 72_000.0, 2.4, 3.2),
    ("l40s", 43_200.0, 5.6, 2.7),
    ("a10", 24_000.0, 8.0, 7.5),
    ("l4", 21_600.0, 16.0, 8.2),
    ("v100", 14_400.0, 5.3, 7.9),
];
/// Seed of the first fleet.
const SEED: u64 = 24;
/// Number of fleets between two printed lines.
const PRINT_INTERVAL: u64 = 100;

fn profile() -> EngineProfile {
    let cards = KINDS.map(
        |(kind, memory_mb, step_factor, prefill_factor)| CardProfile {
            kind: kind.into(),
            memory_mb,
            step_factor,
            prefill_factor,
        },
    );
    EngineProfile {
        model: "dense".into(),
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 590_000.0,
        activation_bytes: 29_500.0,
        step: Duration::from_micros(1_020),
        request_step: Duration::from_nanos(4_590),
        context_step: Duration::from_nanos(6_150),
        steps_per_pass: 5,
        max_running: 192,
        prompt_tokens_per_second: 164_000.0,
        load_time: Duration::from_secs(14),
        parallel_loads: 6,
        mean_prompt_tokens: 775,
        mean_output_tokens: 210,
        pipe_mbps: 13_000.0,
        cards: cards.into(),
    }
}

/// Generates engines of one to five kinds in one to five failure domains.
fn generate_fleet(random: &mut StdRng) -> Vec<EngineState> {
    let mut engines = Vec::new();
    for _ in 0..random.random_range(1..=5) {
        let (kind, ..) = KINDS[random.random_range(0..KINDS.len())];
        let domains = random.random_range(1..=5);
        for index in 0..random.random_range(8..=60) {
            engines.push(EngineState {
                id: format!("engine-{}", engines.len()).into(),
                failure_domain: format!("domain-{}", index % domains).into(),
                kind: kind.into(),
                held_range: None,
            });
        }
    }
    engines
}

fn main() {
    let count = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let profile = profile();
    let planner = LayoutPlanner::new(LayoutSettings::default());
    let mut ratios = Vec::new();
    println!("fleet engines plan_ms rate after_losses bound layout/bound");
    for fleet in 0..count.unwrap_or(1_000_u64) {
        let mut random = StdRng::seed_from_u64(SEED + fleet);
        let mut engines = generate_fleet(&mut random);
        let started = Instant::now();
        let moves = planner.plan(&profile, &engines);
        let elapsed = started.elapsed();
        for layout_move in moves {
            let moved = engines
                .iter_mut()
                .find(|engine| engine.id == layout_move.engine);
            if let Some(engine) = moved {
                engine.held_range = Some(layout_move.range);
            }
        }
        let bound = rate_bound(&profile, &engines);
        let rate = served_rate(&profile, &engines).requests_per_second;
        let ratio = rate / bound.max(f64::MIN_POSITIVE);
        ratios.push(ratio);
        if fleet % PRINT_INTERVAL == 0 {
            println!(
                "{fleet} {} {} {rate:.1} {:.1} {bound:.1} {ratio:.2}",
                engines.len(),
                elapsed.as_millis(),
                rate_after_losses(&profile, &engines)
            );
        }
    }
    ratios.sort_by(f64::total_cmp);
    for percent in [0, 10, 50, 90, 100] {
        let index = (ratios.len().saturating_sub(1)) * percent / 100;
        println!(
            "layout / bound, {percent}th percentile: {:.2}",
            ratios[index]
        );
    }
}
