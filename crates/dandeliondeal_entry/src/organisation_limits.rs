//! Limits of organisations at one instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_limit::{LimitAmount, LocalLimit};
use dandeliondeal_types::{OrganisationId, SheetModel};

/// Wait that is told to a caller who is refused for requests in flight.
const IN_FLIGHT_WAIT: Duration = Duration::from_secs(1);

/// Applies the limits of the sheet, and a bound on requests in flight at this instance.
#[derive(Clone, Debug)]
pub struct OrganisationLimits {
    in_flight: HashMap<OrganisationId, u64>,
    most_in_flight: u64,
    limits: HashMap<OrganisationId, LocalLimit>,
}

impl OrganisationLimits {
    /// Lets each organisation have so many requests in flight here.
    pub fn new(most_in_flight: u64) -> Self {
        Self {
            in_flight: HashMap::new(),
            most_in_flight,
            limits: HashMap::new(),
        }
    }

    /// Takes the limits of a sheet; each of `instances` instances applies an even share.
    pub fn install(&mut self, sheet: &SheetModel, instances: u32, now: Instant) {
        self.limits.retain(|id, _| sheet.limits.contains_key(id));
        for (id, entry) in &sheet.limits {
            let whole = LimitAmount::from_entry(entry);
            let share = whole.divided(u64::from(instances.max(1)));
            self.limits
                .entry(Arc::clone(id))
                .and_modify(|limit| limit.set_share(share, now))
                .or_insert_with(|| LocalLimit::new(share, now));
        }
    }

    /// Counts a request of so many expected tokens in.
    ///
    /// # Errors
    ///
    /// The time after which to come back.
    pub fn enter(
        &mut self,
        organisation: &OrganisationId,
        tokens: u64,
        now: Instant,
    ) -> Result<(), Duration> {
        let count = self.in_flight.get(organisation).copied().unwrap_or(0);
        if count >= self.most_in_flight {
            return Err(IN_FLIGHT_WAIT);
        }
        if let Some(limit) = self.limits.get_mut(organisation) {
            limit.admit(tokens as f64, now)?;
        }
        self.in_flight.insert(Arc::clone(organisation), count + 1);
        Ok(())
    }

    /// Counts a request out.
    pub fn leave(&mut self, organisation: &OrganisationId) {
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
