//! Room of graded services, from the registrations and the load of all instances.
//!
//! It is computed once per load report.

use std::time::Instant;

use dandeliondeal_layout::EngineProfile;
use dandeliondeal_limit::ServiceRoom;

use crate::fleet_view::FleetView;
use crate::load_tracker::LoadTracker;

impl FleetView {
    /// Returns the room of a model: that of the layer with the least free capacity.
    ///
    /// A layer that no usable engine holds leaves no room at all.
    pub fn model_room(
        &self,
        service: &str,
        profile: &EngineProfile,
        tracker: &LoadTracker,
        instance_count: usize,
        now: Instant,
    ) -> ServiceRoom {
        let ratio = tracker.fleet_ratio(instance_count, now);
        let mut layers = vec![ServiceRoom::default(); profile.layers as usize];
        for record in self.records() {
            if *record.service != *service || record.is_draining {
                continue;
            }
            let excluded_until = self.excluded.get(&record.id);
            let is_excluded = excluded_until.is_some_and(|until| now < *until);
            let card = record.accelerator.as_ref();
            let card = card.and_then(|kind| profile.card(kind));
            let (Some(range), Some(card)) = (record.layers, card) else {
                continue;
            };
            if is_excluded || !self.is_usable(&record.id) {
                continue;
            }
            let capacity = profile.token_capacity(card, range.len());
            let committed = tracker.engine_load(&record.id, ratio, now).tokens;
            let held = range.start as usize..range.end as usize;
            for layer in layers.get_mut(held).into_iter().flatten() {
                layer.capacity += capacity;
                layer.committed += committed;
            }
        }
        // A layer without capacity counts as the tightest, also if others are overcommitted.
        let free = |room: &ServiceRoom| {
            if room.capacity > 0.0 {
                room.capacity - room.committed
            } else {
                f64::NEG_INFINITY
            }
        };
        let tightest = layers
            .iter()
            .min_by(|left, right| free(left).total_cmp(&free(right)));
        tightest.copied().unwrap_or_default()
    }

    /// Returns the room of a plain service, which has `open_calls` open requests of all instances.
    pub fn plain_room(&self, service: &str, open_calls: f64) -> ServiceRoom {
        let usable = self.records().filter(|record| {
            *record.service == *service
                && !record.is_draining
                && self.plain.is_usable(&record.id, true)
        });
        ServiceRoom {
            capacity: usable.map(|record| f64::from(record.slots)).sum(),
            committed: open_calls,
        }
    }
}
