//! Views of the monitor for the planner, one per request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, EndpointView};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::endpoint_monitor::EndpointMonitor;

/// The sampled endpoints that one request may use.
///
/// In each group only a few sampled endpoints are usable, and they stay the same for the lifetime
/// of the view. Instances that plan at the same moment therefore don't all select the same best
/// endpoint.
#[derive(Debug)]
pub struct SampledView<'monitor> {
    monitor: &'monitor EndpointMonitor,
    now: Instant,
    is_repeatable: bool,
    random: RefCell<SmallRng>,
    sampled_slots: RefCell<HashMap<Arc<str>, Vec<usize>>>,
}

impl<'monitor> SampledView<'monitor> {
    pub(crate) fn new(
        monitor: &'monitor EndpointMonitor,
        is_repeatable: bool,
        seed: u64,
        now: Instant,
    ) -> Self {
        Self {
            monitor,
            now,
            is_repeatable,
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            sampled_slots: RefCell::default(),
        }
    }
}

impl EndpointView for SampledView<'_> {
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        let Some(index) = self.monitor.slot_index(endpoint) else {
            return false;
        };
        let group = self.monitor.group_name(index);
        let mut sampled_slots = self.sampled_slots.borrow_mut();
        if let Some(sampled) = sampled_slots.get(group) {
            return sampled.contains(&index);
        }
        let random = &mut *self.random.borrow_mut();
        let sampled = self.monitor.sample(group, self.is_repeatable, random);
        let is_usable = sampled.contains(&index);
        sampled_slots.insert(Arc::clone(group), sampled);
        is_usable
    }

    fn expected_wait(&self, endpoint: &EndpointId) -> Duration {
        self.monitor.expected_wait(endpoint, self.now)
    }
}

/// All endpoints that one request may use.
#[derive(Debug)]
pub struct FullView<'monitor> {
    monitor: &'monitor EndpointMonitor,
    now: Instant,
    is_repeatable: bool,
}

impl<'monitor> FullView<'monitor> {
    pub(crate) fn new(
        monitor: &'monitor EndpointMonitor,
        is_repeatable: bool,
        now: Instant,
    ) -> Self {
        Self {
            monitor,
            now,
            is_repeatable,
        }
    }
}

impl EndpointView for FullView<'_> {
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        self.monitor.is_usable(endpoint, self.is_repeatable)
    }

    fn expected_wait(&self, endpoint: &EndpointId) -> Duration {
        self.monitor.expected_wait(endpoint, self.now)
    }
}
