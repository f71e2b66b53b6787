//! Messages between the owner of an organisation's limit and the instances that use it.

use std::time::Duration;

use dandeliondeal_types::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::limit_amount::LimitAmount;

/// Counts the owners of one limit; the platform's lease object gives each owner a higher one.
pub type OwnerTerm = u64;
/// Counts the grants of one term to one holder.
pub type GrantSequence = u64;

/// A grant as its holder knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// Term of the owner that gave it.
    pub term: OwnerTerm,
    /// Its number in the term.
    pub sequence: GrantSequence,
    /// What may be used.
    pub amount: LimitAmount,
}

/// An instance asks for a grant, or for its renewal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Who asks.
    pub holder: InstanceId,
    /// Its process start; a restarted holder has lost its grant.
    pub incarnation: Incarnation,
    /// What it could use.
    pub demand: LimitAmount,
    /// The grant that it holds now.
    pub held: Option<HeldGrant>,
    /// The highest term that an owner has told it.
    pub seen_term: OwnerTerm,
}

/// The owner's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum GrantAnswer {
    /// A grant that replaces the holder's former one.
    Granted {
        /// The grant.
        grant: HeldGrant,
        /// Its life from the moment at which the holder sent its request.
        life: Duration,
    },
    /// The owner is in place but has to hear again from the holder, which now knows its term.
    AskAgain {
        /// Term of the owner.
        term: OwnerTerm,
    },
    /// The asked instance does not own the limit, or may not act yet.
    NotOwner,
}
