//! Endpoints that can stand in for each other.

use std::collections::HashMap;
use std::sync::Arc;

use dandeliondeal_types::EndpointId;

use crate::endpoint_slot::EndpointSlot;
use crate::monitor_settings::ChoiceSettings;
use crate::stable_subset::{stable_subset, subset_size};

/// One group: its members, the subset that this instance uses, and the mean of their reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointGroup {
    /// All endpoints of the group.
    pub(crate) members: Vec<usize>,
    /// Those that this instance uses.
    pub(crate) subset: Vec<usize>,
    /// Highest throughput of a member, in calls a second.
    pub(crate) best_rate: f64,
    reported: f64,
    sum: f64,
}

impl EndpointGroup {
    /// Builds the groups of all slots.
    pub(crate) fn build(
        instance: &str,
        instances: usize,
        slots: &[EndpointSlot],
        settings: &ChoiceSettings,
    ) -> HashMap<Arc<str>, Self> {
        let mut groups: HashMap<Arc<str>, Self> = HashMap::new();
        for (index, slot) in slots.iter().enumerate() {
            let group = groups.entry(Arc::clone(&slot.profile.group)).or_default();
            group.members.push(index);
            group.update_mean(slot.profile.capacity, None, slot.load.reported_others());
            group.best_rate = group.best_rate.max(slot.rate());
        }
        for group in groups.values_mut() {
            let endpoints: Vec<EndpointId> = group
                .members
                .iter()
                .map(|&slot| Arc::clone(&slots[slot].profile.id))
                .collect();
            let size = subset_size(endpoints.len(), instances, settings);
            group.subset = stable_subset(instance, &endpoints, size)
                .into_iter()
                .map(|place| group.members[place])
                .collect();
        }
        groups
    }

    /// Puts a report of an endpoint with `capacity` places in place of the one before.
    pub(crate) fn update_mean(&mut self, capacity: u32, before: Option<f64>, after: Option<f64>) {
        if before.is_none() && after.is_some() {
            self.reported += f64::from(capacity);
        }
        self.sum += after.unwrap_or(0.0) - before.unwrap_or(0.0);
    }

    /// Mean work of other instances for each place of the endpoints that reported.
    pub(crate) fn mean(&self) -> f64 {
        if self.reported > 0.0 {
            (self.sum / self.reported).max(0.0)
        } else {
            0.0
        }
    }
}
