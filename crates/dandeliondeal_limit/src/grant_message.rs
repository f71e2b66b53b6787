//! Messages between the owner of an organisation's limit and the instances that use it.

use std::time::Duration;

use dandeliondeal_types::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::limit_amount::LimitAmount;

/// Term of a limit's owner. The platform's lease object gives each new owner a higher one.
pub type OwnerTerm = u64;
/// Number of a grant to one holder within one term.
pub type GrantSequence = u64;

/// Grant that an instance holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// Term of the owner that issued the grant.
    pub term: OwnerTerm,
    /// Number of the grant within the term.
    pub sequence: GrantSequence,
    /// Amount that may be used.
    pub amount: LimitAmount,
}

/// Request of an instance for a grant or for its renewal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Instance that sends the request.
    pub holder: InstanceId,
    /// Incarnation of the instance; a restarted holder has lost its grant.
    pub incarnation: Incarnation,
    /// Amount that the instance could use.
    pub demand: LimitAmount,
    /// Grant that the instance holds now.
    pub held: Option<HeldGrant>,
    /// Highest owner term that the instance has received.
    pub seen_term: OwnerTerm,
}

/// The owner's answer to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum GrantAnswer {
    /// A grant that replaces the holder's previous grant.
    Granted {
        /// The grant.
        grant: HeldGrant,
        /// Lifetime of the grant, counted from when the holder sent its request.
        life: Duration,
    },
    /// The owner is active but needs another request, sent after the holder has learnt its term.
    AskAgain {
        /// Term of the owner.
        term: OwnerTerm,
    },
    /// The instance doesn't own the limit, or may not grant yet.
    NotOwner,
}
