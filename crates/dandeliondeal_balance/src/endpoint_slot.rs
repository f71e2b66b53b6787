//! One endpoint on the monitor: profile, health, load and open calls.

use std::sync::Arc;
use std::time::Instant;

use crate::endpoint_health::EndpointHealth;
use crate::endpoint_load::{EndpointLoad, OtherWork};
use crate::endpoint_profile::{CallResult, EndpointProfile, FailureSignal};
use crate::health_chart::HealthTable;
use crate::monitor_settings::{HealthSettings, MonitorSettings};

/// A call that is open.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    started: Instant,
    /// Predicted time with queueing as a multiple of the time without.
    stretch: f64,
}

/// One endpoint on the monitor.
#[derive(Clone, Debug)]
pub(crate) struct EndpointSlot {
    pub(crate) profile: EndpointProfile,
    pub(crate) health: EndpointHealth,
    pub(crate) load: EndpointLoad,
    /// When its load was last asked for.
    pub(crate) asked: Option<Instant>,
    open: Vec<OpenCall>,
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
            asked: None,
            open: Vec::new(),
            profile,
        }
    }

    /// Places that may be used now: fewer during a slow start.
    pub(crate) fn capacity(&self, settings: &HealthSettings, now: Instant) -> f64 {
        f64::from(self.profile.capacity) * self.health.ramp_share(settings, now)
    }

    /// Throughput in calls a second when all places are in use.
    pub(crate) fn rate(&self) -> f64 {
        let seconds = self.load.service_time().as_secs_f64();
        f64::from(self.profile.capacity) / seconds.max(f64::MIN_POSITIVE)
    }

    /// Notes a call that starts beside `others` calls of other instances.
    pub(crate) fn started(&mut self, others: OtherWork, now: Instant) {
        let capacity = f64::from(self.profile.capacity);
        self.open.push(OpenCall {
            started: now,
            stretch: self.load.stretch(others, capacity),
        });
        self.load.started();
        self.health.started();
    }

    pub(crate) fn finished(
        &mut self,
        started: Instant,
        result: CallResult,
        allows_failure: bool,
        settings: &MonitorSettings,
        now: Instant,
    ) {
        let place = self.open.iter().position(|call| call.started == started);
        let call = place.map(|place| self.open.swap_remove(place));
        if call.is_some() {
            self.load.ended();
        }
        match result {
            CallResult::Answered => {
                let elapsed = now.saturating_duration_since(started);
                let stretch = call.map_or(1.0, |call| call.stretch);
                self.load.answered(elapsed, stretch, &settings.choice);
                self.health.answered(started, &settings.health, now);
            }
            CallResult::Failed(signal) => {
                if signal == FailureSignal::Busy {
                    self.load.busy(self.profile.capacity, now);
                }
                let health = &settings.health;
                self.health.failed(signal, allows_failure, health, now);
            }
            CallResult::Cancelled => self.health.cancelled(),
        }
    }

    /// Open calls that are overdue and since whose start nothing came back.
    pub(crate) fn overdue(&self, settings: &HealthSettings, now: Instant) -> u32 {
        let usual = self.load.service_time().mul_f64(settings.overdue_factor);
        let patience = usual.max(settings.overdue_floor);
        let silent_since = self.health.last_answer();
        let overdue = self.open.iter().filter(|call| {
            let is_late = now.saturating_duration_since(call.started) > patience;
            is_late && silent_since.is_none_or(|answer| answer <= call.started)
        });
        u32::try_from(overdue.count()).unwrap_or(u32::MAX)
    }
}
