//! A rate limit by token bucket.

use std::time::Instant;

/// Seconds of the rate that an idle bucket saves up.
const BURST_SECONDS: f64 = 1.0;

/// Calls that are allowed now.
#[derive(Debug)]
pub(crate) struct CallRate {
    per_second: f64,
    saved: f64,
    last: Instant,
}

impl CallRate {
    /// `per_second` 0 means no limit.
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            saved: per_second * BURST_SECONDS,
            last: now,
        }
    }

    /// Takes one call; `false` if the rate is used up.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        if self.per_second == 0.0 {
            return true;
        }
        let elapsed = now.duration_since(self.last).as_secs_f64();
        let most = self.per_second * BURST_SECONDS;
        self.saved = (self.saved + elapsed * self.per_second).min(most);
        self.last = now;
        let is_allowed = self.saved >= 1.0;
        if is_allowed {
            self.saved -= 1.0;
        }
        is_allowed
    }
}
