//! Claims that go to the preferred instance of their shard, so that many share one write.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dandeliondeal_claim::{ClaimRecord, OutcomeRecord, ShardIndex};
use dandeliondeal_types::rendezvous::preferred;
use dandeliondeal_types::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::request_id::owner_of;

/// Time for which a peer that did not answer is passed over.
const PASSED_OVER_TIME: Duration = Duration::from_secs(2);

/// A record for the preferred instance to write.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardCall {
    /// The shard.
    pub shard: ShardIndex,
    /// The record.
    pub record: ForwardRecord,
    /// Time for which the sender waits, in milliseconds.
    pub wait_milliseconds: u64,
}

/// What is forwarded.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ForwardRecord {
    /// A claim.
    Claim(ClaimRecord),
    /// An outcome.
    Outcome(OutcomeRecord),
}

/// What the preferred instance tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ForwardReply {
    /// The record is in the log, and a claim holds its key.
    Written,
    /// Anything else; the sender reads the log itself.
    Declined,
}

/// Sends records to other instances.
pub trait ClaimLink: Debug + 'static {
    /// Sends a record once; `None` if no answer came in time.
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
    /// The instance.
    pub instance: InstanceId,
    /// Its address for peers.
    pub address: SocketAddr,
}

impl AsRef<str> for ClaimMember {
    fn as_ref(&self) -> &str {
        &self.instance
    }
}

/// The latest process of an instance that this instance has heard of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerProcess {
    /// The instance.
    pub instance: InstanceId,
    /// Its process start.
    pub incarnation: Incarnation,
    /// Whether the other instances take it for failed.
    pub has_failed: bool,
}

/// Which instance is preferred for a shard, as this instance sees the fleet.
///
/// Instances may differ in this without harm: the log itself decides who holds a key.
#[derive(Debug, Default)]
pub struct ClaimRoute {
    members: RefCell<Vec<ClaimMember>>,
    passed_over: RefCell<HashMap<InstanceId, Instant>>,
    processes: RefCell<Vec<OwnerProcess>>,
}

impl ClaimRoute {
    /// Replaces the live instances, this one among them.
    pub fn set_members(&self, members: Vec<ClaimMember>) {
        self.members.replace(members);
    }

    /// The instance that a shard's records go to; `None` to write them here.
    pub fn preferred(
        &self,
        shard: ShardIndex,
        own: &InstanceId,
        now: Instant,
    ) -> Option<ClaimMember> {
        let members = self.members.borrow();
        let index = preferred(&format!("claims-{shard}"), &members, Xxh3::new)?;
        let member = &members[index];
        let passed_over = self.passed_over.borrow();
        let until = passed_over.get(&member.instance);
        let is_usable = until.is_none_or(|until| now >= *until);
        (is_usable && member.instance != *own).then(|| member.clone())
    }

    /// Whether this instance is one of the `count` preferred ones for `key`; so is every instance
    /// while no members are known.
    pub fn is_among(&self, key: &str, own: &InstanceId, count: usize) -> bool {
        let mut members = self.members.borrow().clone();
        if members.is_empty() {
            return true;
        }
        for _rank in 0..count {
            match preferred(key, &members, Xxh3::new) {
                Some(index) if members[index].instance == *own => return true,
                Some(index) => drop(members.swap_remove(index)),
                None => return false,
            }
        }
        false
    }

    /// Replaces the processes that this instance has heard of.
    pub fn set_processes(&self, processes: Vec<OwnerProcess>) {
        self.processes.replace(processes);
    }

    /// Whether the process that received a request is known to be gone.
    ///
    /// A wrong answer does no harm: it only leads to an early settlement, after which the request
    /// either has run or never will.
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

    /// Passes an instance over for a while.
    pub fn pass_over(&self, instance: &InstanceId, now: Instant) {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|_instance, until| *until > now);
        passed_over.insert(instance.clone(), now + PASSED_OVER_TIME);
    }
}
