//! Routing of claims to the preferred instance of their shard.
//!
//! The preferred instance combines the claims of many instances into one write.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dandeliondeal_claim::{ClaimRecord, OutcomeRecord, ShardIndex};
use dandeliondeal_types::rendezvous::preferred_member;
use dandeliondeal_types::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::request_id::owner_of;

/// Time for which no records are sent to a peer that did not answer.
const UNREACHABLE_TIME: Duration = Duration::from_secs(2);

/// A record that the preferred instance is asked to write.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardCall {
    /// Shard that the record belongs to.
    pub shard: ShardIndex,
    /// Record to write.
    pub record: ForwardRecord,
    /// Time that the sender waits for the reply, in milliseconds.
    pub wait_milliseconds: u64,
}

/// Content of a forwarded record.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ForwardRecord {
    /// A claim.
    Claim(ClaimRecord),
    /// An outcome.
    Outcome(OutcomeRecord),
}

/// Reply of the preferred instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ForwardReply {
    /// The record is in the log, and a claim owns its key.
    Written,
    /// Any other result; the sender has to read the log itself.
    Declined,
}

/// Sends records to other instances.
pub trait ClaimLink: Debug + 'static {
    /// Sends a record once; returns `None` if no reply arrived in time.
    fn forward(
        &self,
        address: SocketAddr,
        call: ForwardCall,
        wait: Duration,
    ) -> impl Future<Output = Option<ForwardReply>>;
}

/// A live entry instance and its address for peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimMember {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Its address for peers.
    pub address: SocketAddr,
}

impl AsRef<str> for ClaimMember {
    fn as_ref(&self) -> &str {
        &self.instance
    }
}

/// Latest known process of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerProcess {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Whether the members consider it failed.
    pub has_failed: bool,
}

/// Maps shards to preferred instances, as this instance sees the fleet.
///
/// Instances may disagree on this safely: the log itself decides which request owns a key.
#[derive(Debug, Default)]
pub struct ClaimRoute {
    members: RefCell<Vec<ClaimMember>>,
    unreachable_until: RefCell<HashMap<InstanceId, Instant>>,
    processes: RefCell<Vec<OwnerProcess>>,
}

impl ClaimRoute {
    /// Replaces the live instances, including this one.
    pub fn set_members(&self, members: Vec<ClaimMember>) {
        self.members.replace(members);
    }

    /// Returns the instance to send a shard's records to; `None` if this instance writes them.
    pub fn preferred(
        &self,
        shard: ShardIndex,
        own: &InstanceId,
        now: Instant,
    ) -> Option<ClaimMember> {
        let members = self.members.borrow();
        let index = preferred_member(&format!("claims-{shard}"), &members, Xxh3::new)?;
        let member = &members[index];
        let unreachable_until = self.unreachable_until.borrow();
        let until = unreachable_until.get(&member.instance);
        let is_usable = until.is_none_or(|until| now >= *until);
        (is_usable && member.instance != *own).then(|| member.clone())
    }

    /// Returns whether this instance is one of the `count` preferred ones for `key`.
    ///
    /// Also returns true while no members are known.
    pub fn is_among_preferred(&self, key: &str, own: &InstanceId, count: usize) -> bool {
        let mut members = self.members.borrow().clone();
        if members.is_empty() {
            return true;
        }
        for _rank in 0..count {
            match preferred_member(key, &members, Xxh3::new) {
                Some(index) if members[index].instance == *own => return true,
                Some(index) => drop(members.swap_remove(index)),
                None => return false,
            }
        }
        false
    }

    /// Replaces the known processes.
    pub fn set_processes(&self, processes: Vec<OwnerProcess>) {
        self.processes.replace(processes);
    }

    /// Returns whether the process that received a request is known to be gone.
    ///
    /// A wrong result is safe: it only leads to an early settlement, after which the request either
    /// has run or never will.
    pub fn is_owner_gone(&self, request: &str) -> bool {
        let Some((instance, incarnation)) = owner_of(request) else {
            return false;
        };
        let processes = self.processes.borrow();
        let process = processes
            .iter()
            .find(|process| *process.instance == *instance);
        process.is_some_and(|process| {
            incarnation < process.incarnation
                || (incarnation == process.incarnation && process.has_failed)
        })
    }

    /// Stops sending records to an instance for a short time.
    pub fn mark_unreachable(&self, instance: &InstanceId, now: Instant) {
        let mut unreachable_until = self.unreachable_until.borrow_mut();
        unreachable_until.retain(|_instance, until| *until > now);
        unreachable_until.insert(instance.clone(), now + UNREACHABLE_TIME);
    }
}
