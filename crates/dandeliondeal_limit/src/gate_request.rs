//! Requests to an admission gate, and its actions.

use std::time::Duration;

use dandeliondeal_types::OrganisationId;

use crate::admission_queue::TicketId;
use crate::admission_rank::AdmissionRank;
use crate::demand_report::is_amount;

/// Work of a request that states none.
const DEFAULT_WORK: f64 = 1.0;
/// Maximum time that an objective can leave.
const MAX_OBJECTIVE: Duration = Duration::from_hours(1);

/// Properties of a request that a gate needs.
#[derive(Clone, Debug, PartialEq)]
pub struct GateRequest {
    /// Organisation that sent the request, if known.
    pub organisation: Option<OrganisationId>,
    /// Rank of the request.
    pub rank: AdmissionRank,
    /// Work, in tokens for a stream and 1 for a plain request.
    pub work: f64,
    /// Time until the latency objective is missed; zero if it has been missed.
    pub objective_left: Duration,
    /// Maximum retry delay; see [`GateSettings::retry_limit`](crate::GateSettings::retry_limit).
    pub max_retry_delay: Duration,
}

/// Action for the caller of a gate to perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateAction {
    /// Start the request. A request that waited for room looks for a chain again.
    Admit(TicketId),
    /// Hold the request until another action for it follows.
    Wait(TicketId),
    /// Refuse the request; no part of it has run.
    Refuse {
        /// The request.
        ticket: TicketId,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

impl GateRequest {
    /// Returns the request with amounts that can be used in a calculation.
    pub(crate) fn checked(mut self) -> Self {
        if !is_amount(self.work) {
            self.work = DEFAULT_WORK;
        }
        self.objective_left = self.objective_left.min(MAX_OBJECTIVE);
        self
    }
}
