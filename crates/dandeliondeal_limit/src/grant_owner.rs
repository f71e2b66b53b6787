//! The instance that divides an organisation's limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::{Incarnation, InstanceId};

use crate::grant_message::{GrantAnswer, GrantRequest, GrantSequence, HeldGrant, OwnerTerm};
use crate::limit_amount::LimitAmount;
use crate::water_fill::fair_share;

/// Durations of grants and owner terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantSettings {
    /// Lifetime of a grant.
    pub lifetime: Duration,
    /// Time after its last confirmation for which a term lets its owner move shares between
    /// holders.
    pub term_lifetime: Duration,
    /// Added to every duration that another instance's clock measures too.
    pub margin: Duration,
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(15),
            term_lifetime: Duration::from_secs(5),
            margin: Duration::from_millis(250),
        }
    }
}

/// One process of one holder. A restarted process counts as another holder.
type HolderKey = (InstanceId, Incarnation);

/// State that the owner has recorded for one holder.
#[derive(Clone, Debug)]
struct HolderRecord {
    /// Amount of the last grant, which the holder may not have received.
    granted: LimitAmount,
    /// Maximum amount that the holder may be using.
    reserved: LimitAmount,
    sequence: GrantSequence,
    expires_at: Instant,
    demand: LimitAmount,
}

/// Divides one limit among the instances that request a share.
///
/// The platform's lease object gives each owner a term. If a term has not been confirmed for
/// [`GrantSettings::term_lifetime`], it may have a successor, so its owner only renews existing
/// grants and moves no shares. A successor waits until its predecessor can no longer move shares.
/// It then renews the grants that holders present, and divides the rest once all grants of its
/// predecessor must have expired. Therefore the live grants of all owners together never exceed the
/// limit.
#[derive(Clone, Debug)]
pub struct GrantOwner {
    settings: GrantSettings,
    limit: LimitAmount,
    term: OwnerTerm,
    confirmed_at: Instant,
    /// Time from which the owner may answer requests.
    active_from: Instant,
    /// Time from which the owner may divide the amount that no holder has presented, if known.
    free_from: Option<Instant>,
    has_lost_term: bool,
    holders: BTreeMap<HolderKey, HolderRecord>,
}

impl GrantOwner {
    /// Creates the owner after a confirmed write of the lease object that was sent at `sent`.
    ///
    /// `is_first` states that the lease object didn't exist before, so there is no predecessor.
    pub fn new(
        settings: GrantSettings,
        limit: LimitAmount,
        term: OwnerTerm,
        is_first: bool,
        sent: Instant,
        now: Instant,
    ) -> Self {
        let wait = settings.term_lifetime + settings.margin;
        Self {
            settings,
            limit,
            term,
            confirmed_at: sent,
            active_from: if is_first { now } else { now + wait },
            free_from: is_first.then_some(now),
            has_lost_term: false,
            holders: BTreeMap::new(),
        }
    }

    /// Returns the term of this owner.
    pub fn term(&self) -> OwnerTerm {
        self.term
    }

    /// Records that a read or write of the lease object, sent at `sent`, still named this owner.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// Records that the lease object names a later term.
    pub fn lose_term(&mut self) {
        self.has_lost_term = true;
    }

    /// Records proof that no earlier owner issues grants any more.
    ///
    /// Each earlier owner process has ended or has stated that it no longer issues grants.
    pub fn record_predecessors_ended(&mut self, now: Instant) {
        let all_expired = now.max(self.active_from) + self.settings.lifetime + self.settings.margin;
        self.free_from.get_or_insert(all_expired);
    }

    /// Changes the limit. Holders that exceed a smaller limit shrink as they renew.
    pub fn set_limit(&mut self, limit: LimitAmount) {
        self.limit = limit;
    }

    /// Returns whether shares may be moved between holders now.
    pub fn is_dividing(&self, now: Instant) -> bool {
        let is_confirmed = now < self.confirmed_at + self.settings.term_lifetime;
        is_confirmed
            && !self.has_lost_term
            && self.free_from.is_some_and(|free_from| now >= free_from)
    }

    /// Answers a holder's request.
    pub fn request(&mut self, request: &GrantRequest, now: Instant) -> GrantAnswer {
        let presented_term = request.held.map_or(0, |held| held.term);
        if presented_term.max(request.seen_term) > self.term {
            self.has_lost_term = true;
        }
        if self.has_lost_term || now < self.active_from {
            return GrantAnswer::NotOwner;
        }
        if request.seen_term != self.term && self.free_from.is_none_or(|free_from| now < free_from)
        {
            // The request may have been sent before this owner's waiting time began, so the grant
            // that it presents may be outdated. The holder has to send a new request.
            return GrantAnswer::AskAgain { term: self.term };
        }
        let is_dividing = self.is_dividing(now);
        if is_dividing {
            self.holders.retain(|_, record| now < record.expires_at);
        }
        self.issue_grant(request, is_dividing, now)
    }

    /// Returns the total amount that may be in use now under grants of this owner.
    pub fn reserved(&self) -> LimitAmount {
        self.holders
            .values()
            .fold(LimitAmount::default(), |sum, record| {
                sum.plus(record.reserved)
            })
    }

    fn issue_grant(
        &mut self,
        request: &GrantRequest,
        is_dividing: bool,
        now: Instant,
    ) -> GrantAnswer {
        let key = (request.holder.clone(), request.incarnation);
        let mut record = self.holders.remove(&key).unwrap_or_else(|| HolderRecord {
            granted: LimitAmount::default(),
            reserved: LimitAmount::default(),
            sequence: 0,
            expires_at: now,
            demand: LimitAmount::default(),
        });
        let is_received = request
            .held
            .is_some_and(|held| held.term == self.term && held.sequence == record.sequence);
        if is_received {
            record.reserved = record.granted;
        }
        record.demand = request.demand;
        let others = self.reserved();
        let available = self.limit.minus(others);
        let target = if is_dividing {
            self.fair_target(&record)
        } else {
            retained_amount(request, &record, self.term)
        };
        record.granted = target.component_min(available);
        record.reserved = record.reserved.component_max(record.granted);
        record.sequence += 1;
        record.expires_at = now + self.settings.lifetime + self.settings.margin;
        let grant = HeldGrant {
            term: self.term,
            sequence: record.sequence,
            amount: record.granted,
        };
        self.holders.insert(key, record);
        GrantAnswer::Granted {
            grant,
            life: self.settings.lifetime,
        }
    }

    /// Returns the holder's fair share, given the demands of the other holders.
    fn fair_target(&self, record: &HolderRecord) -> LimitAmount {
        let share = |component: fn(&LimitAmount) -> u64| {
            let mut demands: Vec<u64> = vec![component(&record.demand)];
            demands.extend(self.holders.values().map(|other| component(&other.demand)));
            fair_share(component(&self.limit), &demands, 0)
        };
        LimitAmount {
            milli_requests: share(|amount| amount.milli_requests),
            tokens: share(|amount| amount.tokens),
            concurrency: share(|amount| amount.concurrency),
        }
    }
}

/// Returns the amount that a holder retains while shares may not be moved.
fn retained_amount(request: &GrantRequest, record: &HolderRecord, term: OwnerTerm) -> LimitAmount {
    match request.held {
        Some(held) if held.term == term => record.granted.component_min(held.amount),
        // The predecessor's grant counts once, when the holder first presents it.
        Some(held) if record.sequence == 0 => held.amount,
        _ => record.granted,
    }
}
