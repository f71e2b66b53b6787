//! The instance that uses a share of an organisation's limit.

use std::time::{Duration, Instant};

use dandeliondeal_types::{Incarnation, InstanceId};

use crate::grant_message::{GrantAnswer, GrantRequest, HeldGrant, OwnerTerm};
use crate::limit_amount::LimitAmount;

/// Time between requests while the grant does not cover the demand.
const SHORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between requests while it does; well within the life of a grant.
const CALM_INTERVAL: Duration = Duration::from_secs(5);

/// Holds at most one grant of one organisation's limit.
#[derive(Clone, Debug)]
pub struct GrantHolder {
    holder: InstanceId,
    incarnation: Incarnation,
    held: Option<HeldGrant>,
    expires: Option<Instant>,
    seen_term: OwnerTerm,
    asked: Option<Instant>,
}

impl GrantHolder {
    /// Starts without a grant.
    pub fn new(holder: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            holder,
            incarnation,
            held: None,
            expires: None,
            seen_term: 0,
            asked: None,
        }
    }

    /// What may be used now; nothing once the grant has expired.
    pub fn amount(&self, now: Instant) -> LimitAmount {
        self.live(now)
            .map_or_else(LimitAmount::default, |held| held.amount)
    }

    /// Whether to ask now: often while the grant does not cover the demand, else now and then.
    pub fn is_due(&self, demand: LimitAmount, now: Instant) -> bool {
        let is_short = !demand.is_within(self.amount(now));
        let interval = if is_short {
            SHORT_INTERVAL
        } else {
            CALM_INTERVAL
        };
        self.asked
            .is_none_or(|asked| now.saturating_duration_since(asked) >= interval)
    }

    /// Makes the request to send now. The caller keeps `now` for [`GrantHolder::answered`].
    pub fn request(&mut self, demand: LimitAmount, now: Instant) -> GrantRequest {
        self.asked = Some(now);
        GrantRequest {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            demand,
            held: self.live(now),
            seen_term: self.seen_term,
        }
    }

    /// Takes in the answer to a request that was sent at `sent`.
    pub fn answered(&mut self, answer: GrantAnswer, sent: Instant) {
        match answer {
            GrantAnswer::Granted { grant, life } => self.take(grant, life, sent),
            GrantAnswer::AskAgain { term } => self.seen_term = self.seen_term.max(term),
            GrantAnswer::NotOwner => {}
        }
    }

    fn take(&mut self, grant: HeldGrant, life: Duration, sent: Instant) {
        // An answer that was overtaken by a later one, or by a later owner, is void.
        let is_late = self
            .held
            .is_some_and(|held| (grant.term, grant.sequence) <= (held.term, held.sequence));
        if is_late {
            return;
        }
        self.seen_term = self.seen_term.max(grant.term);
        self.held = Some(grant);
        // Counted from before the request left, so that it ends before the owner's record of it.
        self.expires = Some(sent + life);
    }

    fn live(&self, now: Instant) -> Option<HeldGrant> {
        let is_live = self.expires.is_some_and(|expires| now < expires);
        self.held.filter(|_| is_live)
    }
}
