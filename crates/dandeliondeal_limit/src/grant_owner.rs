//! The instance that divides an organisation's limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::{Incarnation, InstanceId};

use crate::grant_message::{GrantAnswer, GrantRequest, GrantSequence, HeldGrant, OwnerTerm};
use crate::limit_amount::LimitAmount;
use crate::water_fill::fair_share;

/// Times of grants and terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantSettings {
    /// Life of a grant.
    pub life: Duration,
    /// Time for which a confirmed term lets its owner move shares between holders.
    pub term_life: Duration,
    /// Added to every time that another instance's clock measures too.
    pub margin: Duration,
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self {
            life: Duration::from_secs(15),
            term_life: Duration::from_secs(5),
            margin: Duration::from_millis(250),
        }
    }
}

/// One process of one holder; a restarted one is another holder.
type HolderKey = (InstanceId, Incarnation);

/// What the owner has set aside for one holder.
#[derive(Clone, Debug)]
struct HolderRecord {
    /// The last grant; the holder may not have received it.
    granted: LimitAmount,
    /// The most that the holder may be using.
    reserved: LimitAmount,
    sequence: GrantSequence,
    expires: Instant,
    demand: LimitAmount,
}

/// Divides one limit among the instances that ask.
///
/// The platform's lease object gives each owner a term. A term that was not confirmed for
/// [`GrantSettings::term_life`] may have a successor, so its owner only renews what holders have
/// and moves nothing. A successor waits until that is sure, then renews what the holders show, and
/// divides the rest once the grants of its predecessor must have ended. So the live grants of all
/// owners together never exceed the limit.
#[derive(Clone, Debug)]
pub struct GrantOwner {
    settings: GrantSettings,
    limit: LimitAmount,
    term: OwnerTerm,
    confirmed: Instant,
    /// From when on it may answer at all.
    active: Instant,
    /// From when on it may divide what no holder has shown; `None` until that is known.
    free: Option<Instant>,
    is_deposed: bool,
    holders: BTreeMap<HolderKey, HolderRecord>,
}

impl GrantOwner {
    /// Becomes the owner by a confirmed write of the lease object that was sent at `sent`.
    ///
    /// `is_first` says that the object did not exist before, so that there is no predecessor.
    pub fn new(
        settings: GrantSettings,
        limit: LimitAmount,
        term: OwnerTerm,
        is_first: bool,
        sent: Instant,
        now: Instant,
    ) -> Self {
        let wait = settings.term_life + settings.margin;
        Self {
            settings,
            limit,
            term,
            confirmed: sent,
            active: if is_first { now } else { now + wait },
            free: is_first.then_some(now),
            is_deposed: false,
            holders: BTreeMap::new(),
        }
    }

    /// The term of this owner.
    pub fn term(&self) -> OwnerTerm {
        self.term
    }

    /// Notes a read or write of the lease object, sent at `sent`, that still named this owner.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed = self.confirmed.max(sent);
    }

    /// Notes that the lease object names a later term.
    pub fn depose(&mut self) {
        self.is_deposed = true;
    }

    /// Notes proof that no earlier owner grants any more: each process ended, or said so.
    pub fn predecessors_ended(&mut self, now: Instant) {
        let ended = now.max(self.active) + self.settings.life + self.settings.margin;
        self.free.get_or_insert(ended);
    }

    /// Takes a changed limit; holders above a smaller one shrink as they renew.
    pub fn set_limit(&mut self, limit: LimitAmount) {
        self.limit = limit;
    }

    /// Whether shares may be moved between holders now.
    pub fn is_dividing(&self, now: Instant) -> bool {
        let is_confirmed = now < self.confirmed + self.settings.term_life;
        is_confirmed && !self.is_deposed && self.free.is_some_and(|free| now >= free)
    }

    /// Answers a holder.
    pub fn request(&mut self, request: &GrantRequest, now: Instant) -> GrantAnswer {
        let shown = request.held.map_or(0, |held| held.term);
        if shown.max(request.seen_term) > self.term {
            self.is_deposed = true;
        }
        if self.is_deposed || now < self.active {
            return GrantAnswer::NotOwner;
        }
        if request.seen_term != self.term && self.free.is_none_or(|free| now < free) {
            // What the holder shows may be older than the wait of this owner; it has to ask again.
            return GrantAnswer::AskAgain { term: self.term };
        }
        let is_dividing = self.is_dividing(now);
        if is_dividing {
            self.holders.retain(|_, record| now < record.expires);
        }
        self.grant(request, is_dividing, now)
    }

    /// Everything that may be in use now under grants of this owner.
    pub fn reserved(&self) -> LimitAmount {
        self.holders
            .values()
            .fold(LimitAmount::default(), |sum, record| {
                sum.plus(record.reserved)
            })
    }

    fn grant(&mut self, request: &GrantRequest, is_dividing: bool, now: Instant) -> GrantAnswer {
        let key = (request.holder.clone(), request.incarnation);
        let mut record = self.holders.remove(&key).unwrap_or_else(|| HolderRecord {
            granted: LimitAmount::default(),
            reserved: LimitAmount::default(),
            sequence: 0,
            expires: now,
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
        let free = self.limit.minus(others);
        let target = if is_dividing {
            self.target(&record)
        } else {
            kept(request, &record, self.term)
        };
        record.granted = target.least(free);
        record.reserved = record.reserved.most(record.granted);
        record.sequence += 1;
        record.expires = now + self.settings.life + self.settings.margin;
        let grant = HeldGrant {
            term: self.term,
            sequence: record.sequence,
            amount: record.granted,
        };
        self.holders.insert(key, record);
        GrantAnswer::Granted {
            grant,
            life: self.settings.life,
        }
    }

    /// The fair share of a holder beside the others.
    fn target(&self, record: &HolderRecord) -> LimitAmount {
        let share = |kind: fn(&LimitAmount) -> u64| {
            let mut demands: Vec<u64> = vec![kind(&record.demand)];
            demands.extend(self.holders.values().map(|other| kind(&other.demand)));
            fair_share(kind(&self.limit), &demands, 0)
        };
        LimitAmount {
            milli_requests: share(|amount| amount.milli_requests),
            tokens: share(|amount| amount.tokens),
            concurrency: share(|amount| amount.concurrency),
        }
    }
}

/// What a holder keeps while shares may not be moved.
fn kept(request: &GrantRequest, record: &HolderRecord, term: OwnerTerm) -> LimitAmount {
    match request.held {
        Some(held) if held.term == term => record.granted.least(held.amount),
        // The grant of the predecessor counts once, when the holder first shows it.
        Some(held) if record.sequence == 0 => held.amount,
        _ => record.granted,
    }
}
