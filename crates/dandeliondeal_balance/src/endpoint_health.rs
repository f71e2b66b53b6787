//! Health of one endpoint: turns call results and timers into chart events.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_chart::ChartMachine;

use crate::endpoint_profile::FailureSignal;
use crate::health_chart::{HealthEvent, HealthState, HealthTable};
use crate::monitor_settings::HealthSettings;
use crate::signal_window::SignalWindow;

/// Minimum share of capacity during slow start, so that slow start also ends under light load.
const MIN_SLOW_START_SHARE: f64 = 0.1;

/// Health of one endpoint: a state machine and the recent call results that drive it.
#[derive(Clone, Debug)]
pub struct EndpointHealth {
    machine: ChartMachine<HealthState, HealthEvent>,
    window: SignalWindow,
    state_entered: Instant,
    last_answer: Option<Instant>,
    test_delay: Duration,
    is_test_in_flight: bool,
}

impl EndpointHealth {
    /// Creates the health of an endpoint in slow start.
    pub fn new(table: Arc<HealthTable>, settings: &HealthSettings, now: Instant) -> Self {
        Self {
            machine: ChartMachine::new(table),
            window: SignalWindow::new(settings.window_half_life, now),
            state_entered: now,
            last_answer: None,
            test_delay: settings.test_delay,
            is_test_in_flight: false,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> HealthState {
        self.machine.state()
    }

    /// Returns whether a new request may be sent to the endpoint.
    ///
    /// In the testing state, only one request at a time is allowed, and it has to be repeatable.
    pub fn is_usable(&self, is_repeatable: bool) -> bool {
        match self.state() {
            HealthState::InService | HealthState::SlowStart | HealthState::Suspected => true,
            HealthState::Testing => is_repeatable && !self.is_test_in_flight,
            HealthState::Failed | HealthState::Leaving => false,
        }
    }

    /// Returns whether the endpoint may be used while other endpoints of its group are usable too.
    ///
    /// A request that must not be repeated goes to a suspected endpoint only as a last resort.
    pub fn is_preferred(&self, is_repeatable: bool) -> bool {
        let is_suspected = self.state() == HealthState::Suspected;
        self.is_usable(is_repeatable) && (is_repeatable || !is_suspected)
    }

    /// Returns the share of its capacity that the endpoint may use now, from 0 to 1.
    pub fn slow_start_share(&self, settings: &HealthSettings, now: Instant) -> f64 {
        if self.state() != HealthState::SlowStart || settings.slow_start.is_zero() {
            return 1.0;
        }
        let elapsed = now.saturating_duration_since(self.state_entered);
        (elapsed.as_secs_f64() / settings.slow_start.as_secs_f64()).clamp(MIN_SLOW_START_SHARE, 1.0)
    }

    /// Records the start of a call.
    pub fn record_start(&mut self) {
        if self.state() == HealthState::Testing {
            self.is_test_in_flight = true;
        }
    }

    /// Records that a call was cancelled, which counts neither for nor against the endpoint.
    pub fn record_cancellation(&mut self) {
        self.is_test_in_flight = false;
    }

    /// Records an answer to a call that started at `started`.
    pub fn record_answer(&mut self, started: Instant, settings: &HealthSettings, now: Instant) {
        self.window.record_answer(now);
        self.last_answer = Some(now);
        let is_earlier_call = started < self.state_entered;
        match self.state() {
            // Only a call that was sent during the test decides the test.
            HealthState::Testing if is_earlier_call => {}
            HealthState::Testing => {
                self.test_delay = settings.test_delay;
                self.apply(HealthEvent::Answer, now);
            }
            _ => self.apply(HealthEvent::Answer, now),
        }
        self.evaluate_recovery(settings, now);
    }

    /// Records a failed call.
    ///
    /// `allows_failure` is false if load is the more likely cause; the endpoint is then at most
    /// suspected.
    pub fn record_failure(
        &mut self,
        signal: FailureSignal,
        allows_failure: bool,
        settings: &HealthSettings,
        now: Instant,
    ) {
        match signal {
            FailureSignal::Busy => self.is_test_in_flight = false,
            FailureSignal::Leaving => self.apply(HealthEvent::Leave, now),
            FailureSignal::Refused | FailureSignal::NoAnswer | FailureSignal::BadAnswer => {
                self.window.record_failure(now);
                self.evaluate_failure(allows_failure, settings, now);
            }
        }
    }

    /// Records that `overdue_calls` open calls are overdue and no answer has arrived since they
    /// started.
    pub fn record_overdue(
        &mut self,
        overdue_calls: u32,
        allows_failure: bool,
        settings: &HealthSettings,
        now: Instant,
    ) {
        if overdue_calls >= settings.overdue_calls && allows_failure {
            self.apply(HealthEvent::Failure, now);
        } else if overdue_calls > 0 {
            self.apply(HealthEvent::Suspicion, now);
        }
    }

    /// Records whether the instance list shows the endpoint as leaving.
    ///
    /// The list lags: it may still show an endpoint as live after the endpoint refused a call as
    /// leaving.
    pub fn record_listing(&mut self, is_leaving: bool, settings: &HealthSettings, now: Instant) {
        if is_leaving {
            self.apply(HealthEvent::Leave, now);
        } else if now.saturating_duration_since(self.state_entered) >= settings.list_lag {
            self.apply(HealthEvent::Return, now);
        }
    }

    /// Applies the transitions that depend on elapsed time.
    pub fn tick(&mut self, settings: &HealthSettings, now: Instant) {
        let elapsed = now.saturating_duration_since(self.state_entered);
        match self.state() {
            HealthState::Failed if elapsed >= self.test_delay => {
                self.apply(HealthEvent::TestDue, now);
            }
            HealthState::SlowStart if elapsed >= settings.slow_start => {
                self.apply(HealthEvent::SlowStartDone, now);
            }
            HealthState::Suspected => self.evaluate_recovery(settings, now),
            _ => {}
        }
    }

    /// Returns the time of the last answer.
    pub fn last_answer(&self) -> Option<Instant> {
        self.last_answer
    }

    fn evaluate_failure(&mut self, allows_failure: bool, settings: &HealthSettings, now: Instant) {
        let has_enough_calls = self.window.calls() >= settings.min_window_calls;
        let failure_share = self.window.failure_share();
        let consecutive_failures = self.window.consecutive_failures();
        let is_failure = consecutive_failures >= settings.failure_run
            || (has_enough_calls && failure_share >= settings.failure_share);
        let is_suspicion = consecutive_failures >= settings.suspicion_run
            || (has_enough_calls && failure_share >= settings.suspicion_share);
        if self.state() == HealthState::Testing {
            self.test_delay = (self.test_delay * 2).min(settings.max_test_delay);
            self.apply(HealthEvent::Failure, now);
        } else if is_failure && allows_failure {
            self.apply(HealthEvent::Failure, now);
        } else if is_suspicion {
            self.apply(HealthEvent::Suspicion, now);
        }
    }

    fn evaluate_recovery(&mut self, settings: &HealthSettings, now: Instant) {
        self.window.decay(now);
        let is_idle = self.window.calls() < 1.0;
        let is_healthy = self.window.consecutive_failures() == 0
            && self.window.failure_share() <= settings.recovery_share;
        if is_idle || is_healthy {
            self.apply(HealthEvent::Recovery, now);
        }
    }

    fn apply(&mut self, event: HealthEvent, now: Instant) {
        let previous = self.state();
        // The chart refuses no event: one that doesn't apply in the current state is ignored.
        let _ = self.machine.apply(event);
        if self.state() != previous {
            self.state_entered = now;
            self.is_test_in_flight = false;
            if matches!(self.state(), HealthState::SlowStart | HealthState::Testing) {
                self.window.clear(now);
            }
        }
    }
}
