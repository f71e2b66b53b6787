//! Order in which requests of a graded service get room.

use serde::Serialize;

/// Highest urgency value; a larger value is reduced to it.
const MAX_URGENCY: u8 = 9;

/// Rank of a request, 0 to 19; lower ranks come first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct AdmissionRank(u8);

impl AdmissionRank {
    /// Number of ranks.
    pub const COUNT: usize = 20;

    /// Returns the rank of a request with this urgency, where 0 is the most urgent.
    ///
    /// A request `is_late` if it can no longer meet its latency objective. It comes after the others
    /// of its urgency and before those of the next one.
    pub fn new(urgency: u8, is_late: bool) -> Self {
        Self(2 * urgency.min(MAX_URGENCY) + u8::from(is_late))
    }

    /// Returns the rank with this number, if there is one.
    pub fn from_value(value: u8) -> Option<Self> {
        (usize::from(value) < Self::COUNT).then_some(Self(value))
    }

    /// Returns the number of the rank.
    pub fn value(self) -> u8 {
        self.0
    }

    /// Returns the urgency.
    pub fn urgency(self) -> u8 {
        self.0 / 2
    }

    /// Returns whether the request can no longer meet its latency objective.
    pub fn is_late(self) -> bool {
        self.0 % 2 == 1
    }
}
