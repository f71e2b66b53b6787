//! The instance that uses a share of an organisation's limit.

use std::time::{Duration, Instant};

use dandeliondeal_types::{Incarnation, InstanceId};

use crate::grant_message::{GrantAnswer, GrantRequest, HeldGrant, OwnerTerm};
use crate::limit_amount::LimitAmount;

/// Time between requests while the grant doesn't cover the demand.
const UNMET_DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Time between requests while the grant covers the demand; well within the lifetime of a grant.
const MET_DEMAND_INTERVAL: Duration = Duration::from_secs(5);

/// Holds at most one grant of one organisation's limit.
#[derive(Clone, Debug)]
pub struct GrantHolder {
    holder: InstanceId,
    incarnation: Incarnation,
    grant: Option<HeldGrant>,
    expires_at: Option<Instant>,
    seen_term: OwnerTerm,
    requested_at: Option<Instant>,
}

impl GrantHolder {
    /// Creates a holder without a grant.
    pub fn new(holder: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            holder,
            incarnation,
            grant: None,
            expires_at: None,
            seen_term: 0,
            requested_at: None,
        }
    }

    /// Returns the granted amount, which is zero once the grant has expired.
    pub fn amount(&self, now: Instant) -> LimitAmount {
        self.live_grant(now)
            .map_or_else(LimitAmount::default, |held| held.amount)
    }

    /// Returns whether to send a request now.
    ///
    /// Requests are more frequent while the grant doesn't cover the demand.
    pub fn should_request(&self, demand: LimitAmount, now: Instant) -> bool {
        let is_demand_unmet = !demand.is_within(self.amount(now));
        let interval = if is_demand_unmet {
            UNMET_DEMAND_INTERVAL
        } else {
            MET_DEMAND_INTERVAL
        };
        self.requested_at
            .is_none_or(|requested_at| now.saturating_duration_since(requested_at) >= interval)
    }

    /// Returns the request to send now. The caller passes the same `now` to
    /// [`GrantHolder::process_answer`].
    pub fn request(&mut self, demand: LimitAmount, now: Instant) -> GrantRequest {
        self.requested_at = Some(now);
        GrantRequest {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            demand,
            held: self.live_grant(now),
            seen_term: self.seen_term,
        }
    }

    /// Processes the answer to a request that was sent at `sent`.
    pub fn process_answer(&mut self, answer: GrantAnswer, sent: Instant) {
        match answer {
            GrantAnswer::Granted { grant, life } => self.store_grant(grant, life, sent),
            GrantAnswer::AskAgain { term } => self.seen_term = self.seen_term.max(term),
            GrantAnswer::NotOwner => {}
        }
    }

    fn store_grant(&mut self, grant: HeldGrant, lifetime: Duration, sent: Instant) {
        // Ignores an answer that arrives after a later one of the same or a later owner.
        let is_outdated = self
            .grant
            .is_some_and(|held| (grant.term, grant.sequence) <= (held.term, held.sequence));
        if is_outdated {
            return;
        }
        self.seen_term = self.seen_term.max(grant.term);
        self.grant = Some(grant);
        // The lifetime counts from before the request was sent, so that the grant expires at the
        // holder before it does at the owner.
        self.expires_at = Some(sent + lifetime);
    }

    fn live_grant(&self, now: Instant) -> Option<HeldGrant> {
        let is_live = self.expires_at.is_some_and(|expires_at| now < expires_at);
        self.grant.filter(|_| is_live)
    }
}
