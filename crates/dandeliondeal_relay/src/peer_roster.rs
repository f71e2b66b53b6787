//! Registered instances, which a restore of the store from a copy does not reduce.

use std::time::{Duration, Instant};

use dandeliondeal_types::StoreEra;

use crate::instance_registry::PeerInstance;

/// Time after a restore for which instances without a registration are counted.
///
/// It covers the longest time until an instance notices that its registration is lost, and the next
/// count after that.
const RESTORE_GRACE: Duration = Duration::from_secs(15);

/// Instances of the last list, and those whose registrations a restore may have lost.
#[derive(Debug, Default)]
pub struct PeerRoster {
    peers: Vec<PeerInstance>,
    era: Option<StoreEra>,
    /// Time until which instances that are missing in a list are kept.
    kept_until: Option<Instant>,
}

impl PeerRoster {
    /// Applies a list that was read in `era`; returns the instances to count.
    pub fn update(
        &mut self,
        mut listed: Vec<PeerInstance>,
        era: StoreEra,
        now: Instant,
    ) -> Vec<PeerInstance> {
        if self.era.replace(era).is_some_and(|known| known != era) {
            self.kept_until = Some(now + RESTORE_GRACE);
        }
        if self.kept_until.is_some_and(|until| now < until) {
            let is_listed = |peer: &PeerInstance| listed.iter().any(|other| other.id == peer.id);
            let missing = self.peers.iter().filter(|peer| !is_listed(peer));
            let missing: Vec<PeerInstance> = missing.cloned().collect();
            listed.extend(missing);
        }
        self.peers.clone_from(&listed);
        listed
    }
}
