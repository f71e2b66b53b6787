//! Decides when a new instance has a revision recent enough to serve.

use std::collections::BTreeMap;

use dandeliondeal_types::{InstanceId, Revision};

/// What a new instance learns while it starts.
#[derive(Clone, Debug)]
pub enum ReadinessEvent {
    /// The platform said which revision is accepted; 0 if none is.
    PlatformHead {
        /// The revision.
        revision: Revision,
    },
    /// The platform did not answer.
    PlatformDown,
    /// A peer said which revision it has in force.
    PeerRevision {
        /// The peer.
        peer: InstanceId,
        /// The revision.
        revision: Revision,
    },
    /// A revision came into force here.
    InForce {
        /// The revision.
        revision: Revision,
    },
}

/// Holds readiness back until the revision in force is confirmed.
///
/// The platform confirms a revision that is not behind its head. While the platform is down, the
/// highest revision of a stated number of peers takes its place. Once open, the gate stays open.
#[derive(Clone, Debug)]
pub struct ReadinessGate {
    confirming_peers: usize,
    in_force: Revision,
    platform: Option<Revision>,
    is_platform_down: bool,
    peers: BTreeMap<InstanceId, Revision>,
    is_ready: bool,
}

impl ReadinessGate {
    /// Makes a closed gate.
    pub fn new(confirming_peers: usize) -> Self {
        Self {
            confirming_peers,
            in_force: 0,
            platform: None,
            is_platform_down: false,
            peers: BTreeMap::new(),
            is_ready: false,
        }
    }

    /// Whether the revision in force was confirmed.
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
                self.platform = Some(revision);
                self.is_platform_down = false;
            }
            ReadinessEvent::PlatformDown => self.is_platform_down = true,
            ReadinessEvent::PeerRevision { peer, revision } => {
                self.peers.insert(peer, revision);
            }
            ReadinessEvent::InForce { revision } => self.in_force = revision,
        }
        self.is_ready = self.in_force > 0 && self.is_confirmed();
    }

    fn is_confirmed(&self) -> bool {
        let highest = self.peers.values().copied().max().unwrap_or(0);
        let by_platform = self
            .platform
            .is_some_and(|revision| self.in_force >= revision);
        let by_peers = self.is_platform_down
            && self.peers.len() >= self.confirming_peers
            && self.in_force >= highest;
        by_platform || by_peers
    }
}
