//! How fast work is done, as a fading average.

use std::time::{Duration, Instant};

/// Time constant of the average.
const FADE: Duration = Duration::from_secs(5);

/// Fading average of finished cost a second.
#[derive(Clone, Debug)]
pub struct DrainRate {
    cost: f64,
    span: f64,
    updated: Instant,
}

impl DrainRate {
    /// Starts without knowledge.
    pub fn new(now: Instant) -> Self {
        Self {
            cost: 0.0,
            span: 0.0,
            updated: now,
        }
    }

    /// Counts finished work.
    pub fn finished(&mut self, cost: f64, now: Instant) {
        self.fade(now);
        self.cost += cost;
    }

    /// Lets `now` pass without counting the time, as while nothing waits.
    pub fn skip(&mut self, now: Instant) {
        self.updated = now;
    }

    /// Finished cost a second; `None` before any is known.
    pub fn per_second(&self) -> Option<f64> {
        (self.span > 0.0 && self.cost > 0.0).then(|| self.cost / self.span)
    }

    fn fade(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let kept = (-elapsed / FADE.as_secs_f64()).exp();
        self.cost *= kept;
        self.span = self.span * kept + elapsed;
        self.updated = now;
    }
}
