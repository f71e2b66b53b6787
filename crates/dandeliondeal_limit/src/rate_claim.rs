//! What instances report of endpoints that state a limit of requests a second.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::EndpointId;
use serde::{Deserialize, Serialize};

/// What instances report of one endpoint with a limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RateClaim {
    /// Limit in requests a second.
    pub limit: f64,
    /// Time since the endpoint last stated it, in milliseconds.
    pub age_ms: u64,
    /// Requests a second that the reporting instances sent recently.
    pub sent_rate: f64,
    /// Time since the endpoint last answered without a limit, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unstated_ms: Option<u64>,
}

/// Claims by endpoint.
pub type RateReport = BTreeMap<EndpointId, RateClaim>;

impl RateClaim {
    /// Adds the claim of other instances.
    pub fn add(&mut self, other: &Self) {
        if other.age_ms < self.age_ms {
            self.limit = other.limit;
            self.age_ms = other.age_ms;
        }
        self.sent_rate += other.sent_rate;
        let ages = [self.unstated_ms, other.unstated_ms];
        self.unstated_ms = ages.into_iter().flatten().min();
    }

    /// Adds the time since the claim was reported, in milliseconds.
    pub fn add_age(&mut self, age_ms: u64) {
        self.age_ms = self.age_ms.saturating_add(age_ms);
        let unstated_ms = self.unstated_ms;
        self.unstated_ms = unstated_ms.map(|unstated_ms| unstated_ms.saturating_add(age_ms));
    }

    /// Returns the time at which the endpoint last stated its limit.
    pub(crate) fn stated_at(&self, now: Instant) -> Instant {
        time_of(self.age_ms, now)
    }

    /// Returns the time at which the endpoint last answered without a limit.
    pub(crate) fn unstated_at(&self, now: Instant) -> Option<Instant> {
        self.unstated_ms.map(|age_ms| time_of(age_ms, now))
    }
}

/// Returns the time since `at` in milliseconds.
pub(crate) fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

fn time_of(age_ms: u64, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms))
        .unwrap_or(now)
}
