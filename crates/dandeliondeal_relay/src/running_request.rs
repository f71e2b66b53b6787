//! Requests of graded services that run.

use std::time::Instant;

use dandeliondeal_types::{Clock, ServiceId};

use crate::relay_context::RelayContext;

/// Request of a graded service that runs; its end is recorded when it is dropped.
#[derive(Debug)]
pub(crate) struct RunningRequest<Time, Dialect>
where
    Time: Clock,
{
    context: RelayContext<Time, Dialect>,
    service: ServiceId,
    started: Instant,
    is_call: bool,
    /// Whether its duration counts.
    pub(crate) has_run: bool,
}

impl<Time, Dialect> RunningRequest<Time, Dialect>
where
    Time: Clock,
{
    /// Records the start of a request; `None` if its service is not graded. A request to a plain
    /// service, `is_call`, is counted as open.
    pub(crate) fn start(
        context: &RelayContext<Time, Dialect>,
        service: &ServiceId,
        is_call: bool,
    ) -> Option<Self> {
        context.admission().with_gate(service, |entry| {
            entry.open_calls += u32::from(is_call);
        })?;
        Some(Self {
            context: context.clone(),
            service: ServiceId::clone(service),
            started: context.now(),
            is_call,
            has_run: true,
        })
    }
}

impl<Time, Dialect> Drop for RunningRequest<Time, Dialect>
where
    Time: Clock,
{
    fn drop(&mut self) {
        let now = self.context.now();
        let service_time = now.saturating_duration_since(self.started);
        self.context.admission().with_gate(&self.service, |entry| {
            entry.open_calls = entry.open_calls.saturating_sub(u32::from(self.is_call));
            if self.has_run {
                entry.gate.record_finished(service_time, now);
            }
        });
    }
}
