//! Messages between instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use dandeliondeal_config::RevisionStamp;
use dandeliondeal_types::{FailureDomain, Incarnation, InstanceId, Region};

/// Identity and location of a member.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// Name of the instance.
    #[serde(rename = "i")]
    pub id: InstanceId,
    /// Incarnation of the instance, which rises with each process start.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Address that peers connect to.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Failure domain of the instance.
    #[serde(rename = "d")]
    pub failure_domain: FailureDomain,
    /// Region of the instance.
    #[serde(rename = "r")]
    pub region: Region,
}

/// Reported status of a member.
///
/// Of two updates with equal incarnations and versions, the one with the later variant takes precedence.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum MemberStatus {
    /// The member is running.
    #[serde(rename = "a")]
    Alive,
    /// The member finishes its work and takes no more.
    #[serde(rename = "l")]
    Leaving,
    /// Two observers could not reach the member.
    #[serde(rename = "f")]
    Failed,
}

/// Update on the status of one member.
///
/// Only the member itself raises the version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Identity of the member.
    #[serde(flatten)]
    pub identity: MemberIdentity,
    /// Reported status of the member.
    #[serde(rename = "s")]
    pub status: MemberStatus,
    /// Version that the member has given its own status.
    #[serde(rename = "v")]
    pub version: u64,
}

impl MemberUpdate {
    /// Returns whether this update supersedes `other`, an update on the same member.
    pub fn replaces(&self, other: &Self) -> bool {
        let rank = |update: &Self| (update.identity.incarnation, update.version, update.status);
        rank(self) > rank(other)
    }
}

/// Heartbeat, or the answer to one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Status of the sender.
    #[serde(rename = "m")]
    pub from: MemberUpdate,
    /// Revision in force at the sender.
    #[serde(rename = "c")]
    pub stamp: RevisionStamp,
    /// Digest of the sender's view of all members, by which receivers detect differences.
    #[serde(rename = "h")]
    pub digest: u64,
    /// Updates on other members.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<MemberUpdate>,
}
