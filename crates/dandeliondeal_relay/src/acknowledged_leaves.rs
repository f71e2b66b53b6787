//! Endpoints that this instance knows to leave, although a restored store lists them as before.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, EndpointRecord, StoreEra};

/// Time for which a leave is remembered; copies of the store are some seconds old.
const MEMORY_TIME: Duration = Duration::from_mins(1);
/// Maximum number of leaves that are remembered.
const MAX_LEAVES: usize = 4_096;
/// Time after a restore for which a registration from before a leave is not used.
///
/// Within it, an endpoint that leaves has written so again. A registration that is still there belongs
/// to an endpoint that serves.
const HOLD_TIME: Duration = Duration::from_secs(10);

/// Last registration of an endpoint before its leave, and the era in which the leave was read.
#[derive(Debug)]
struct KnownLeave {
    started_at_ms: u64,
    write_count: u64,
    era: StoreEra,
    known_at: Instant,
    /// Whether the process itself stated its leave.
    is_announced: bool,
}

/// Leaves that were read from the store, and the registrations that are held back because of them.
#[derive(Debug, Default)]
pub(crate) struct AcknowledgedLeaves {
    era: StoreEra,
    restored_at: Option<Instant>,
    leaves: HashMap<EndpointId, KnownLeave>,
    held: HashMap<EndpointId, EndpointRecord>,
}

impl AcknowledgedLeaves {
    /// Records the era of an answer.
    pub(crate) fn record_era(&mut self, era: StoreEra, now: Instant) {
        let previous = std::mem::replace(&mut self.era, era);
        if previous != era && previous != 0 {
            self.restored_at = Some(now);
        }
    }

    /// Records that an endpoint drains or is gone; `record` is its last registration.
    pub(crate) fn add(&mut self, record: &EndpointRecord, now: Instant) {
        let is_recent =
            |leave: &KnownLeave| now.saturating_duration_since(leave.known_at) < MEMORY_TIME;
        if self.leaves.len() >= MAX_LEAVES {
            self.leaves.retain(|_, leave| is_recent(leave));
        }
        let known = self.leaves.get(&record.id);
        // A leave counts from its first report: that of a drain, not of the end that follows.
        let is_known = known
            .is_some_and(|leave| leave.started_at_ms == record.started_at_ms && is_recent(leave));
        if !is_known && self.leaves.len() < MAX_LEAVES {
            let leave = KnownLeave {
                started_at_ms: record.started_at_ms,
                write_count: record.write_count,
                era: self.era,
                known_at: now,
                is_announced: known.is_some_and(|leave| {
                    leave.is_announced && leave.started_at_ms == record.started_at_ms
                }),
            };
            self.leaves.insert(EndpointId::clone(&record.id), leave);
        }
    }

    /// Records that the process of `record` stated its leave.
    pub(crate) fn announce(&mut self, record: &EndpointRecord, now: Instant) {
        self.add(record, now);
        if let Some(leave) = self.leaves.get_mut(&record.id) {
            leave.is_announced = true;
        }
    }

    /// Holds a registration back if its process stated its leave, or if it comes from a copy that does
    /// not hold the endpoint's leave; returns whether it does.
    pub(crate) fn hold(&mut self, record: &EndpointRecord, now: Instant) -> bool {
        let is_announced = self
            .leaves
            .get(&record.id)
            .is_some_and(|leave| leave.is_announced && leave.started_at_ms == record.started_at_ms);
        if is_announced && !record.is_draining {
            return true;
        }
        let is_copied = self.is_restoring(now)
            && !record.is_draining
            && self.leaves.get(&record.id).is_some_and(|leave| {
                leave.era != self.era
                    && leave.started_at_ms == record.started_at_ms
                    && leave.write_count >= record.write_count
                    && now.saturating_duration_since(leave.known_at) < MEMORY_TIME + HOLD_TIME
            });
        if is_copied {
            let id = EndpointId::clone(&record.id);
            if self.held.insert(id, record.clone()).is_none() {
                tracing::info!(endpoint = %record.id, era = self.era, "registration held back");
            }
        } else {
            self.held.remove(&record.id);
            if !record.is_draining {
                self.leaves.remove(&record.id);
            }
        }
        is_copied
    }

    /// Drops a registration that is held back, as it was removed.
    pub(crate) fn release(&mut self, id: &str) {
        self.held.remove(id);
    }

    /// Drops the registrations that are held back and not among `listed`.
    pub(crate) fn retain(&mut self, listed: &HashSet<EndpointId>) {
        self.held.retain(|id, _| listed.contains(id));
    }

    /// Returns the registrations that are no longer held back.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<EndpointRecord> {
        if self.held.is_empty() || self.is_restoring(now) {
            return Vec::new();
        }
        let due: Vec<EndpointRecord> = self.held.drain().map(|(_, record)| record).collect();
        for record in &due {
            self.leaves.remove(&record.id);
        }
        due
    }

    fn is_restoring(&self, now: Instant) -> bool {
        self.restored_at
            .is_some_and(|at| now.saturating_duration_since(at) < HOLD_TIME)
    }
}
