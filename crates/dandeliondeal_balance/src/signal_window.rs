//! Counts of answered and failed calls that fade with time.

use std::time::{Duration, Instant};

/// Fading counts of calls and failures.
#[derive(Clone, Debug)]
pub struct SignalWindow {
    calls: f64,
    failures: f64,
    run: u32,
    updated: Instant,
    half_life: Duration,
}

impl SignalWindow {
    /// Makes an empty window.
    pub fn new(half_life: Duration, now: Instant) -> Self {
        Self {
            calls: 0.0,
            failures: 0.0,
            run: 0,
            updated: now,
            half_life,
        }
    }

    /// Counts an answered call.
    pub fn answer(&mut self, now: Instant) {
        self.fade(now);
        self.calls += 1.0;
        self.run = 0;
    }

    /// Counts a failed call.
    pub fn failure(&mut self, now: Instant) {
        self.fade(now);
        self.calls += 1.0;
        self.failures += 1.0;
        self.run += 1;
    }

    /// Failures since the last answer.
    pub fn run(&self) -> u32 {
        self.run
    }

    /// Calls in the window.
    pub fn calls(&self) -> f64 {
        self.calls
    }

    /// Share of failed calls in the window.
    pub fn share(&self) -> f64 {
        if self.calls > 0.0 {
            self.failures / self.calls
        } else {
            0.0
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self, now: Instant) {
        *self = Self::new(self.half_life, now);
    }

    /// Fades both counts to `now`.
    pub fn fade(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        let kept = (-elapsed.as_secs_f64() / self.half_life.as_secs_f64()).exp2();
        self.calls *= kept;
        self.failures *= kept;
        self.updated = now;
    }
}
