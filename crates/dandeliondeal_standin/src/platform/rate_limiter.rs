//! A token bucket that limits the rate of calls.

use std::time::Instant;

/// Capacity of the bucket, in seconds of the permitted rate.
const BURST_SECONDS: f64 = 1.0;

/// A token bucket in which each call takes one token.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    tokens_per_second: f64,
    tokens: f64,
    last_refill: Instant,
}

impl RateLimiter {
    /// Creates a full bucket; a rate of 0 means no limit.
    pub(crate) fn new(calls_per_second: u32, now: Instant) -> Self {
        let tokens_per_second = f64::from(calls_per_second);
        Self {
            tokens_per_second,
            tokens: tokens_per_second * BURST_SECONDS,
            last_refill: now,
        }
    }

    /// Takes a token for one call; returns `false` if the rate is exceeded.
    pub(crate) fn try_acquire(&mut self, now: Instant) -> bool {
        if self.tokens_per_second == 0.0 {
            return true;
        }
        let elapsed = now.duration_since(self.last_refill).as_secs_f64();
        let capacity = self.tokens_per_second * BURST_SECONDS;
        self.tokens = (self.tokens + elapsed * self.tokens_per_second).min(capacity);
        self.last_refill = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
