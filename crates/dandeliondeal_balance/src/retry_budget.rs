//! Limits retries to a share of requests.

use std::time::Duration;

use rand::Rng;

/// Settings of the retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries that each request adds to the budget.
    pub retries_per_request: f64,
    /// Maximum number of retries that can accumulate.
    pub max_saved_retries: f64,
    /// Retries of a process that has not counted a request yet; each restart grants them again.
    pub initial_retries: f64,
    /// Delay before the first retry, before jitter. It doubles with each further retry.
    pub base_delay: Duration,
    /// Maximum delay before a retry.
    pub max_delay: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            retries_per_request: 0.1,
            max_saved_retries: 20.0,
            initial_retries: 1.0,
            base_delay: Duration::from_millis(20),
            max_delay: Duration::from_secs(1),
        }
    }
}

/// Limits the retries of one instance to a share of its requests.
///
/// The budget grows with requests and is bounded. In a window of any length, an instance therefore
/// sends at most its share of the requests in that window and the maximum that it can save. Where a
/// restart grants nothing, the sum over all instances needs no shared state and holds over any number
/// of restarts.
///
/// # Examples
///
/// ```
/// use dandeliondeal_balance::{RetryBudget, RetrySettings};
///
/// let settings = RetrySettings {
///     retries_per_request: 0.5,
///     max_saved_retries: 1.0,
///     initial_retries: 0.0,
///     ..Default::default()
/// };
/// let mut budget = RetryBudget::new(settings);
/// assert!(!budget.try_take());
/// budget.record_request();
/// budget.record_request();
/// assert!(budget.try_take());
/// assert!(!budget.try_take());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    saved_retries: f64,
}

impl RetryBudget {
    /// Creates the budget of a new process.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            saved_retries: settings.initial_retries,
        }
    }

    /// Sets the maximum number of retries that can accumulate; what exceeds it is lost.
    pub fn set_max_saved(&mut self, max_saved_retries: f64) {
        self.settings.max_saved_retries = max_saved_retries;
        self.saved_retries = self.saved_retries.min(max_saved_retries);
    }

    /// Returns the number of accumulated retries.
    pub fn saved_retries(&self) -> f64 {
        self.saved_retries
    }

    /// Counts the first attempt of a request, which adds to the budget.
    pub fn record_request(&mut self) {
        self.saved_retries = (self.saved_retries + self.settings.retries_per_request)
            .min(self.settings.max_saved_retries);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        let is_allowed = self.saved_retries >= 1.0;
        if is_allowed {
            self.saved_retries -= 1.0;
        }
        is_allowed
    }

    /// Returns the delay before retry number `retry`, counted from 0.
    ///
    /// The base delay is doubled `retry` times, limited to the maximum delay, and reduced at random
    /// by up to half. Returns `None` if the delay doesn't fit into `remaining`.
    pub fn retry_delay<Source>(
        &self,
        retry: u32,
        remaining: Duration,
        random: &mut Source,
    ) -> Option<Duration>
    where
        Source: Rng,
    {
        let base = self.settings.base_delay * 2_u32.saturating_pow(retry);
        let limit = base.min(self.settings.max_delay);
        let delay = limit.mul_f64(random.random_range(0.5..1.0));
        (delay < remaining).then_some(delay)
    }
}
