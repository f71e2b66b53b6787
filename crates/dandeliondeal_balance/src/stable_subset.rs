//! Selects the endpoints of a group that one instance uses.

use xxhash_rust::xxh3::xxh3_64;

use dandeliondeal_types::EndpointId;

use crate::monitor_settings::SelectionSettings;

/// Returns the size of an instance's subset of a group with `replicas` endpoints.
///
/// The subset shrinks as `instance_count`, the number of entry instances, grows.
pub fn subset_size(replicas: usize, instance_count: usize, settings: &SelectionSettings) -> usize {
    let covering_size =
        (replicas * settings.instances_per_endpoint).div_ceil(instance_count.max(1));
    covering_size.max(settings.subset_size).min(replicas)
}

/// Selects `size` endpoints by rendezvous hashing, so that a change of the group replaces few.
pub fn stable_subset(instance: &str, endpoints: &[EndpointId], size: usize) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..endpoints.len()).collect();
    ranked.sort_by_cached_key(|&index| hash_score(instance, &endpoints[index]));
    ranked.truncate(size);
    ranked
}

fn hash_score(instance: &str, endpoint: &EndpointId) -> u64 {
    let mut key = Vec::with_capacity(instance.len() + endpoint.len() + 1);
    key.extend_from_slice(instance.as_bytes());
    key.push(0);
    key.extend_from_slice(endpoint.as_bytes());
    xxh3_64(&key)
}
