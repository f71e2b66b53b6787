//! Expected cost of a generation in tokens.

/// Weight of the newest answer in the average.
const ANSWER_WEIGHT: f64 = 0.05;
/// Cost of a prompt token beside a generated one.
const PROMPT_WEIGHT: f64 = 0.1;

/// Learns how much of the tokens that callers allow is generated, for one route.
///
/// # Examples
///
/// ```
/// use dandeliondeal_limit::CostEstimate;
///
/// let estimate = CostEstimate::default();
/// assert_eq!(estimate.expected(100, 50), 60.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct CostEstimate {
    share: f64,
}

impl Default for CostEstimate {
    fn default() -> Self {
        Self { share: 1.0 }
    }
}

impl CostEstimate {
    /// Expected cost of a request before it runs.
    pub fn expected(&self, prompt: u64, allowed: u64) -> f64 {
        prompt_cost(prompt) + allowed as f64 * self.share
    }

    /// Expected cost of a request that has `generated` tokens so far.
    ///
    /// What has run beyond the expectation raises it towards what the caller allows.
    pub fn corrected(&self, prompt: u64, allowed: u64, generated: u64) -> f64 {
        let left = allowed.saturating_sub(generated) as f64 * self.share;
        prompt_cost(prompt) + generated as f64 + left
    }

    /// Cost of a request that ended.
    pub fn actual(prompt: u64, generated: u64) -> f64 {
        prompt_cost(prompt) + generated as f64
    }

    /// Learns from a request that ended.
    pub fn learn(&mut self, allowed: u64, generated: u64) {
        if allowed > 0 {
            let share = (generated as f64 / allowed as f64).min(1.0);
            self.share += (share - self.share) * ANSWER_WEIGHT;
        }
    }
}

fn prompt_cost(prompt: u64) -> f64 {
    prompt as f64 * PROMPT_WEIGHT
}
