//! A token bucket with an adjustable rate.

use std::time::{Duration, Instant};

/// Capacity of a bucket, as time at its rate.
const BURST_TIME: Duration = Duration::from_secs(1);

/// A token bucket.
#[derive(Clone, Debug)]
pub struct RateBucket {
    rate: f64,
    available: f64,
    updated: Instant,
}

impl RateBucket {
    /// Creates a full bucket that refills at `rate` per second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            available: rate * BURST_TIME.as_secs_f64(),
            updated: now,
        }
    }

    /// Changes the rate. The available amount doesn't grow, and is capped by the new capacity.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.available = self.available.min(rate * BURST_TIME.as_secs_f64());
    }

    /// Takes `amount` from the bucket.
    ///
    /// An amount above the capacity may overdraw a full bucket, because it would be refused for
    /// ever otherwise.
    ///
    /// # Errors
    ///
    /// Returns the time until enough is available, or `None` if the rate is zero.
    pub fn take(&mut self, amount: f64, now: Instant) -> Result<(), Option<Duration>> {
        self.refill(now);
        let needed = amount.min(self.rate * BURST_TIME.as_secs_f64());
        if self.rate <= 0.0 {
            return Err(None);
        }
        if self.available + f64::EPSILON >= needed {
            self.available -= amount;
            return Ok(());
        }
        let wait = (needed - self.available) / self.rate;
        Err(Some(Duration::from_secs_f64(wait)))
    }

    /// Corrects an earlier amount by `difference`, which is negative if too much was taken.
    pub fn adjust(&mut self, difference: f64) {
        self.available -= difference;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        let capacity = self.rate * BURST_TIME.as_secs_f64();
        self.available = (self.available + self.rate * elapsed.as_secs_f64()).min(capacity);
        self.updated = now;
    }
}
