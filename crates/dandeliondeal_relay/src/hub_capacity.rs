//! Selects the instances of a failure domain that have the processor time to serve as its hub.
//!
//! A hub answers all members of its domain at once when there is news. On a machine with an eighth of
//! a core that takes tens of milliseconds longer than on one with half a core.

use crate::instance_registry::PeerInstance;

/// Part of the largest processor time in the domain from which an instance counts as strong.
const STRONG_SHARE: f64 = 0.9;
/// Part of the instances that state their processor time from which it is used.
///
/// Earlier versions state none and select hubs without it. During an upgrade instances would otherwise
/// select different hubs, and registrations of removed instances stay.
const MIN_STATED_SHARE: f64 = 0.75;

/// Returns the members with the most processor time; all of them if too few state it.
pub fn strong_members<'peer>(members: &[&'peer PeerInstance]) -> Vec<&'peer PeerInstance> {
    let stated = members.iter().filter_map(|peer| peer.processor_milli);
    let count = stated.clone().count();
    let largest = stated.max().unwrap_or_default();
    if (count as f64) < members.len() as f64 * MIN_STATED_SHARE {
        return members.to_vec();
    }
    let limit = f64::from(largest) * STRONG_SHARE;
    let strong = members.iter().filter(|peer| {
        peer.processor_milli
            .is_some_and(|milli| f64::from(milli) >= limit)
    });
    strong.copied().collect()
}
