//! Capacity of a graded service and how much of it is in use.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gate_settings::GateSettings;

/// Room of a service, in tokens for a model and in places for a plain service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceRoom {
    /// Capacity of the usable endpoints. For a model, that of the tightest layer.
    pub capacity: f64,
    /// Amount that all instances have committed on them.
    pub committed: f64,
}

impl ServiceRoom {
    /// Returns the work that can be admitted within `horizon`, if requests run for `service_time`.
    ///
    /// A horizon beyond the service time would count places that are used again as used, so it is
    /// cut to it. Work committed beyond the target reduces the supply; otherwise a service that was
    /// once overfilled would stay so as long as it is overloaded.
    pub(crate) fn supply(&self, settings: &GateSettings, service_time: Duration) -> f64 {
        let horizon = settings.horizon.min(service_time).as_secs_f64().max(1e-3);
        let target = self.capacity * settings.target_fill;
        let ending = self.committed * horizon / service_time.as_secs_f64().max(1e-3);
        (target - self.committed + ending).max(0.0)
    }

    /// Returns the supply divided by the horizon.
    pub(crate) fn supply_rate(&self, settings: &GateSettings, service_time: Duration) -> f64 {
        let horizon = settings.horizon.min(service_time).as_secs_f64().max(1e-3);
        self.supply(settings, service_time) / horizon
    }

    /// Returns the room with negative amounts raised to zero, or `None` if an amount is not finite.
    pub(crate) fn checked(self) -> Option<Self> {
        let is_finite = self.capacity.is_finite() && self.committed.is_finite();
        is_finite.then(|| Self {
            capacity: self.capacity.max(0.0),
            committed: self.committed.max(0.0),
        })
    }

    /// Returns the part of the capacity that is committed; 1 without capacity.
    pub fn fill(&self) -> f64 {
        if self.capacity > 0.0 {
            self.committed / self.capacity
        } else {
            1.0
        }
    }
}
