//! Requests that wait at an admission gate.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::admission_queue::TicketId;
use crate::admission_rank::AdmissionRank;
use crate::gate_request::GateRequest;

/// Order of service: rank, less work, earlier arrival. Positive numbers have the order of their bits.
type WaitKey = (AdmissionRank, u64, Instant, TicketId);

/// What a waiting request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WaitReason {
    /// It has not been admitted.
    Share,
    /// It has been admitted, but no endpoint had room.
    Room,
}

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: GateRequest,
    pub(crate) reason: WaitReason,
    pub(crate) arrived: Instant,
    pub(crate) ends: Instant,
}

/// Waiting requests in their order of service, and by the end of their wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    order: BTreeMap<WaitKey, WaitingRequest>,
    keys: HashMap<TicketId, WaitKey>,
    ends: BTreeSet<(Instant, TicketId)>,
    room_count: usize,
    /// End of the wait of requests that were released and may have to wait again.
    released: BTreeSet<(Instant, TicketId)>,
    released_ends: HashMap<TicketId, Instant>,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    pub(crate) fn waits_for_room(&self) -> bool {
        self.room_count > 0
    }

    pub(crate) fn waits_for_share(&self) -> bool {
        self.order.len() > self.room_count
    }

    pub(crate) fn first_end(&self) -> Option<Instant> {
        self.ends.first().map(|(end, _)| *end)
    }

    /// Returns the tickets in their order of service.
    pub(crate) fn tickets(&self, reason: WaitReason) -> Vec<TicketId> {
        let waiting = self.order.iter();
        let matching = waiting.filter(|(_, waiting)| waiting.reason == reason);
        matching.map(|(key, _)| key.3).collect()
    }

    pub(crate) fn get(&self, ticket: TicketId) -> Option<&WaitingRequest> {
        self.order.get(self.keys.get(&ticket)?)
    }

    /// Adds a request. If more than `max_waiting` wait then, the last one is removed and returned.
    pub(crate) fn push(
        &mut self,
        ticket: TicketId,
        waiting: WaitingRequest,
        max_waiting: usize,
    ) -> Option<(TicketId, WaitingRequest)> {
        self.remove(ticket);
        let work = waiting.request.work.to_bits();
        let key = (waiting.request.rank, work, waiting.arrived, ticket);
        self.keys.insert(ticket, key);
        self.ends.insert((waiting.ends, ticket));
        self.room_count += usize::from(waiting.reason == WaitReason::Room);
        self.order.insert(key, waiting);
        if self.order.len() <= max_waiting {
            return None;
        }
        let last = self.order.last_key_value().map(|(key, _)| key.3)?;
        self.remove(last).map(|removed| (last, removed))
    }

    pub(crate) fn remove(&mut self, ticket: TicketId) -> Option<WaitingRequest> {
        let key = self.keys.remove(&ticket)?;
        let waiting = self.order.remove(&key)?;
        self.ends.remove(&(waiting.ends, ticket));
        self.room_count -= usize::from(waiting.reason == WaitReason::Room);
        Some(waiting)
    }

    /// Removes a request and remembers when its wait ends, for the case that it waits again.
    pub(crate) fn release(&mut self, ticket: TicketId) -> Option<WaitingRequest> {
        let waiting = self.remove(ticket)?;
        self.released.insert((waiting.ends, ticket));
        self.released_ends.insert(ticket, waiting.ends);
        Some(waiting)
    }

    /// Removes a request whose wait has ended.
    pub(crate) fn pop_ended(&mut self, now: Instant) -> Option<(TicketId, WaitingRequest)> {
        let &(end, ticket) = self.ends.first()?;
        if end > now {
            return None;
        }
        self.remove(ticket).map(|waiting| (ticket, waiting))
    }

    /// Returns when the wait of a request ends that may wait for `time`, counting earlier waits.
    pub(crate) fn wait_end(&mut self, ticket: TicketId, time: Duration, now: Instant) -> Instant {
        self.forget_released(ticket).unwrap_or(now + time)
    }

    /// Forgets a released request.
    pub(crate) fn forget_released(&mut self, ticket: TicketId) -> Option<Instant> {
        let end = self.released_ends.remove(&ticket)?;
        self.released.remove(&(end, ticket));
        Some(end)
    }

    /// Forgets released requests whose wait has ended `grace` ago, and the oldest beyond `max_count`.
    pub(crate) fn forget_ended(&mut self, grace: Duration, max_count: usize, now: Instant) {
        while let Some(&(end, ticket)) = self.released.first()
            && (end + grace <= now || self.released.len() > max_count)
        {
            self.forget_released(ticket);
        }
    }
}
