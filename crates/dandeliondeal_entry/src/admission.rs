//! Admission: every refusal comes before the first dispatch.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{ErrorKind, OrganisationId, RequestStep, RouteError};

/// What admission has to know of a request.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Who asks.
    pub organisation: OrganisationId,
    /// Expected cost in tokens; 0 for a call of a plain service.
    pub tokens: u64,
    /// Priority, 0 the lowest.
    pub priority: u8,
    /// When the wait is over.
    pub deadline: Instant,
}

/// Wait that is told to a caller who is refused for requests in flight.
const IN_FLIGHT_WAIT: Duration = Duration::from_secs(1);

/// Admits requests within the limits of this instance.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    in_flight: Rc<RefCell<HashMap<OrganisationId, u64>>>,
    limit: u64,
}

/// Holds the place of an admitted request until it is dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    gate: AdmissionGate,
    organisation: OrganisationId,
}

impl AdmissionGate {
    /// Lets each organisation have `limit` requests in flight.
    pub fn new(limit: u64) -> Self {
        Self {
            in_flight: Rc::default(),
            limit,
        }
    }

    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Limited`] with the time to come back.
    #[expect(
        clippy::unused_async,
        reason = "a queue takes the place of the immediate refusal"
    )]
    pub async fn admit(&self, request: AdmissionRequest) -> Result<AdmissionPermit, RouteError> {
        let mut in_flight = self.in_flight.borrow_mut();
        let count = in_flight
            .entry(Arc::clone(&request.organisation))
            .or_default();
        if *count >= self.limit {
            return Err(RouteError::new(
                ErrorKind::Limited,
                RequestStep::Admission,
                format!("{count} requests of the organisation are in flight"),
            )
            .retry_after(IN_FLIGHT_WAIT));
        }
        *count += 1;
        Ok(AdmissionPermit {
            gate: self.clone(),
            organisation: request.organisation,
        })
    }

    fn release(&self, organisation: &OrganisationId) {
        let mut in_flight = self.in_flight.borrow_mut();
        if let Some(count) = in_flight.get_mut(organisation) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(organisation);
            }
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.gate.release(&self.organisation);
    }
}
