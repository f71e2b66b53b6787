//! Expected cost of a generation, in tokens.

/// Weight of the newest request in the average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Cost of a prompt token relative to a generated token.
const PROMPT_TOKEN_COST: f64 = 0.1;

/// Estimates which share of the maximum tokens of a request is generated, for one route.
///
/// # Examples
///
/// ```
/// use dandeliondeal_limit::CostEstimate;
///
/// let estimate = CostEstimate::default();
/// assert_eq!(estimate.expected_cost(100, 50), 60.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct CostEstimate {
    generated_share: f64,
}

impl Default for CostEstimate {
    fn default() -> Self {
        Self {
            generated_share: 1.0,
        }
    }
}

impl CostEstimate {
    /// Returns the expected cost of a request before it runs.
    pub fn expected_cost(&self, prompt_tokens: u64, max_tokens: u64) -> f64 {
        prompt_cost(prompt_tokens) + max_tokens as f64 * self.generated_share
    }

    /// Returns the expected cost of a request that has generated `generated_tokens` so far.
    ///
    /// Generated tokens beyond the expectation raise it towards the maximum that the caller allows.
    pub fn corrected_cost(
        &self,
        prompt_tokens: u64,
        max_tokens: u64,
        generated_tokens: u64,
    ) -> f64 {
        let remaining = max_tokens.saturating_sub(generated_tokens) as f64 * self.generated_share;
        prompt_cost(prompt_tokens) + generated_tokens as f64 + remaining
    }

    /// Returns the cost of a finished request.
    pub fn actual_cost(prompt_tokens: u64, generated_tokens: u64) -> f64 {
        prompt_cost(prompt_tokens) + generated_tokens as f64
    }

    /// Updates the estimate from a finished request.
    pub fn record_finished(&mut self, max_tokens: u64, generated_tokens: u64) {
        if max_tokens > 0 {
            let generated_share = (generated_tokens as f64 / max_tokens as f64).min(1.0);
            self.generated_share += (generated_share - self.generated_share) * SAMPLE_WEIGHT;
        }
    }
}

fn prompt_cost(prompt_tokens: u64) -> f64 {
    prompt_tokens as f64 * PROMPT_TOKEN_COST
}
