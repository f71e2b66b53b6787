//! Limits of organisations, applied by one instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_limit::{LimitAmount, LocalLimit};
use dandeliondeal_types::{OrganisationId, SheetModel};

/// Retry delay for a caller whose organisation has too many requests in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Enforces the limits in the sheet, and a limit on requests in flight at this instance.
#[derive(Clone, Debug)]
pub struct OrganisationLimits {
    in_flight: HashMap<OrganisationId, u64>,
    max_in_flight: u64,
    limits: HashMap<OrganisationId, LocalLimit>,
}

impl OrganisationLimits {
    /// Allows each organisation `max_in_flight` requests in flight at this instance.
    pub fn new(max_in_flight: u64) -> Self {
        Self {
            in_flight: HashMap::new(),
            max_in_flight,
            limits: HashMap::new(),
        }
    }

    /// Applies the limits of a sheet; each of `instances` instances enforces an equal share.
    pub fn install(&mut self, sheet: &SheetModel, instances: u32, now: Instant) {
        self.limits.retain(|id, _| sheet.limits.contains_key(id));
        for (id, entry) in &sheet.limits {
            let total = LimitAmount::from_entry(entry);
            let share = total.divide_by(u64::from(instances.max(1)));
            self.limits
                .entry(Arc::clone(id))
                .and_modify(|limit| limit.set_share(share, now))
                .or_insert_with(|| LocalLimit::new(share, now));
        }
    }

    /// Admits a request with the expected cost `tokens` if the limits allow it.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if a limit is reached.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        tokens: u64,
        now: Instant,
    ) -> Result<(), Duration> {
        let count = self.in_flight.get(organisation).copied().unwrap_or(0);
        if count >= self.max_in_flight {
            return Err(IN_FLIGHT_RETRY_AFTER);
        }
        if let Some(limit) = self.limits.get_mut(organisation) {
            limit.admit(tokens as f64, now)?;
        }
        self.in_flight.insert(Arc::clone(organisation), count + 1);
        Ok(())
    }

    /// Removes a finished request from the count.
    pub fn release(&mut self, organisation: &OrganisationId) {
        if let Some(limit) = self.limits.get_mut(organisation) {
            limit.finish(0.0);
        }
        if let Some(count) = self.in_flight.get_mut(organisation) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(organisation);
            }
        }
    }
}
