//! What instances tell each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use dandeliondeal_config::RevisionStamp;
use dandeliondeal_types::{FailureDomain, Incarnation, InstanceId, Region};

/// Who a member is and where it can be reached.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberCard {
    /// Name of the instance.
    #[serde(rename = "i")]
    pub id: InstanceId,
    /// Process start count.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Address for peers.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Failure domain.
    #[serde(rename = "d")]
    pub failure_domain: FailureDomain,
    /// Region.
    #[serde(rename = "r")]
    pub region: Region,
}

/// What is said of a member, from the weakest to the strongest at one version.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It runs.
    #[serde(rename = "a")]
    Alive,
    /// It finishes what it has.
    #[serde(rename = "l")]
    Leaving,
    /// Two observers could not reach it.
    #[serde(rename = "f")]
    Failed,
}

/// One piece of news of a member. Only the member itself raises the version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberNews {
    /// The member.
    #[serde(flatten)]
    pub card: MemberCard,
    /// What is said of it.
    #[serde(rename = "s")]
    pub status: MemberStatus,
    /// Version of the member's own word.
    #[serde(rename = "v")]
    pub version: u64,
}

impl MemberNews {
    /// Whether this news replaces `other` of the same member.
    pub fn replaces(&self, other: &Self) -> bool {
        let rank = |news: &Self| (news.card.incarnation, news.version, news.status);
        rank(self) > rank(other)
    }
}

/// A heartbeat or its answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's word of itself.
    #[serde(rename = "m")]
    pub from: MemberNews,
    /// Revision that the sender has in force.
    #[serde(rename = "c")]
    pub stamp: RevisionStamp,
    /// Digest of all that the sender holds, so that differences are found.
    #[serde(rename = "h")]
    pub digest: u64,
    /// News of others.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub news: Vec<MemberNews>,
}
