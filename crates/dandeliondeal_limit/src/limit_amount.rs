//! Amounts of a limit: requests, tokens and concurrency.

use dandeliondeal_types::sheet_model::LimitEntry;
use serde::{Deserialize, Serialize};

/// Thousandths of a request in one request.
const MILLI: u64 = 1000;

/// An amount of each limit of one organisation, in whole units so that sums are exact.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LimitAmount {
    /// Requests per thousand seconds.
    pub milli_requests: u64,
    /// Tokens per second.
    pub tokens: u64,
    /// Concurrent requests.
    pub concurrency: u64,
}

impl LimitAmount {
    /// Converts a limit of a sheet. A missing limit becomes the largest amount.
    pub fn from_entry(entry: &LimitEntry) -> Self {
        let amount = |value: u32, scale: u64| match value {
            0 => u64::from(u32::MAX) * MILLI,
            value => u64::from(value) * scale,
        };
        Self {
            milli_requests: amount(entry.requests_per_second, MILLI),
            tokens: amount(entry.tokens_per_second, 1),
            concurrency: amount(entry.concurrency, 1),
        }
    }

    /// Combines each component with the same component of `other`.
    #[must_use]
    pub fn combine_with<Combine>(self, other: Self, combine: Combine) -> Self
    where
        Combine: Fn(u64, u64) -> u64,
    {
        Self {
            milli_requests: combine(self.milli_requests, other.milli_requests),
            tokens: combine(self.tokens, other.tokens),
            concurrency: combine(self.concurrency, other.concurrency),
        }
    }

    /// Returns the sum of each component.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.combine_with(other, u64::saturating_add)
    }

    /// Returns the difference of each component, at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.combine_with(other, u64::saturating_sub)
    }

    /// Returns the minimum of each component.
    #[must_use]
    pub fn component_min(self, other: Self) -> Self {
        self.combine_with(other, u64::min)
    }

    /// Returns the maximum of each component.
    #[must_use]
    pub fn component_max(self, other: Self) -> Self {
        self.combine_with(other, u64::max)
    }

    /// Divides each component by `parts`, rounding down.
    #[must_use]
    pub fn divide_by(self, parts: u64) -> Self {
        self.combine_with(Self::default(), |amount, _| amount / parts.max(1))
    }

    /// Returns whether no component exceeds that of `bound`.
    pub fn is_within(self, bound: Self) -> bool {
        self.component_min(bound) == self
    }
}
