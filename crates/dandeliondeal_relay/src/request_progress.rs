//! Progress of a request, read by the log line of its end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use dandeliondeal_types::EndpointId;

/// Progress of one request; clones share it.
///
/// A request ends wherever its future is dropped, for example when the caller disconnects, so the
/// log line of the end cannot ask the relay.
#[derive(Clone, Debug, Default)]
pub struct RequestProgress(Rc<ProgressState>);

#[derive(Debug, Default)]
struct ProgressState {
    attempts: Cell<u32>,
    rejections: Cell<u32>,
    last_event: Cell<Option<u64>>,
    waiting_on: RefCell<Option<EndpointId>>,
}

impl RequestProgress {
    /// Records that the request is sent to an endpoint, which is then waited for.
    pub fn record_attempt(&self, endpoint: &EndpointId) {
        self.0.attempts.set(self.0.attempts.get() + 1);
        self.wait_on(endpoint);
    }

    /// Records that an endpoint stated that it did not execute the request.
    pub fn record_rejection(&self) {
        self.0.rejections.set(self.0.rejections.get() + 1);
        self.0.waiting_on.take();
    }

    /// Records the endpoint whose response or next event the request waits for.
    pub fn wait_on(&self, endpoint: &EndpointId) {
        let endpoint = EndpointId::clone(endpoint);
        self.0.waiting_on.replace(Some(endpoint));
    }

    /// Records the id of the last event that was received.
    pub fn record_event(&self, last_event: Option<u64>) {
        self.0.last_event.set(last_event);
    }

    /// Returns the number of attempts that were sent.
    pub fn attempts(&self) -> u32 {
        self.0.attempts.get()
    }

    /// Returns the number of attempts that may have executed the request.
    pub fn runs(&self) -> u32 {
        let rejections = self.0.rejections.get();
        self.0.attempts.get().saturating_sub(rejections)
    }

    /// Returns the id of the last event that was received.
    pub fn last_event(&self) -> Option<u64> {
        self.0.last_event.get()
    }

    /// Returns the endpoint that the request waits for.
    pub fn waiting_on(&self) -> Option<EndpointId> {
        self.0.waiting_on.borrow().clone()
    }
}
