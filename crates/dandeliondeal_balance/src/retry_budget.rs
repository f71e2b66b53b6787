//! A bound on retries as a share of requests.

use std::time::Duration;

use rand::Rng;

/// Settings of the retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries that each first try earns.
    pub share: f64,
    /// Most retries that can be saved up.
    pub reserve: f64,
    /// Base of the wait before the first retry; doubles with each.
    pub base_wait: Duration,
    /// Longest wait before a retry.
    pub wait_limit: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            share: 0.1,
            reserve: 20.0,
            base_wait: Duration::from_millis(20),
            wait_limit: Duration::from_secs(1),
        }
    }
}

/// Bounds retries to a share of the requests of this instance.
///
/// It follows requests and not time, so that an outage cannot save up retries for its end.
///
/// # Examples
///
/// ```
/// use dandeliondeal_balance::{RetryBudget, RetrySettings};
///
/// let settings = RetrySettings { share: 0.5, reserve: 1.0, ..Default::default() };
/// let mut budget = RetryBudget::new(settings);
/// assert!(budget.take());
/// assert!(!budget.take());
/// budget.first_try();
/// budget.first_try();
/// assert!(budget.take());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance: f64,
}

impl RetryBudget {
    /// Starts with a full reserve.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            balance: settings.reserve,
        }
    }

    /// Counts a request's first try.
    pub fn first_try(&mut self) {
        self.balance = (self.balance + self.settings.share).min(self.settings.reserve);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn take(&mut self) -> bool {
        let is_allowed = self.balance >= 1.0;
        if is_allowed {
            self.balance -= 1.0;
        }
        is_allowed
    }

    /// Wait before retry number `retry`, counted from 0; `None` if `left` is too short for it.
    pub fn wait<Source>(&self, retry: u32, left: Duration, random: &mut Source) -> Option<Duration>
    where
        Source: Rng,
    {
        let base = self.settings.base_wait * 2_u32.saturating_pow(retry);
        let limit = base.min(self.settings.wait_limit);
        let wait = limit.mul_f64(random.random_range(0.5..1.0));
        (wait < left).then_some(wait)
    }
}
