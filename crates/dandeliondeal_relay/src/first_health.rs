//! Tracks the outcomes of attempts at the first engines of chains, across all instances.
//!
//! An engine that fails its requests looks idle and therefore attracts ever more of them. One
//! instance makes too few attempts at each engine to notice that soon, so instances share their
//! counts.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use dandeliondeal_types::EndpointId;
use serde::{Deserialize, Serialize};

use crate::load_share::REPORT_LIFE;

/// Half-life of the counts of attempts.
///
/// It is long enough to bridge the pauses between probes of a failing engine, and short enough to
/// notice its recovery.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Share of failed attempts from which an engine is excluded.
const FAILURE_SHARE: f64 = 0.5;
/// Minimum number of counted attempts before an engine is excluded.
const LEAST_OFFERS: f64 = 2.5;
/// Share of the requests that may use excluded engines, so that a recovery is noticed.
const TRIAL_SHARE: f64 = 0.02;

/// Recent outcomes of attempts at an engine, with decaying weights.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OfferCounts {
    /// Attempts that the engine answered with an event.
    pub answered: f64,
    /// Attempts that broke or failed before the first event.
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

/// Outcomes of attempts at first engines.
#[derive(Debug, Default)]
pub struct FirstHealth {
    book: RefCell<HealthBook>,
}

impl FirstHealth {
    /// Records the outcome of an attempt.
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

    /// Returns this instance's own counts.
    pub fn own_sum(&self, now: Instant) -> OfferSum {
        let book = self.book.borrow();
        let counts = book.own.iter();
        counts
            .map(|(engine, known)| (EndpointId::clone(engine), faded(*known, now)))
            .collect()
    }

    /// Sets the counts of all instances; `local` is the part of this instance in them.
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

    /// Returns the engines that fail most attempts, by this instance's counts or by those of all.
    ///
    /// `draw` is a random number from 0 to 1 for each request; for a small share of the draws no
    /// engine is returned, so that those requests probe failing engines.
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

    /// Removes an engine that is gone.
    pub fn forget(&self, engine: &str) {
        self.book.borrow_mut().own.remove(engine);
    }
}

fn faded((counts, at): (OfferCounts, Instant), now: Instant) -> OfferCounts {
    let age = now.saturating_duration_since(at).as_secs_f64();
    counts.scaled((-age / COUNT_HALF_LIFE.as_secs_f64()).exp2())
}
