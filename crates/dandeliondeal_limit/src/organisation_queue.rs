//! Waiting requests of one organisation.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Instant;

use crate::admission_queue::{QueuedRequest, TicketId};

/// Order within an organisation: priority, deadline, arrival.
type QueueKey = (Reverse<u8>, Instant, TicketId);

/// Waiting requests of one organisation and its position in virtual time.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrganisationQueue {
    waiting: BTreeMap<QueueKey, QueuedRequest>,
    /// Virtual time at which the organisation may start its next request.
    pub(crate) virtual_start: f64,
    /// Expected cost of all waiting requests.
    pub(crate) backlog: f64,
    /// Number of running requests.
    pub(crate) running: u32,
}

impl OrganisationQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }

    pub(crate) fn push(&mut self, ticket: TicketId, request: QueuedRequest) {
        self.backlog += request.cost;
        self.waiting.insert(queue_key(ticket, &request), request);
    }

    pub(crate) fn pop_first(&mut self) -> Option<(TicketId, QueuedRequest)> {
        let (key, request) = self.waiting.pop_first()?;
        self.backlog = (self.backlog - request.cost).max(0.0);
        Some((key.2, request))
    }

    /// Removes the request that would be served last.
    pub(crate) fn pop_last(&mut self) -> Option<(TicketId, QueuedRequest)> {
        let (key, request) = self.waiting.pop_last()?;
        self.backlog = (self.backlog - request.cost).max(0.0);
        Some((key.2, request))
    }

    pub(crate) fn remove(&mut self, ticket: TicketId) -> Option<QueuedRequest> {
        let key = *self.waiting.keys().find(|key| key.2 == ticket)?;
        let request = self.waiting.remove(&key)?;
        self.backlog = (self.backlog - request.cost).max(0.0);
        Some(request)
    }

    /// Removes the requests whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<TicketId> {
        let expired: Vec<TicketId> = self
            .waiting
            .keys()
            .filter(|key| key.1 <= now)
            .map(|key| key.2)
            .collect();
        for &ticket in &expired {
            self.remove(ticket);
        }
        expired
    }
}

fn queue_key(ticket: TicketId, request: &QueuedRequest) -> QueueKey {
    (Reverse(request.priority), request.deadline, ticket)
}
