//! Selection of the hub instance of each failure domain.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_types::rendezvous::preferred_member;
use dandeliondeal_types::{Clock, InstanceId};
use xxhash_rust::xxh3::Xxh3;

use crate::hub_capacity::strong_members;
use crate::instance_registry::PeerInstance;
use crate::relay_context::RelayContext;

/// Time for which an instance that did not answer is not selected as a hub.
const HUB_EXCLUSION_TIME: Duration = Duration::from_secs(3);
/// Key of the rendezvous hash that selects hubs.
const HUB_KEY: &str = "load-hub";

/// Returns the index of the instance that is the hub of these members of a failure domain.
pub fn preferred_hub(members: &[&InstanceId]) -> Option<usize> {
    preferred_member(HUB_KEY, members, Xxh3::new)
}

/// Selects hubs; clones share the list of unresponsive instances.
#[derive(Debug)]
pub struct HubSelector<Time, Dialect> {
    context: RelayContext<Time, Dialect>,
    /// Instances that did not answer, with the time until which they are not selected.
    unresponsive: Rc<RefCell<HashMap<InstanceId, Instant>>>,
}

impl<Time, Dialect> Clone for HubSelector<Time, Dialect> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            unresponsive: Rc::clone(&self.unresponsive),
        }
    }
}

impl<Time, Dialect> HubSelector<Time, Dialect>
where
    Time: Clock,
{
    /// Creates a selector over the instances known to the context.
    pub fn new(context: RelayContext<Time, Dialect>) -> Self {
        Self {
            context,
            unresponsive: Rc::default(),
        }
    }

    /// Returns the hub of a failure domain.
    ///
    /// All instances select the same one unless it does not answer some of them. Instances with the
    /// most processor time come first.
    pub fn hub_of(&self, domain: &str) -> Option<PeerInstance> {
        let now = self.context.now();
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.retain(|_, until| now < *until);
        self.select(domain, |peer| !unresponsive.contains_key(&peer.id))
    }

    /// Returns the preferred hubs of all failure domains, including those that recently did not
    /// answer; the hub of `own` comes first.
    pub fn preferred_hubs(&self, own: &str) -> Vec<PeerInstance> {
        let peers = self.context.peers();
        let mut domains: Vec<&str> = peers.iter().map(|peer| &*peer.failure_domain).collect();
        domains.sort_unstable_by_key(|domain| (*domain != own, *domain));
        domains.dedup();
        let domains = domains.into_iter();
        domains
            .filter_map(|domain| self.select(domain, |_| true))
            .collect()
    }

    /// Returns the first `count` instances of a failure domain in the order in which they are
    /// selected as its hub.
    pub fn ranked_hubs(&self, domain: &str, count: usize) -> Vec<PeerInstance> {
        let now = self.context.now();
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.retain(|_, until| now < *until);
        let mut ranked: Vec<PeerInstance> = Vec::new();
        while ranked.len() < count {
            let next = self.select(domain, |peer| {
                let is_ranked = ranked.iter().any(|hub| hub.id == peer.id);
                !is_ranked && !unresponsive.contains_key(&peer.id)
            });
            let Some(next) = next else {
                break;
            };
            ranked.push(next);
        }
        ranked
    }

    fn select<Filter>(&self, domain: &str, is_candidate: Filter) -> Option<PeerInstance>
    where
        Filter: Fn(&PeerInstance) -> bool,
    {
        let peers = self.context.peers();
        let mut members: Vec<&PeerInstance> = peers
            .iter()
            .filter(|peer| *peer.failure_domain == *domain)
            .collect();
        let mut strong = strong_members(&members);
        strong.retain(|peer| is_candidate(peer));
        if strong.is_empty() {
            members.retain(|peer| is_candidate(peer));
        } else {
            members = strong;
        }
        let names: Vec<&InstanceId> = members.iter().map(|peer| &peer.id).collect();
        let index = preferred_hub(&names)?;
        Some(members[index].clone())
    }

    /// Excludes an instance that did not answer for a while.
    pub fn exclude(&self, hub: &InstanceId) {
        self.exclude_for(hub, HUB_EXCLUSION_TIME);
    }

    /// Excludes an instance for `time`.
    pub fn exclude_for(&self, hub: &InstanceId, time: Duration) {
        let until = self.context.now() + time;
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.insert(InstanceId::clone(hub), until);
    }
}
