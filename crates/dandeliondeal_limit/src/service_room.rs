//! Capacity of a graded service and how much of it is in use.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gate_settings::GateSettings;
use crate::service_times::ServiceTimes;

/// Smallest time by which an amount is divided.
const MIN_TIME: Duration = Duration::from_millis(1);

/// How the supply of a service follows from its room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SupplyTerms {
    /// Work that may be committed, as a part of the capacity.
    target_fill: f64,
    /// Time for which a request holds its part of the capacity.
    service_time: Duration,
    /// Time for which the supply is computed.
    horizon: Duration,
    /// Whether requests beyond the capacity queue at the endpoints.
    is_queueing: bool,
    /// Committed work whose end counts: work that has just started does not end yet.
    ending_work: f64,
}

impl SupplyTerms {
    /// Returns the terms for a service; with a `queue_objective`, its endpoints queue.
    ///
    /// Without a queue, a horizon beyond the service time would count places that are used again as
    /// used, so it is cut to it.
    pub(crate) fn new(
        settings: &GateSettings,
        times: &ServiceTimes,
        queue_objective: Option<Duration>,
    ) -> Self {
        let Some(objective) = queue_objective else {
            return Self {
                target_fill: settings.target_fill,
                service_time: times.mean().max(MIN_TIME),
                horizon: settings.horizon.min(times.mean()),
                is_queueing: false,
                ending_work: f64::INFINITY,
            };
        };
        let service_time = times.smallest().max(MIN_TIME);
        let time = objective.mul_f64(settings.objective_share.clamp(0.0, 1.0));
        Self {
            target_fill: time.div_duration_f64(service_time).max(1.0),
            service_time,
            horizon: settings.horizon,
            is_queueing: true,
            ending_work: f64::INFINITY,
        }
    }

    /// Sets the committed work whose end counts.
    pub(crate) fn with_ending_work(mut self, work: f64) -> Self {
        self.ending_work = work;
        self
    }

    /// Returns the work per second that uses `amount` within the horizon.
    pub(crate) fn rate(&self, amount: f64) -> f64 {
        amount / self.horizon.max(MIN_TIME).as_secs_f64()
    }

    /// Returns the work that may be committed.
    pub(crate) fn target(&self, room: &ServiceRoom) -> f64 {
        room.capacity * self.target_fill
    }

    /// Returns the work that ends within `time`.
    ///
    /// Endpoints that queue use each place again at once, so they end work at the rate of all
    /// places.
    pub(crate) fn ending(&self, room: &ServiceRoom, time: Duration) -> f64 {
        let rounds = time.div_duration_f64(self.service_time);
        if self.is_queueing {
            room.capacity * rounds
        } else {
            room.committed.min(self.ending_work) * rounds.min(1.0)
        }
    }
}

/// Room of a service, in tokens for a model and in places for a plain service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceRoom {
    /// Capacity of the usable endpoints. For a model, that of the tightest layer.
    pub capacity: f64,
    /// Amount that all instances have committed on them.
    pub committed: f64,
}

impl ServiceRoom {
    /// Returns the work per second that can be admitted.
    ///
    /// Work committed beyond the target reduces it; otherwise a service that was once overfilled
    /// would stay so as long as it is overloaded.
    pub(crate) fn supply_rate(&self, terms: SupplyTerms) -> f64 {
        let ending = terms.ending(self, terms.horizon.max(MIN_TIME));
        terms.rate((terms.target(self) - self.committed + ending).max(0.0))
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
