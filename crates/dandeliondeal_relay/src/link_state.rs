//! Decides whether an instance has lost its links to the endpoints of a service.
//!
//! The decision rests on connections that the instance opens for the purpose: established ones may
//! live on while new ones fail. That the endpoints themselves have ended looks the same; only other
//! instances tell the difference.

use std::time::{Duration, Instant};

/// Number of probes in a row with a connection after which lost links count as restored.
///
/// One alone may be a connection that was under way when the links failed.
const RESTORING_PROBES: u32 = 2;
/// Minimum time between two probes on suspicion.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two probes of lost links.
const LOST_INTERVAL: Duration = Duration::from_millis(250);

/// Change of the links to a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// No endpoint could be reached.
    Lost,
    /// Endpoints can be reached again; contains the time for which they could not.
    Restored(Duration),
}

/// Links of this instance to the endpoints of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkState {
    lost_since: Option<Instant>,
    /// Number of probes in a row with a connection while the links count as lost.
    answered_probes: u32,
    last_probe: Option<Instant>,
}

impl LinkState {
    /// Returns whether no endpoint can be reached.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Returns whether a probe is due: of lost links regularly, of others on suspicion.
    pub fn is_probe_due(&self, is_suspected: bool, now: Instant) -> bool {
        let interval = if self.is_lost() {
            LOST_INTERVAL
        } else if is_suspected {
            SUSPICION_INTERVAL
        } else {
            return false;
        };
        let age = self.last_probe.map(|at| now.saturating_duration_since(at));
        age.is_none_or(|age| age >= interval)
    }

    /// Records that a probe starts.
    pub fn record_probe(&mut self, now: Instant) {
        self.last_probe = Some(now);
    }

    /// Records the result of a probe: how many of the endpoints that it tried accepted a connection.
    pub fn record_result(
        &mut self,
        tried: usize,
        connected: usize,
        now: Instant,
    ) -> Option<LinkChange> {
        if tried == 0 {
            return None;
        }
        let Some(lost_since) = self.lost_since else {
            if connected > 0 {
                return None;
            }
            self.lost_since = Some(now);
            self.answered_probes = 0;
            return Some(LinkChange::Lost);
        };
        if connected == 0 {
            self.answered_probes = 0;
            return None;
        }
        self.answered_probes += 1;
        if self.answered_probes < RESTORING_PROBES {
            return None;
        }
        self.lost_since = None;
        Some(LinkChange::Restored(
            now.saturating_duration_since(lost_since),
        ))
    }
}
