//! Ties the answers to a request to its features, and decides how it is treated.

use dandeliondeal_quarantine::RequestStanding;
use dandeliondeal_types::Clock;

use crate::crash_watch::log_changes;
use crate::relay_context::RelayContext;
use crate::request_intake::RelayRequest;

impl RelayRequest {
    /// Returns how the request is treated by now.
    pub(crate) fn standing<Time, Dialect>(
        &self,
        context: &RelayContext<Time, Dialect>,
    ) -> RequestStanding
    where
        Time: Clock,
    {
        let crashes = context.crashes().borrow();
        crashes.standing(&self.service, &self.features)
    }

    /// Returns whether processes ended under copies of the request.
    pub(crate) fn is_suspect_copy<Time, Dialect>(
        &self,
        context: &RelayContext<Time, Dialect>,
    ) -> bool
    where
        Time: Clock,
    {
        let crashes = context.crashes().borrow();
        crashes.is_suspect_copy(&self.service, &self.features)
    }

    /// Returns whether the request may be sent to an endpoint.
    pub(crate) fn is_admitted<Time, Dialect>(&self, context: &RelayContext<Time, Dialect>) -> bool
    where
        Time: Clock,
    {
        if self.is_trial.get() || self.standing(context) != RequestStanding::Quarantined {
            return true;
        }
        let mut crashes = context.crashes().borrow_mut();
        if crashes.take_trial(&self.service, &self.features) {
            self.is_trial.set(true);
            tracing::info!(
                request = %self.facts.request, features = self.features.join(","),
                "request admitted as trial of a quarantined prompt"
            );
        }
        self.is_trial.get()
    }

    /// Records that an endpoint answered the request without harm.
    pub(crate) fn record_sound<Time, Dialect>(&self, context: &RelayContext<Time, Dialect>)
    where
        Time: Clock,
    {
        let now = context.now();
        let mut crashes = context.crashes().borrow_mut();
        crashes.record_answer(&self.service, &self.features, now);
        drop(crashes);
        log_changes(context);
    }
}
