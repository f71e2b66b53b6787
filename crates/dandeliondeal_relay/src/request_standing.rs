//! Ties the answers to a request, and the ends of processes under it, to its features.

use dandeliondeal_quarantine::{RequestStanding, SuspectRequest};
use dandeliondeal_types::{Clock, EndpointId};
use xxhash_rust::xxh3::xxh3_64;

use crate::crash_watch::{EndedProcess, find_end, log_changes, process_id};
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
    pub(crate) fn record_sound<Time, Dialect>(
        &self,
        context: &RelayContext<Time, Dialect>,
        endpoint: &EndpointId,
    ) where
        Time: Clock,
    {
        let now = context.now();
        let process = context.fleet().borrow().record(endpoint).map(process_id);
        let mut crashes = context.crashes().borrow_mut();
        crashes.record_answer(&self.service, &self.features, now);
        if let Some(process) = process {
            crashes.record_contact(&process, now);
        }
        drop(crashes);
        log_changes(context);
    }

    /// Records the end of an endpoint's process if that is why the response broke off; returns
    /// whether it is.
    ///
    /// `has_begun` states whether the process had begun to answer, as far as is known.
    pub(crate) async fn record_end<Time, Dialect>(
        &self,
        context: &RelayContext<Time, Dialect>,
        endpoint: &EndpointId,
        has_begun: bool,
    ) -> bool
    where
        Time: Clock,
    {
        let Some(ended) = find_end(context, endpoint).await else {
            return false;
        };
        let EndedProcess {
            process,
            is_confirmed,
        } = ended;
        let own_part = self.facts.own_part.as_ref().unwrap_or(&self.facts.request);
        let suspect = SuspectRequest {
            service: &self.service,
            features: &self.features,
            session: xxh3_64(own_part.as_bytes()),
            has_begun,
        };
        tracing::info!(
            request = %self.facts.request, process = &*process, has_begun, is_confirmed,
            features = self.features.join(","), "process ended under a request"
        );
        let now = context.now();
        let crashes = context.crashes();
        crashes
            .borrow_mut()
            .record_end(&process, suspect, is_confirmed, now);
        log_changes(context);
        context.request_report();
        true
    }
}
