//! How offers to the first engines of chains end, over all instances.
//!
//! An engine that fails what it is offered looks idle and so draws ever more requests. A single
//! instance offers each engine too little to notice soon; instances tell one another their counts.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use dandeliondeal_types::EndpointId;
use serde::{Deserialize, Serialize};

use crate::load_share::REPORT_LIFE;

/// Time in which the weight of what an offer told falls to a half: long enough to bridge the
/// pauses between trials of an engine that fails, short enough to notice that it is well again.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Share of failed offers from which on an engine is left out.
const FAILURE_SHARE: f64 = 0.5;
/// Offers that have to be known before an engine is left out.
const LEAST_OFFERS: f64 = 2.5;
/// Share of the requests that try engines which are left out, so that their return is noticed.
const TRIAL_SHARE: f64 = 0.02;

/// How offers to an engine ended lately; recent ones weigh more.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OfferCounts {
    /// Offers to which the engine answered with an event.
    pub answered: f64,
    /// Offers that it broke or failed before the first event.
    pub failed: f64,
}

impl OfferCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.answered += other.answered;
        self.failed += other.failed;
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            answered: self.answered * factor,
            failed: self.failed * factor,
        }
    }

    fn is_failing(self) -> bool {
        let offers = self.answered + self.failed;
        offers >= LEAST_OFFERS && self.failed >= offers * FAILURE_SHARE
    }
}

/// Counts by engine.
pub type OfferSum = BTreeMap<EndpointId, OfferCounts>;

#[derive(Debug, Default)]
struct HealthBook {
    own: HashMap<EndpointId, (OfferCounts, Instant)>,
    others: Option<(Instant, OfferSum)>,
}

/// How offers to first engines end.
#[derive(Debug, Default)]
pub struct FirstHealth {
    book: RefCell<HealthBook>,
}

impl FirstHealth {
    /// Notes how an offer ended.
    pub fn note(&self, engine: &EndpointId, is_answered: bool, now: Instant) {
        let mut book = self.book.borrow_mut();
        let known = book.own.get(engine).copied();
        let mut counts = known.map_or_else(OfferCounts::default, |known| faded(known, now));
        if is_answered {
            counts.answered += 1.0;
        } else {
            counts.failed += 1.0;
        }
        book.own.insert(EndpointId::clone(engine), (counts, now));
    }

    /// This instance's own counts.
    pub fn own_sum(&self, now: Instant) -> OfferSum {
        let book = self.book.borrow();
        let counts = book.own.iter();
        counts
            .map(|(engine, known)| (EndpointId::clone(engine), faded(*known, now)))
            .collect()
    }

    /// Takes in the counts of all instances, in which `own` was this instance's part.
    pub fn set_fleet(&self, all: &OfferSum, own: &OfferSum, at: Instant) {
        let mut others = all.clone();
        for (engine, counts) in own {
            if let Some(sum) = others.get_mut(engine) {
                sum.answered = (sum.answered - counts.answered).max(0.0);
                sum.failed = (sum.failed - counts.failed).max(0.0);
            }
        }
        self.book.borrow_mut().others = Some((at, others));
    }

    /// Engines that fail most of what they are offered, by this instance's offers or by all.
    ///
    /// A `draw` from 0 to 1 for each request lets a few of them try such engines.
    pub fn failing(&self, draw: f64, now: Instant) -> Vec<EndpointId> {
        if draw < TRIAL_SHARE {
            return Vec::new();
        }
        let book = self.book.borrow();
        let told = book.others.as_ref();
        let told = told.filter(|(at, _)| now.saturating_duration_since(*at) < REPORT_LIFE);
        let mut engines: OfferSum = told.map(|(_, sum)| sum.clone()).unwrap_or_default();
        let mut failing = Vec::new();
        for (engine, known) in &book.own {
            let own = faded(*known, now);
            if own.is_failing() {
                failing.push(EndpointId::clone(engine));
            }
            engines
                .entry(EndpointId::clone(engine))
                .or_default()
                .add(own);
        }
        let fleet = engines.into_iter().filter(|(_, sum)| sum.is_failing());
        failing.extend(fleet.map(|(engine, _)| engine));
        failing.sort_unstable();
        failing.dedup();
        failing
    }

    /// Forgets an engine that is gone.
    pub fn forget(&self, engine: &str) {
        self.book.borrow_mut().own.remove(engine);
    }
}

fn faded((counts, at): (OfferCounts, Instant), now: Instant) -> OfferCounts {
    let age = now.saturating_duration_since(at).as_secs_f64();
    counts.scaled((-age / COUNT_HALF_LIFE.as_secs_f64()).exp2())
}
