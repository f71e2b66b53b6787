//! Amounts of a limit: requests, tokens and concurrency.

use dandeliondeal_types::sheet_model::LimitEntry;
use serde::{Deserialize, Serialize};

/// Thousandths of a request in one request.
const MILLI: u64 = 1000;

/// An amount of each limit of one organisation, in whole units so that sums are exact.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LimitAmount {
    /// Requests in a thousand seconds.
    pub milli_requests: u64,
    /// Tokens a second.
    pub tokens: u64,
    /// Requests in flight.
    pub concurrency: u64,
}

impl LimitAmount {
    /// The amounts of a sheet's limit; no limit stands as the largest amount.
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

    /// Combines each kind with that of another amount.
    #[must_use]
    pub fn zip<Combine>(self, other: Self, combine: Combine) -> Self
    where
        Combine: Fn(u64, u64) -> u64,
    {
        Self {
            milli_requests: combine(self.milli_requests, other.milli_requests),
            tokens: combine(self.tokens, other.tokens),
            concurrency: combine(self.concurrency, other.concurrency),
        }
    }

    /// The sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// What is left, or nothing.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// The smaller of each kind.
    #[must_use]
    pub fn least(self, other: Self) -> Self {
        self.zip(other, u64::min)
    }

    /// The larger of each kind.
    #[must_use]
    pub fn most(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// One of so many even shares, rounded down.
    #[must_use]
    pub fn divided(self, parts: u64) -> Self {
        self.zip(Self::default(), |amount, _| amount / parts.max(1))
    }

    /// Whether no kind exceeds that of `bound`.
    pub fn is_within(self, bound: Self) -> bool {
        self.least(bound) == self
    }
}
