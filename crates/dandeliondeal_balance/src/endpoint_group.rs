//! Groups of interchangeable endpoints.

use std::collections::HashMap;
use std::sync::Arc;

use dandeliondeal_types::EndpointId;

use crate::endpoint_slot::EndpointSlot;
use crate::monitor_settings::SelectionSettings;
use crate::stable_subset::{stable_subset, subset_size};

/// A group of interchangeable endpoints with this instance's subset and the mean reported load.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointGroup {
    /// Slot indexes of all endpoints in the group.
    pub(crate) members: Vec<usize>,
    /// Slot indexes of the endpoints that this instance uses.
    pub(crate) subset: Vec<usize>,
    /// Highest throughput of an endpoint in the group, in calls per second.
    pub(crate) highest_throughput: f64,
    reported_capacity: f64,
    reported_calls: f64,
}

impl EndpointGroup {
    /// Groups the slots by group name and selects this instance's subset of each group.
    pub(crate) fn build_groups(
        instance: &str,
        instance_count: usize,
        slots: &[EndpointSlot],
        settings: &SelectionSettings,
    ) -> HashMap<Arc<str>, Self> {
        let mut groups: HashMap<Arc<str>, Self> = HashMap::new();
        for (index, slot) in slots.iter().enumerate() {
            let group = groups.entry(Arc::clone(&slot.profile.group)).or_default();
            group.members.push(index);
            group.update_mean_load(slot.profile.capacity, None, slot.load.reported_others());
            group.highest_throughput = group.highest_throughput.max(slot.throughput());
        }
        for group in groups.values_mut() {
            let endpoints: Vec<EndpointId> = group
                .members
                .iter()
                .map(|&index| Arc::clone(&slots[index].profile.id))
                .collect();
            let size = subset_size(endpoints.len(), instance_count, settings);
            group.subset = stable_subset(instance, &endpoints, size)
                .into_iter()
                .map(|position| group.members[position])
                .collect();
        }
        groups
    }

    /// Replaces an endpoint's previous report with its current one.
    ///
    /// `capacity` is the number of calls that the endpoint runs at once.
    pub(crate) fn update_mean_load(
        &mut self,
        capacity: u32,
        previous: Option<f64>,
        current: Option<f64>,
    ) {
        if previous.is_none() && current.is_some() {
            self.reported_capacity += f64::from(capacity);
        }
        self.reported_calls += current.unwrap_or(0.0) - previous.unwrap_or(0.0);
    }

    /// Returns the mean number of other instances' calls per unit of capacity, over reporting
    /// endpoints.
    pub(crate) fn mean_load(&self) -> f64 {
        if self.reported_capacity > 0.0 {
            (self.reported_calls / self.reported_capacity).max(0.0)
        } else {
            0.0
        }
    }
}
