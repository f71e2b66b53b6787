//! Selects the instances that contend for the layout lease.
//!
//! Each poll of the lease is a charged call to the store, so only a few instances poll it. If all of
//! them are gone or cut off from the store, others take their place.

use std::time::Duration;

use dandeliondeal_types::InstanceId;
use dandeliondeal_types::rendezvous::preferred_member;
use xxhash_rust::xxh3::Xxh3;

use crate::instance_registry::PeerInstance;

/// Number of instances that poll the lease.
const CONTENDER_COUNT: usize = 5;
/// Key of the rendezvous hash that selects them.
const CONTENDER_KEY: &str = "layout";
/// Time since the last report of a lease holder after which further instances contend.
const HOLDER_SILENCE: Duration = Duration::from_secs(2);
/// Time after which the next instances contend if still no holder reports.
const STAGE_TIME: Duration = Duration::from_secs(4);

/// Returns whether `own` contends for the lease if no holder has reported for `silence`.
pub fn is_contender(own: &InstanceId, peers: &[PeerInstance], silence: Duration) -> bool {
    let stage = silence.saturating_sub(HOLDER_SILENCE).as_secs() / STAGE_TIME.as_secs();
    is_preferred(CONTENDER_KEY, own, peers)
        || (silence >= HOLDER_SILENCE
            && is_preferred(&format!("{CONTENDER_KEY}-{stage}"), own, peers))
}

/// Returns whether `own` is among the instances that are preferred for `key`.
fn is_preferred(key: &str, own: &InstanceId, peers: &[PeerInstance]) -> bool {
    let mut candidates: Vec<&InstanceId> = peers.iter().map(|peer| &peer.id).collect();
    for _ in 0..CONTENDER_COUNT {
        match preferred_member(key, &candidates, Xxh3::new) {
            None => return true,
            Some(index) if candidates[index] == own => return true,
            Some(index) => {
                candidates.swap_remove(index);
            }
        }
    }
    false
}
