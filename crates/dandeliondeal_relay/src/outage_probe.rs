//! Limits the calls that the members of a hub make while the store does not answer.
//!
//! Refused calls count towards the allowed rate as well. While no hub reaches the store, the hubs and
//! a call of each member every few seconds are enough to notice its return.

use std::time::{Duration, Instant};

/// Minimum time between two calls of a member to a store that no hub reaches.
///
/// It bounds the time for which an instance stays without the store if only the hubs are refused by it.
const MEMBER_CALL_INTERVAL: Duration = Duration::from_secs(4);

/// What a hub says about its access to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HubAccess {
    /// The store answered the hub recently.
    Reached,
    /// The store has not answered the hub recently.
    Lost,
    /// The hub does not answer.
    Unknown,
}

/// Calls of one instance for one kind of objects, while the store may be unreachable.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageProbe {
    /// Whether the last call failed.
    is_lost: bool,
    called_at: Option<Instant>,
    hub_index: usize,
}

impl OutageProbe {
    /// Records that a call starts.
    pub fn record_call(&mut self, now: Instant) {
        self.called_at = Some(now);
    }

    /// Records whether the store answered the last call.
    pub fn record_result(&mut self, is_answered: bool) {
        self.is_lost = !is_answered;
    }

    /// Returns whether a hub is asked before the next call to the store.
    pub fn needs_hub(&self, now: Instant) -> bool {
        let is_due = self
            .called_at
            .is_none_or(|at| now.saturating_duration_since(at) >= MEMBER_CALL_INTERVAL);
        self.is_lost && !is_due
    }

    /// Returns the index of the hub to ask next, of `count`; each is asked in turn, so that one hub
    /// without access does not decide alone.
    pub fn next_hub(&mut self, count: usize) -> usize {
        self.hub_index = self.hub_index.wrapping_add(1);
        self.hub_index % count.max(1)
    }

    /// Returns whether a hub's access allows a call to the store.
    pub fn allows_call(access: HubAccess) -> bool {
        access != HubAccess::Lost
    }
}
