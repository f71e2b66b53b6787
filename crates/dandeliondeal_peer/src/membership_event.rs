//! What happens to the membership machine, and what it asks for.

use std::time::Duration;

use dandeliondeal_types::{InstanceId, InstanceRecord};

use crate::member_state::MemberState;
use crate::peer_message::{Heartbeat, MemberCard};

/// How often heartbeats are sent.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Time between two heartbeats to one neighbour.
    pub interval: Duration,
    /// To whom they go.
    pub fan_out: FanOut,
}

/// To whom an instance sends heartbeats.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FanOut {
    /// To a constant number of neighbours.
    #[default]
    Ring,
    /// To everyone: the baseline of measurements, whose cost grows with the fleet.
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

/// What happens to the machine.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// Time passes; at least a few times an interval.
    Tick,
    /// A heartbeat came, or the answer to one.
    Heard {
        /// What it says.
        heartbeat: Heartbeat,
    },
    /// A member did not answer, over a new connection either.
    Unanswered {
        /// The member.
        peer: InstanceId,
    },
    /// A second observer says whether it reached a member.
    Observed {
        /// The member.
        subject: InstanceId,
        /// Whether it answered the observer.
        reachable: bool,
    },
    /// The platform's instance list was read.
    Listed {
        /// The records.
        records: Vec<InstanceRecord>,
    },
    /// This instance is to stop.
    Leave,
    /// A revision came into force here, which neighbours should hear of.
    RevisionChanged,
}

/// What the shell has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a heartbeat.
    Send {
        /// To whom.
        to: MemberCard,
    },
    /// Ask an observer whether it reaches a member.
    Observe {
        /// Whom to ask.
        observer: MemberCard,
        /// Whom to reach.
        subject: MemberCard,
    },
    /// Say that the state of a member changed.
    Changed {
        /// The member.
        id: InstanceId,
        /// Its state.
        state: MemberState,
    },
}
