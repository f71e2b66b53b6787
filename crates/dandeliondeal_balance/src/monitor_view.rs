//! The monitor as the planner sees it, for one request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, EndpointView};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::endpoint_monitor::EndpointMonitor;

/// The endpoints that one request may use.
///
/// Of each group only a few sampled endpoints are usable, the same for the life of the view, so
/// that instances which plan at the same moment do not all meet at the one that looks best.
#[derive(Debug)]
pub struct MonitorView<'monitor> {
    monitor: &'monitor EndpointMonitor,
    now: Instant,
    is_repeatable: bool,
    random: RefCell<SmallRng>,
    samples: RefCell<HashMap<Arc<str>, Vec<usize>>>,
}

impl<'monitor> MonitorView<'monitor> {
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
            samples: RefCell::default(),
        }
    }
}

impl EndpointView for MonitorView<'_> {
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        let Some(slot) = self.monitor.slot_of(endpoint) else {
            return false;
        };
        let group = self.monitor.group_of(slot);
        let mut samples = self.samples.borrow_mut();
        if let Some(slots) = samples.get(group) {
            return slots.contains(&slot);
        }
        let random = &mut *self.random.borrow_mut();
        let slots = self.monitor.sample(group, self.is_repeatable, random);
        let is_usable = slots.contains(&slot);
        samples.insert(Arc::clone(group), slots);
        is_usable
    }

    fn expected_wait(&self, endpoint: &EndpointId) -> Duration {
        self.monitor.expected_wait(endpoint, self.now)
    }
}

/// Every endpoint that one request may use.
#[derive(Debug)]
pub struct WholeView<'monitor> {
    monitor: &'monitor EndpointMonitor,
    now: Instant,
    is_repeatable: bool,
}

impl<'monitor> WholeView<'monitor> {
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

impl EndpointView for WholeView<'_> {
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        self.monitor.is_usable(endpoint, self.is_repeatable)
    }

    fn expected_wait(&self, endpoint: &EndpointId) -> Duration {
        self.monitor.expected_wait(endpoint, self.now)
    }
}
