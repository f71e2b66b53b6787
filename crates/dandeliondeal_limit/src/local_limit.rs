//! Applies an instance's share of a limit to single requests.

use std::time::{Duration, Instant};

use crate::limit_amount::LimitAmount;
use crate::rate_bucket::RateBucket;

/// Retry delay if the time at which a request can be admitted is unknown.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time constant of the moving average of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Thousandths of a request in one request.
const MILLI: f64 = 1000.0;

/// One organisation's share of its limit at one instance.
#[derive(Clone, Debug)]
pub struct LocalLimit {
    share: LimitAmount,
    requests: RateBucket,
    tokens: RateBucket,
    in_flight: u64,
    requested_count: f64,
    requested_tokens: f64,
    refused_concurrency: f64,
    updated: Instant,
}

impl LocalLimit {
    /// Creates a limit with an initial share.
    pub fn new(share: LimitAmount, now: Instant) -> Self {
        Self {
            share,
            requests: RateBucket::new(share.milli_requests as f64 / MILLI, now),
            tokens: RateBucket::new(share.tokens as f64, now),
            in_flight: 0,
            requested_count: 0.0,
            requested_tokens: 0.0,
            refused_concurrency: 0.0,
            updated: now,
        }
    }

    /// Changes the share. Requests that already run beyond a smaller share continue.
    pub fn set_share(&mut self, share: LimitAmount, now: Instant) {
        if share != self.share {
            self.share = share;
            let request_rate = share.milli_requests as f64 / MILLI;
            self.requests.set_rate(request_rate, now);
            self.tokens.set_rate(share.tokens as f64, now);
        }
    }

    /// Admits a request with `tokens` expected tokens.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry.
    pub fn admit(&mut self, tokens: f64, now: Instant) -> Result<(), Duration> {
        self.decay(now);
        self.requested_count += 1.0;
        self.requested_tokens += tokens;
        if self.in_flight >= self.share.concurrency {
            self.refused_concurrency += 1.0;
            return Err(DEFAULT_RETRY_DELAY);
        }
        let retry_delay = |wait: Option<Duration>| wait.unwrap_or(DEFAULT_RETRY_DELAY);
        self.requests.take(1.0, now).map_err(retry_delay)?;
        if let Err(time) = self.tokens.take(tokens, now) {
            self.requests.adjust(-1.0);
            return Err(retry_delay(time));
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Records the end of an admitted request that cost `difference` tokens more than expected.
    pub fn finish(&mut self, difference: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens.adjust(difference);
    }

    /// Returns the number of running requests.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns the amount that this instance could use, for its next [`crate::GrantRequest`].
    pub fn demand(&mut self, now: Instant) -> LimitAmount {
        self.decay(now);
        let seconds = DEMAND_TIME_CONSTANT.as_secs_f64();
        LimitAmount {
            milli_requests: round_up(self.requested_count / seconds * MILLI),
            tokens: round_up(self.requested_tokens / seconds),
            concurrency: self.in_flight + round_up(self.refused_concurrency / seconds),
        }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        let decay_factor = (-elapsed.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.requested_count *= decay_factor;
        self.requested_tokens *= decay_factor;
        self.refused_concurrency *= decay_factor;
        self.updated = now;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate is not negative and far below the largest whole number"
)]
fn round_up(value: f64) -> u64 {
    value.max(0.0).ceil() as u64
}
