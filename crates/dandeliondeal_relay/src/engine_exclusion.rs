//! Engines that are excluded from new chains for a while.

use std::time::{Duration, Instant};

use dandeliondeal_types::EndpointId;

use crate::fleet_view::FleetView;

/// Maximum time for which an engine's own statement overrides its registration, which is about one
/// heartbeat late.
const EXCLUSION_TIME: Duration = Duration::from_secs(3);

impl FleetView {
    /// Excludes an engine that does not hold the layers that it registered.
    pub fn exclude_mismatched(&mut self, engine: &EndpointId, now: Instant) {
        self.exclude_until(engine, now + EXCLUSION_TIME);
    }

    /// Excludes an engine from new chains until `until`, or until [`Self::readmit`] is called.
    pub fn exclude_until(&mut self, engine: &EndpointId, until: Instant) {
        self.excluded.insert(EndpointId::clone(engine), until);
    }

    /// Excludes an engine from new chains until `until` while it is checked, unless it is excluded
    /// already.
    pub fn exclude_for_check(&mut self, engine: &EndpointId, until: Instant) {
        let engine = EndpointId::clone(engine);
        let end = self.excluded.entry(engine).or_insert(until);
        *end = until.max(*end);
    }

    /// Ends the exclusion of an engine that holds the layers that it registered.
    pub fn readmit(&mut self, engine: &str) {
        self.excluded.remove(engine);
    }
}
