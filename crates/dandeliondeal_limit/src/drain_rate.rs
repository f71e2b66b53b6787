//! Exponentially decaying average of the rate at which work finishes.

use std::time::{Duration, Instant};

/// Time constant of the average.
const TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Decaying average of the finished cost per second.
#[derive(Clone, Debug)]
pub struct DrainRate {
    cost: f64,
    seconds: f64,
    updated: Instant,
}

impl DrainRate {
    /// Creates an average without any data.
    pub fn new(now: Instant) -> Self {
        Self {
            cost: 0.0,
            seconds: 0.0,
            updated: now,
        }
    }

    /// Counts finished work.
    pub fn record_finished(&mut self, cost: f64, now: Instant) {
        self.decay(now);
        self.cost += cost;
    }

    /// Excludes the time until `now` from the average, for periods in which nothing waits.
    pub fn skip(&mut self, now: Instant) {
        self.updated = now;
    }

    /// Returns the finished cost per second, or `None` before any work has finished.
    pub fn per_second(&self) -> Option<f64> {
        (self.seconds > 0.0 && self.cost > 0.0).then(|| self.cost / self.seconds)
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let decay_factor = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        self.cost *= decay_factor;
        self.seconds = self.seconds * decay_factor + elapsed;
        self.updated = now;
    }
}
