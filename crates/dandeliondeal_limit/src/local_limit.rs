//! Applies an instance's share of a limit to single requests.

use std::time::{Duration, Instant};

use crate::limit_amount::LimitAmount;
use crate::rate_bucket::RateBucket;

/// Wait that is told where the time of the next free place is not known.
const UNKNOWN_WAIT: Duration = Duration::from_secs(1);
/// Time constant of the measured demand.
const DEMAND_FADE: Duration = Duration::from_secs(1);
/// Thousandths of a request in one request.
const MILLI: f64 = 1000.0;

/// One organisation's share at one instance.
#[derive(Clone, Debug)]
pub struct LocalLimit {
    share: LimitAmount,
    requests: RateBucket,
    tokens: RateBucket,
    in_flight: u64,
    demand_requests: f64,
    demand_tokens: f64,
    refused_flights: f64,
    updated: Instant,
}

impl LocalLimit {
    /// Starts with a share.
    pub fn new(share: LimitAmount, now: Instant) -> Self {
        Self {
            share,
            requests: RateBucket::new(share.milli_requests as f64 / MILLI, now),
            tokens: RateBucket::new(share.tokens as f64, now),
            in_flight: 0,
            demand_requests: 0.0,
            demand_tokens: 0.0,
            refused_flights: 0.0,
            updated: now,
        }
    }

    /// Takes a changed share; requests that run beyond it run on.
    pub fn set_share(&mut self, share: LimitAmount, now: Instant) {
        if share != self.share {
            self.share = share;
            let requests = share.milli_requests as f64 / MILLI;
            self.requests.set_rate(requests, now);
            self.tokens.set_rate(share.tokens as f64, now);
        }
    }

    /// Admits a request of so many expected tokens.
    ///
    /// # Errors
    ///
    /// The time after which to come back.
    pub fn admit(&mut self, tokens: f64, now: Instant) -> Result<(), Duration> {
        self.fade(now);
        self.demand_requests += 1.0;
        self.demand_tokens += tokens;
        if self.in_flight >= self.share.concurrency {
            self.refused_flights += 1.0;
            return Err(UNKNOWN_WAIT);
        }
        let wait = |wait: Option<Duration>| wait.unwrap_or(UNKNOWN_WAIT);
        self.requests.take(1.0, now).map_err(wait)?;
        if let Err(time) = self.tokens.take(tokens, now) {
            self.requests.correct(-1.0);
            return Err(wait(time));
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Notes the end of an admitted request that cost `difference` tokens more than expected.
    pub fn finish(&mut self, difference: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens.correct(difference);
    }

    /// Requests that run.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// What this instance could use, for its next [`crate::GrantRequest`].
    pub fn demand(&mut self, now: Instant) -> LimitAmount {
        self.fade(now);
        let seconds = DEMAND_FADE.as_secs_f64();
        LimitAmount {
            milli_requests: whole(self.demand_requests / seconds * MILLI),
            tokens: whole(self.demand_tokens / seconds),
            concurrency: self.in_flight + whole(self.refused_flights / seconds),
        }
    }

    fn fade(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        let kept = (-elapsed.as_secs_f64() / DEMAND_FADE.as_secs_f64()).exp();
        self.demand_requests *= kept;
        self.demand_tokens *= kept;
        self.refused_flights *= kept;
        self.updated = now;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate is not negative and far below the largest whole number"
)]
fn whole(value: f64) -> u64 {
    value.max(0.0).ceil() as u64
}
