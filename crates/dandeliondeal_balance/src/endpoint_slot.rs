//! The monitor's record of one endpoint: profile, health, load and open calls.

use std::sync::Arc;
use std::time::Instant;

use crate::endpoint_health::EndpointHealth;
use crate::endpoint_load::{EndpointLoad, OtherLoad};
use crate::endpoint_profile::{CallResult, EndpointProfile, FailureSignal};
use crate::health_chart::HealthTable;
use crate::monitor_settings::{HealthSettings, MonitorSettings};

/// A call without a result so far.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    started: Instant,
    /// Predicted call time with queueing, as a multiple of the time without queueing.
    queueing_factor: f64,
}

/// The monitor's record of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointSlot {
    pub(crate) profile: EndpointProfile,
    pub(crate) health: EndpointHealth,
    pub(crate) load: EndpointLoad,
    /// When the endpoint was last selected for a load request.
    pub(crate) load_requested: Option<Instant>,
    open_calls: Vec<OpenCall>,
}

impl EndpointSlot {
    pub(crate) fn new(
        profile: EndpointProfile,
        table: &Arc<HealthTable>,
        settings: &HealthSettings,
        now: Instant,
    ) -> Self {
        Self {
            health: EndpointHealth::new(Arc::clone(table), settings, now),
            load: EndpointLoad::new(&profile),
            load_requested: None,
            open_calls: Vec::new(),
            profile,
        }
    }

    /// Returns the number of calls the endpoint may run at once now, which is reduced in slow
    /// start.
    pub(crate) fn capacity(&self, settings: &HealthSettings, now: Instant) -> f64 {
        f64::from(self.profile.capacity) * self.health.slow_start_share(settings, now)
    }

    /// Returns the throughput at full capacity, in calls per second.
    pub(crate) fn throughput(&self) -> f64 {
        let seconds = self.load.service_time().as_secs_f64();
        f64::from(self.profile.capacity) / seconds.max(f64::MIN_POSITIVE)
    }

    /// Records the start of a call, given the estimated calls of other instances.
    pub(crate) fn record_start(&mut self, others: OtherLoad, now: Instant) {
        let capacity = f64::from(self.profile.capacity);
        self.open_calls.push(OpenCall {
            started: now,
            queueing_factor: self.load.queueing_factor(others, capacity),
        });
        self.load.record_start();
        self.health.record_start();
    }

    pub(crate) fn record_finish(
        &mut self,
        started: Instant,
        result: CallResult,
        allows_failure: bool,
        settings: &MonitorSettings,
        now: Instant,
    ) {
        let position = self
            .open_calls
            .iter()
            .position(|call| call.started == started);
        let call = position.map(|position| self.open_calls.swap_remove(position));
        if call.is_some() {
            self.load.record_end();
        }
        match result {
            CallResult::Answered => {
                let elapsed = now.saturating_duration_since(started);
                let queueing_factor = call.map_or(1.0, |call| call.queueing_factor);
                self.load
                    .record_answer(elapsed, queueing_factor, &settings.selection);
                self.health.record_answer(started, &settings.health, now);
            }
            CallResult::Failed(signal) => {
                if signal == FailureSignal::Busy {
                    self.load.record_busy(self.profile.capacity, now);
                }
                let health = &settings.health;
                self.health
                    .record_failure(signal, allows_failure, health, now);
            }
            CallResult::Cancelled => self.health.record_cancellation(),
        }
    }

    /// Returns the number of overdue open calls since whose start no answer has arrived.
    pub(crate) fn overdue_calls(&self, settings: &HealthSettings, now: Instant) -> u32 {
        let scaled_time = self.load.service_time().mul_f64(settings.overdue_factor);
        let overdue_time = scaled_time.max(settings.min_overdue_time);
        let last_answer = self.health.last_answer();
        let overdue_calls = self.open_calls.iter().filter(|call| {
            let is_overdue = now.saturating_duration_since(call.started) > overdue_time;
            is_overdue && last_answer.is_none_or(|answer| answer <= call.started)
        });
        u32::try_from(overdue_calls.count()).unwrap_or(u32::MAX)
    }
}
