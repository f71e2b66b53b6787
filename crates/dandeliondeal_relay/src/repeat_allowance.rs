//! Repeats that this instance may send to each service, as its part of what all instances may send.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use dandeliondeal_balance::{RetryBudget, RetrySettings};
use dandeliondeal_types::{Clock, ServiceId};

use crate::relay_context::RelayContext;

/// Share of the slack that the counted instances use.
///
/// The rest is reserved for instances that have started and that not all others have counted yet.
const USABLE_SLACK_SHARE: f64 = 0.7;
/// Minimum number of repeats that an instance can save; with less it could never send one.
const MIN_SAVED_REPEATS: f64 = 1.0;

/// Repeat budgets of one process by service.
#[derive(Debug)]
pub(crate) struct RepeatAllowance {
    started: Instant,
    budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
}

impl RepeatAllowance {
    /// Creates empty budgets for a process that starts now.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started: now,
            budgets: RefCell::default(),
        }
    }

    /// Returns the share of its part of the slack that the process can save; it grows over the first
    /// window, in which the other instances count this one.
    fn growth(&self, window: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started);
        age.div_duration_f64(window).min(1.0)
    }
}

impl<Time, Dialect> RelayContext<Time, Dialect>
where
    Time: Clock,
{
    /// Counts a request towards a service's repeat budget.
    pub fn count_request(&self, service: &ServiceId) {
        self.with_budget(service, RetryBudget::record_request);
    }

    /// Takes one repeat from a service's budget; returns `false` if none is left.
    pub fn acquire_repeat(&self, service: &ServiceId, cause: &str) -> bool {
        self.check_pause();
        let is_allowed = self.with_budget(service, RetryBudget::try_take);
        let metrics = &self.metrics().repeats;
        if is_allowed {
            metrics.sent.with_label_values(&[service, cause]).inc();
        } else {
            metrics.denied.with_label_values(&[service]).inc();
        }
        is_allowed
    }

    /// Updates this instance's part of the slack in all repeat budgets.
    pub(crate) fn share_slack(&self) {
        let max_saved = self.max_saved_repeats();
        let mut budgets = self.repeats().budgets.borrow_mut();
        for budget in budgets.values_mut() {
            budget.set_max_saved(max_saved);
        }
    }

    /// Updates the metric of the repeats that are left.
    pub(crate) fn update_repeat_metrics(&self) {
        for (service, budget) in &*self.repeats().budgets.borrow() {
            let gauge = self.metrics().repeats.saved.with_label_values(&[service]);
            gauge.set(budget.saved_retries());
        }
    }

    /// Returns the number of repeats that this instance can save, its part of the slack.
    ///
    /// It is the minimum until the instances are counted, because a new process does not know how many
    /// others there are, nor does one that was paused.
    fn max_saved_repeats(&self) -> f64 {
        let Some(instance_count) = self.counted_instances() else {
            return MIN_SAVED_REPEATS;
        };
        let allowances = &self.settings().allowances;
        let share = allowances.repeat_slack * USABLE_SLACK_SHARE / instance_count as f64;
        let growth = self.repeats().growth(allowances.repeat_window, self.now());
        (share * growth).max(MIN_SAVED_REPEATS)
    }

    fn with_budget<Result, Use>(&self, service: &ServiceId, call: Use) -> Result
    where
        Use: FnOnce(&mut RetryBudget) -> Result,
    {
        let max_saved = self.max_saved_repeats();
        let mut budgets = self.repeats().budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(service) {
            budget.set_max_saved(max_saved);
            return call(budget);
        }
        let settings = RetrySettings {
            retries_per_request: self.settings().allowances.repeat_ratio,
            max_saved_retries: max_saved,
            initial_retries: 0.0,
            ..RetrySettings::default()
        };
        let budget = budgets.entry(ServiceId::clone(service));
        call(budget.or_insert(RetryBudget::new(settings)))
    }
}
