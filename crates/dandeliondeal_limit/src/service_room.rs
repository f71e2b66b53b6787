//! Capacity of a graded service and how much of it is in use.

use serde::{Deserialize, Serialize};

/// Room of a service, in tokens for a model and in places for a plain service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceRoom {
    /// Capacity of the usable endpoints. For a model, that of the tightest layer.
    pub capacity: f64,
    /// Amount that all instances have committed on them.
    pub committed: f64,
}

impl ServiceRoom {
    /// Returns the part of the capacity that is committed; 1 without capacity.
    pub fn fill(&self) -> f64 {
        if self.capacity > 0.0 {
            self.committed / self.capacity
        } else {
            1.0
        }
    }
}
