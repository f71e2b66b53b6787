//! A token bucket whose rate may change.

use std::time::{Duration, Instant};

/// Time of its rate that a bucket saves up.
const BURST: Duration = Duration::from_secs(1);

/// A token bucket.
#[derive(Clone, Debug)]
pub struct RateBucket {
    rate: f64,
    level: f64,
    updated: Instant,
}

impl RateBucket {
    /// Makes a full bucket that fills at `rate` a second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            level: rate * BURST.as_secs_f64(),
            updated: now,
        }
    }

    /// Changes the rate from now on; nothing is added to what is saved up.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(rate * BURST.as_secs_f64());
    }

    /// Takes `amount`, or says how long to wait; `None` if it never comes.
    ///
    /// # Errors
    ///
    /// The time until there is enough. A single amount above the burst may overdraw a full bucket,
    /// so that it is not refused for ever.
    pub fn take(&mut self, amount: f64, now: Instant) -> Result<(), Option<Duration>> {
        self.fill(now);
        let needed = amount.min(self.rate * BURST.as_secs_f64());
        if self.rate <= 0.0 {
            return Err(None);
        }
        if self.level + f64::EPSILON >= needed {
            self.level -= amount;
            return Ok(());
        }
        let wait = (needed - self.level) / self.rate;
        Err(Some(Duration::from_secs_f64(wait)))
    }

    /// Corrects an earlier amount: gives back what was too much, or takes what was too little.
    pub fn correct(&mut self, difference: f64) {
        self.level -= difference;
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        let burst = self.rate * BURST.as_secs_f64();
        self.level = (self.level + self.rate * elapsed.as_secs_f64()).min(burst);
        self.updated = now;
    }
}
