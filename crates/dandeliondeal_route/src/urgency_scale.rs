//! Effective urgency of requests: first the organisation's urgency, then the route's.

use std::collections::BTreeSet;

/// Number of values of the effective urgency.
const LEVEL_COUNT: usize = 10;

/// Urgencies of one request, in the order in which they count; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UrgencyPair {
    /// Urgency of the organisation, or of the route if the organisation states none.
    pub urgency: u8,
    /// Urgency of the route.
    pub route_urgency: u8,
}

/// Numbers the urgency pairs of a service in ascending order, from 0 to at most 9.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UrgencyScale {
    /// Sorted and without duplicates.
    pairs: Vec<UrgencyPair>,
}

impl UrgencyScale {
    /// Creates a scale of the pairs that requests to a service can have.
    pub fn new<Pairs>(pairs: Pairs) -> Self
    where
        Pairs: IntoIterator<Item = UrgencyPair>,
    {
        let pairs: BTreeSet<UrgencyPair> = pairs.into_iter().collect();
        Self {
            pairs: pairs.into_iter().collect(),
        }
    }

    /// Returns the effective urgency of a pair.
    ///
    /// If there are more than ten pairs, neighbouring ones share a number. A pair of an earlier
    /// configuration gets the number of the next less urgent pair, or of the last one.
    pub fn level(&self, pair: UrgencyPair) -> u8 {
        let count = self.pairs.len();
        let index = self.pairs.partition_point(|known| *known < pair);
        let index = index.min(count.saturating_sub(1));
        let level = if count > LEVEL_COUNT {
            index * LEVEL_COUNT / count
        } else {
            index
        };
        u8::try_from(level).unwrap_or(u8::MAX)
    }
}
