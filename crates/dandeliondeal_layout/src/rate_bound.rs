//! Upper bound on the rate of requests that any layout of a set of cards can serve.
//!
//! The bound ignores that engines are whole, that failure domains are linked by narrow links and
//! that batches slow engines down. What remains is a linear program: which share of each kind of
//! card holds ranges of which length, so that all layers have memory for the same number of tokens
//! and a request takes the least time. Its dual has a single variable, the price of a layer.

use crate::engine_profile::EngineProfile;
use crate::layout_planner::EngineState;
use crate::served_rate::{HOP_SECONDS, PASS_WAIT_FACTOR, passes_per_request};

/// Number of token counts that are tried, from a thousandth of the total memory on.
const TOKEN_STEPS: u32 = 60;
/// Number of prices that are tried for each token count.
const PRICE_STEPS: u32 = 60;

/// One kind of card with the ranges that it may hold.
struct KindOptions {
    count: f64,
    /// Token capacity times layers, and seconds of a request for each layer, by range length.
    options: Vec<(f64, f64)>,
}

/// Returns an upper bound on the requests of mean length per second.
pub fn rate_bound(profile: &EngineProfile, engines: &[EngineState]) -> f64 {
    let passes = passes_per_request(profile);
    let steps = f64::from(profile.steps_per_pass.max(1));
    let kinds: Vec<KindOptions> = profile
        .cards
        .iter()
        .map(|card| {
            let options = (1..=profile.layers).filter_map(|layers| {
                let capacity = profile.token_capacity(card, layers) * f64::from(layers);
                let pass = steps * profile.step_time(card, layers).as_secs_f64();
                let prefill = profile.prefill_time(card, layers, profile.mean_prompt_tokens);
                let seconds = passes * (pass * PASS_WAIT_FACTOR + HOP_SECONDS);
                let seconds = (seconds + prefill.as_secs_f64()) / f64::from(layers);
                (capacity > 0.0).then_some((capacity, seconds))
            });
            let engines = engines.iter().filter(|engine| engine.kind == card.kind);
            KindOptions {
                count: engines.count() as f64,
                options: options.collect(),
            }
        })
        .collect();
    let request_tokens = profile.tokens_per_request();
    let layers = f64::from(profile.layers);
    let max_tokens = kinds
        .iter()
        .map(|kind| kind.count * kind.best_value(|option| option.0));
    let max_tokens = max_tokens.sum::<f64>() / layers;
    let max_price = kinds.iter().flat_map(|kind| &kind.options);
    let max_price = max_price.map(|option| option.1).fold(0.0, f64::max) * 2.0;
    let rates = (1..=TOKEN_STEPS).map(|step| {
        let exponent = 3.0 * (f64::from(step) / f64::from(TOKEN_STEPS) - 1.0);
        let tokens = max_tokens * 10.0_f64.powf(exponent);
        let seconds = min_seconds(&kinds, layers, tokens, max_price);
        // The rate between two token counts is at most that of the higher one's tokens.
        let next_tokens = tokens * 10.0_f64.powf(3.0 / f64::from(TOKEN_STEPS));
        next_tokens.min(max_tokens) / request_tokens / seconds.max(f64::MIN_POSITIVE)
    });
    rates.fold(0.0, f64::max)
}

impl KindOptions {
    /// Returns the highest value of an option; at least 0.
    fn best_value<Value>(&self, value: Value) -> f64
    where
        Value: Fn(&(f64, f64)) -> f64,
    {
        self.options.iter().map(value).fold(0.0, f64::max)
    }
}

/// Returns a lower bound on the seconds of a request if `tokens` tokens fit on each layer.
fn min_seconds(kinds: &[KindOptions], layers: f64, tokens: f64, max_price: f64) -> f64 {
    let bounds = (1..=PRICE_STEPS).map(|step| {
        let price = max_price * (f64::from(step) / f64::from(PRICE_STEPS)).powi(2);
        let saved = kinds.iter().map(|kind| {
            kind.count
                * kind.best_value(|(capacity, seconds)| capacity / tokens * (price - seconds))
        });
        price * layers - saved.sum::<f64>()
    });
    bounds.fold(0.0, f64::max)
}
