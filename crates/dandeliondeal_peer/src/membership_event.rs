//! Settings, events and actions of the membership machine.

use std::time::Duration;

use dandeliondeal_types::{InstanceId, InstanceRecord};

use crate::member_state::MemberState;
use crate::peer_message::{Heartbeat, MemberIdentity};

/// Settings of heartbeats.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Time between two heartbeats to one neighbour.
    pub interval: Duration,
    /// Members that receive heartbeats.
    pub fan_out: FanOut,
}

/// Selects the members that an instance sends heartbeats to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FanOut {
    /// A constant number of neighbours.
    #[default]
    Ring,
    /// Every member. Serves as the baseline in measurements, since its cost grows with the fleet.
    All,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            fan_out: FanOut::Ring,
        }
    }
}

/// Input of the membership machine.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// Time has passed. Sent at least a few times per heartbeat interval.
    Tick,
    /// A heartbeat, or the answer to one, was received.
    HeartbeatReceived {
        /// Heartbeat or answer.
        heartbeat: Heartbeat,
    },
    /// A member did not answer a heartbeat, not even over a new connection.
    Unanswered {
        /// Member that did not answer.
        peer: InstanceId,
    },
    /// A second observer reported whether it reached a member.
    Observed {
        /// Member that the observer tried to reach.
        subject: InstanceId,
        /// Whether the member answered the observer.
        reachable: bool,
    },
    /// The platform's instance list was read.
    InstancesListed {
        /// Records of the list.
        records: Vec<InstanceRecord>,
    },
    /// This instance begins to shut down.
    Leave,
    /// A revision came into force on this instance, and neighbours should be informed.
    RevisionChanged,
}

/// Action that the caller of the machine has to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a heartbeat.
    Send {
        /// Member that receives the heartbeat.
        to: MemberIdentity,
    },
    /// Ask an observer whether it can reach a member.
    Observe {
        /// Member to ask.
        observer: MemberIdentity,
        /// Member that the observer tries to reach.
        subject: MemberIdentity,
    },
    /// Report that the state of a member changed.
    Changed {
        /// Member whose state changed.
        id: InstanceId,
        /// New state of the member.
        state: MemberState,
    },
}
