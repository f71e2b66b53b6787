//! Decides when the revision of a new instance is recent enough to serve requests.

use std::collections::BTreeMap;

use dandeliondeal_types::{InstanceId, Revision};

/// Event during the start of an instance.
#[derive(Clone, Debug)]
pub enum ReadinessEvent {
    /// The platform reported the accepted revision, or 0 if there is none.
    PlatformHead {
        /// Number of the revision.
        revision: Revision,
    },
    /// The platform did not respond.
    PlatformDown,
    /// A peer reported its revision in force.
    PeerRevision {
        /// Name of the peer.
        peer: InstanceId,
        /// Number of the revision.
        revision: Revision,
    },
    /// A revision came into force at this instance.
    InForce {
        /// Number of the revision.
        revision: Revision,
    },
}

/// Delays readiness until the revision in force is confirmed as recent.
///
/// The platform confirms a revision that is at least as new as its head. While the platform is
/// down, a revision is confirmed if at least `confirming_peers` peers have reported and none of
/// them has a newer one. An instance that became ready remains ready.
#[derive(Clone, Debug)]
pub struct ReadinessGate {
    confirming_peers: usize,
    in_force: Revision,
    platform_revision: Option<Revision>,
    is_platform_down: bool,
    peer_revisions: BTreeMap<InstanceId, Revision>,
    is_ready: bool,
}

impl ReadinessGate {
    /// Creates a gate that is not ready yet.
    pub fn new(confirming_peers: usize) -> Self {
        Self {
            confirming_peers,
            in_force: 0,
            platform_revision: None,
            is_platform_down: false,
            peer_revisions: BTreeMap::new(),
            is_ready: false,
        }
    }

    /// Returns whether the revision in force was confirmed.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Applies an event.
    pub fn apply(&mut self, event: ReadinessEvent) {
        if self.is_ready {
            return;
        }
        match event {
            ReadinessEvent::PlatformHead { revision } => {
                self.platform_revision = Some(revision);
                self.is_platform_down = false;
            }
            ReadinessEvent::PlatformDown => self.is_platform_down = true,
            ReadinessEvent::PeerRevision { peer, revision } => {
                self.peer_revisions.insert(peer, revision);
            }
            ReadinessEvent::InForce { revision } => self.in_force = revision,
        }
        self.is_ready = self.in_force > 0 && self.is_confirmed();
    }

    fn is_confirmed(&self) -> bool {
        let highest_revision = self.peer_revisions.values().copied().max().unwrap_or(0);
        let is_platform_confirmed = self
            .platform_revision
            .is_some_and(|revision| self.in_force >= revision);
        let is_peer_confirmed = self.is_platform_down
            && self.peer_revisions.len() >= self.confirming_peers
            && self.in_force >= highest_revision;
        is_platform_confirmed || is_peer_confirmed
    }
}
