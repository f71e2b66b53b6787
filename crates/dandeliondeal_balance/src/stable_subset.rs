//! The part of a group that one instance uses.

use xxhash_rust::xxh3::xxh3_64;

use dandeliondeal_types::EndpointId;

use crate::monitor_settings::ChoiceSettings;

/// Size of the subset of a group of `replicas` endpoints before `instances` entry instances.
pub fn subset_size(replicas: usize, instances: usize, settings: &ChoiceSettings) -> usize {
    let covering = (replicas * settings.subset_cover).div_ceil(instances.max(1));
    covering.max(settings.subset_size).min(replicas)
}

/// Picks `size` endpoints by rendezvous hash, so that a change of the group moves few of them.
pub fn stable_subset(instance: &str, endpoints: &[EndpointId], size: usize) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..endpoints.len()).collect();
    ranked.sort_by_cached_key(|&index| score(instance, &endpoints[index]));
    ranked.truncate(size);
    ranked
}

fn score(instance: &str, endpoint: &EndpointId) -> u64 {
    let mut key = Vec::with_capacity(instance.len() + endpoint.len() + 1);
    key.extend_from_slice(instance.as_bytes());
    key.push(0);
    key.extend_from_slice(endpoint.as_bytes());
    xxh3_64(&key)
}
