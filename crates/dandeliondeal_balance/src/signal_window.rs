//! Exponentially decaying counts of answered and failed calls.

use std::time::{Duration, Instant};

/// Counts of calls and failures that decay with time.
#[derive(Clone, Debug)]
pub struct SignalWindow {
    calls: f64,
    failures: f64,
    consecutive_failures: u32,
    updated: Instant,
    half_life: Duration,
}

impl SignalWindow {
    /// Creates an empty window.
    pub fn new(half_life: Duration, now: Instant) -> Self {
        Self {
            calls: 0.0,
            failures: 0.0,
            consecutive_failures: 0,
            updated: now,
            half_life,
        }
    }

    /// Counts an answered call.
    pub fn record_answer(&mut self, now: Instant) {
        self.decay(now);
        self.calls += 1.0;
        self.consecutive_failures = 0;
    }

    /// Counts a failed call.
    pub fn record_failure(&mut self, now: Instant) {
        self.decay(now);
        self.calls += 1.0;
        self.failures += 1.0;
        self.consecutive_failures += 1;
    }

    /// Returns the number of failures since the last answer.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Returns the decayed number of calls.
    pub fn calls(&self) -> f64 {
        self.calls
    }

    /// Returns the share of failed calls in the window.
    pub fn failure_share(&self) -> f64 {
        if self.calls > 0.0 {
            self.failures / self.calls
        } else {
            0.0
        }
    }

    /// Resets all counts to zero.
    pub fn clear(&mut self, now: Instant) {
        *self = Self::new(self.half_life, now);
    }

    /// Decays both counts to their values at `now`.
    pub fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        let decay_factor = (-elapsed.as_secs_f64() / self.half_life.as_secs_f64()).exp2();
        self.calls *= decay_factor;
        self.failures *= decay_factor;
        self.updated = now;
    }
}
