//! Run of a request that one or several processes hold.

use std::rc::Rc;
use std::time::Instant;

use dandeliondeal_quarantine::{RunRecord, RunStage};
use dandeliondeal_types::{Clock, EndpointId, RequestId, ServiceId};
use xxhash_rust::xxh3::xxh3_64;

use crate::crash_watch::{log_changes, process_id};
use crate::process_watch::WatchCause;
use crate::relay_context::RelayContext;
use crate::request_intake::RelayRequest;

/// Registers a run with the processes of its endpoints until it is settled.
///
/// One that is dropped before counts as given up: its processes may still work on it, and end.
#[derive(Debug)]
pub(crate) struct HeldRun<Time, Dialect>
where
    Time: Clock,
{
    context: RelayContext<Time, Dialect>,
    record: Rc<RunRecord>,
    endpoints: Vec<EndpointId>,
    /// Time since which the connection to the first endpoint is open.
    open_since: Instant,
}

impl<Time, Dialect> HeldRun<Time, Dialect>
where
    Time: Clock,
{
    /// Registers a run that starts over a connection that is open since `open_since`.
    pub(crate) fn start<'id>(
        context: &RelayContext<Time, Dialect>,
        request: &RelayRequest,
        open_since: Instant,
        endpoints: impl IntoIterator<Item = &'id EndpointId>,
    ) -> Self {
        let own_part = request.facts.own_part.as_ref();
        let own_part = own_part.unwrap_or(&request.facts.request);
        let record = RunRecord::new(
            RequestId::clone(&request.facts.request),
            ServiceId::clone(&request.service),
            request.features.clone(),
            xxh3_64(own_part.as_bytes()),
        );
        let mut held = Self {
            context: context.clone(),
            record: Rc::new(record),
            endpoints: Vec::new(),
            open_since,
        };
        held.add_endpoints(endpoints);
        held
    }

    fn add_endpoints<'id>(&mut self, endpoints: impl IntoIterator<Item = &'id EndpointId>) {
        let fleet = self.context.fleet().borrow();
        let mut held_runs = self.context.held_runs().borrow_mut();
        for endpoint in endpoints {
            if !self.endpoints.contains(endpoint) {
                if let Some(record) = fleet.record(endpoint) {
                    held_runs.add(&process_id(record), &self.record);
                }
                self.endpoints.push(EndpointId::clone(endpoint));
            }
        }
    }

    /// Registers the run with the endpoints of the chain that it moves to.
    pub(crate) fn record_move<'id>(
        &mut self,
        endpoints: impl IntoIterator<Item = &'id EndpointId>,
    ) {
        self.record.record_move();
        self.add_endpoints(endpoints);
    }

    /// Records how far the answer has come.
    pub(crate) fn set_stage(&self, stage: RunStage) {
        self.record.set_stage(stage);
    }

    /// Records that the first endpoint answered: its process ran all the time.
    pub(crate) fn record_contact(&self) {
        let Some(process) = self.record.first_process() else {
            return;
        };
        let (now, crashes) = (self.context.now(), self.context.crashes());
        let mut crashes = crashes.borrow_mut();
        crashes.record_contact(&process, self.open_since, now);
        drop(crashes);
        log_changes(&self.context);
    }

    /// Records that the answer is complete, or that the request was not run.
    pub(crate) fn settle(&self) {
        self.record.settle();
    }
}

impl<Time, Dialect> Drop for HeldRun<Time, Dialect>
where
    Time: Clock,
{
    fn drop(&mut self) {
        if !self.record.give_up(self.context.now()) {
            return;
        }
        let stage = self.record.stage().to_string();
        let counter = &self.context.metrics().runs_given_up;
        counter.with_label_values(&[&*stage]).inc();
        tracing::info!(
            request = %self.record.request, stage, endpoints = self.endpoints.join(","),
            features = self.record.features.join(","), "run given up"
        );
        for endpoint in &self.endpoints {
            let watch = self.context.process_watch();
            watch.add(endpoint, WatchCause::GivenUp);
        }
    }
}
