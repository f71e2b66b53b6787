//! Health of one endpoint: signals in, chart events out.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_chart::ChartMachine;

use crate::endpoint_profile::FailureSignal;
use crate::health_chart::{HealthEvent, HealthState, HealthTable};
use crate::monitor_settings::HealthSettings;
use crate::signal_window::SignalWindow;

/// Smallest share of the work in slow start, so that it ends also under light load.
const RAMP_FLOOR: f64 = 0.1;

/// Health of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    machine: ChartMachine<HealthState, HealthEvent>,
    window: SignalWindow,
    entered: Instant,
    last_answer: Option<Instant>,
    retry_wait: Duration,
    is_test_open: bool,
}

impl EndpointHealth {
    /// Starts in slow start.
    pub fn new(table: Arc<HealthTable>, settings: &HealthSettings, now: Instant) -> Self {
        Self {
            machine: ChartMachine::new(table),
            window: SignalWindow::new(settings.window_half_life, now),
            entered: now,
            last_answer: None,
            retry_wait: settings.retry_wait,
            is_test_open: false,
        }
    }

    /// The state now.
    pub fn state(&self) -> HealthState {
        self.machine.state()
    }

    /// Whether new work may be sent.
    ///
    /// In testing only one request at a time, and only one that may be repeated.
    pub fn is_usable(&self, is_repeatable: bool) -> bool {
        match self.state() {
            HealthState::InService | HealthState::SlowStart | HealthState::Suspected => true,
            HealthState::Testing => is_repeatable && !self.is_test_open,
            HealthState::Failed | HealthState::Leaving => false,
        }
    }

    /// Whether new work may be sent while others of the group are usable too.
    ///
    /// Work that may not be repeated goes to a suspected endpoint only as a last resort.
    pub fn is_preferred(&self, is_repeatable: bool) -> bool {
        let is_suspected = self.state() == HealthState::Suspected;
        self.is_usable(is_repeatable) && (is_repeatable || !is_suspected)
    }

    /// Share of its capacity that the endpoint may use now, from 0 to 1.
    pub fn ramp_share(&self, settings: &HealthSettings, now: Instant) -> f64 {
        if self.state() != HealthState::SlowStart || settings.ramp.is_zero() {
            return 1.0;
        }
        let elapsed = now.saturating_duration_since(self.entered);
        (elapsed.as_secs_f64() / settings.ramp.as_secs_f64()).clamp(RAMP_FLOOR, 1.0)
    }

    /// Notes that a call starts.
    pub fn started(&mut self) {
        if self.state() == HealthState::Testing {
            self.is_test_open = true;
        }
    }

    /// Notes that a call ended without telling anything.
    pub fn cancelled(&mut self) {
        self.is_test_open = false;
    }

    /// Notes an answer to a call that started at `started`.
    pub fn answered(&mut self, started: Instant, settings: &HealthSettings, now: Instant) {
        self.window.answer(now);
        self.last_answer = Some(now);
        let is_old_work = started < self.entered;
        match self.state() {
            // Only work that was sent for the test decides it.
            HealthState::Testing if is_old_work => {}
            HealthState::Testing => {
                self.retry_wait = settings.retry_wait;
                self.apply(HealthEvent::Answer, now);
            }
            _ => self.apply(HealthEvent::Answer, now),
        }
        self.judge_recovery(settings, now);
    }

    /// Notes a failed call; `allows_failure` is false where load is the likelier cause.
    pub fn failed(
        &mut self,
        signal: FailureSignal,
        allows_failure: bool,
        settings: &HealthSettings,
        now: Instant,
    ) {
        match signal {
            FailureSignal::Busy => self.is_test_open = false,
            FailureSignal::Leaving => self.apply(HealthEvent::Leave, now),
            FailureSignal::Refused | FailureSignal::NoAnswer | FailureSignal::BadAnswer => {
                self.window.failure(now);
                self.judge_failure(allows_failure, settings, now);
            }
        }
    }

    /// Notes that `overdue` open calls are overdue and nothing came back since they started.
    pub fn overdue(
        &mut self,
        overdue: u32,
        allows_failure: bool,
        settings: &HealthSettings,
        now: Instant,
    ) {
        if overdue >= settings.overdue_calls && allows_failure {
            self.apply(HealthEvent::Failure, now);
        } else if overdue > 0 {
            self.apply(HealthEvent::Suspicion, now);
        }
    }

    /// Notes whether the instance list shows the endpoint as leaving.
    ///
    /// The list lags: an endpoint that has just refused as leaving may still stand there as live.
    pub fn listed(&mut self, is_leaving: bool, settings: &HealthSettings, now: Instant) {
        if is_leaving {
            self.apply(HealthEvent::Leave, now);
        } else if now.saturating_duration_since(self.entered) >= settings.list_lag {
            self.apply(HealthEvent::Return, now);
        }
    }

    /// Moves on what only time moves.
    pub fn tick(&mut self, settings: &HealthSettings, now: Instant) {
        let elapsed = now.saturating_duration_since(self.entered);
        match self.state() {
            HealthState::Failed if elapsed >= self.retry_wait => {
                self.apply(HealthEvent::RetryDue, now);
            }
            HealthState::SlowStart if elapsed >= settings.ramp => {
                self.apply(HealthEvent::RampDone, now);
            }
            HealthState::Suspected => self.judge_recovery(settings, now),
            _ => {}
        }
    }

    /// When the last answer arrived.
    pub fn last_answer(&self) -> Option<Instant> {
        self.last_answer
    }

    fn judge_failure(&mut self, allows_failure: bool, settings: &HealthSettings, now: Instant) {
        let is_judged = self.window.calls() >= settings.least_calls;
        let share = self.window.share();
        let run = self.window.run();
        let is_failure =
            run >= settings.failure_run || (is_judged && share >= settings.failure_share);
        let is_suspicion =
            run >= settings.suspicion_run || (is_judged && share >= settings.suspicion_share);
        if self.state() == HealthState::Testing {
            self.retry_wait = (self.retry_wait * 2).min(settings.retry_wait_limit);
            self.apply(HealthEvent::Failure, now);
        } else if is_failure && allows_failure {
            self.apply(HealthEvent::Failure, now);
        } else if is_suspicion {
            self.apply(HealthEvent::Suspicion, now);
        }
    }

    fn judge_recovery(&mut self, settings: &HealthSettings, now: Instant) {
        self.window.fade(now);
        let is_quiet = self.window.calls() < 1.0;
        let is_sound = self.window.run() == 0 && self.window.share() <= settings.recovery_share;
        if is_quiet || is_sound {
            self.apply(HealthEvent::Recovery, now);
        }
    }

    fn apply(&mut self, event: HealthEvent, now: Instant) {
        let before = self.state();
        // The chart refuses no event; one that does not apply is ignored.
        let _ = self.machine.apply(event);
        if self.state() != before {
            self.entered = now;
            self.is_test_open = false;
            if matches!(self.state(), HealthState::SlowStart | HealthState::Testing) {
                self.window.clear(now);
            }
        }
    }
}
