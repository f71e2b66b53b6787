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

use crate::load_exchange::REPORT_MAX_AGE;

/// Half-life of the counts of attempts.
///
/// It is long enough to bridge the pauses between probes of a failing engine, and short enough to
/// notice its recovery.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Share of failed attempts from which an engine is excluded.
const FAILURE_SHARE: f64 = 0.5;
/// Minimum number of counted attempts before an engine is excluded.
const MIN_ATTEMPTS: f64 = 2.5;
/// Share of the requests that may use excluded engines, so that a recovery is noticed.
const PROBE_SHARE: f64 = 0.02;

/// Recent outcomes of attempts at an engine, with decaying weights.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AttemptCounts {
    /// Attempts that the engine answered with an event.
    pub answered: f64,
    /// Attempts that broke or failed before the first event.
    pub failed: f64,
}

impl AttemptCounts {
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
        let attempts = self.answered + self.failed;
        attempts >= MIN_ATTEMPTS && self.failed >= attempts * FAILURE_SHARE
    }
}

/// Counts by engine.
pub type AttemptTotals = BTreeMap<EndpointId, AttemptCounts>;

#[derive(Debug, Default)]
struct HealthCounts {
    local: HashMap<EndpointId, (AttemptCounts, Instant)>,
    peers: Option<(Instant, AttemptTotals)>,
}

/// Outcomes of attempts at first engines.
#[derive(Debug, Default)]
pub struct FirstEngineHealth {
    state: RefCell<HealthCounts>,
}

impl FirstEngineHealth {
    /// Records the outcome of an attempt.
    pub fn record(&self, engine: &EndpointId, is_answered: bool, now: Instant) {
        let mut state = self.state.borrow_mut();
        let entry = state.local.get(engine).copied();
        let mut counts = entry.map_or_else(AttemptCounts::default, |entry| decayed(entry, now));
        if is_answered {
            counts.answered += 1.0;
        } else {
            counts.failed += 1.0;
        }
        state.local.insert(EndpointId::clone(engine), (counts, now));
    }

    /// Returns this instance's own counts.
    pub fn local_counts(&self, now: Instant) -> AttemptTotals {
        let state = self.state.borrow();
        let counts = state.local.iter();
        counts
            .map(|(engine, entry)| (EndpointId::clone(engine), decayed(*entry, now)))
            .collect()
    }

    /// Sets the counts of all instances; `local` is the part of this instance in them.
    pub fn set_fleet(&self, fleet: &AttemptTotals, local: &AttemptTotals, reported_at: Instant) {
        let mut peers = fleet.clone();
        for (engine, counts) in local {
            if let Some(total) = peers.get_mut(engine) {
                total.answered = (total.answered - counts.answered).max(0.0);
                total.failed = (total.failed - counts.failed).max(0.0);
            }
        }
        self.state.borrow_mut().peers = Some((reported_at, peers));
    }

    /// Returns the engines that fail most attempts, by this instance's counts or by those of all.
    ///
    /// `draw` is a random number from 0 to 1 for each request; for a small share of the draws no
    /// engine is returned, so that those requests probe failing engines.
    pub fn failing_engines(&self, draw: f64, now: Instant) -> Vec<EndpointId> {
        if draw < PROBE_SHARE {
            return Vec::new();
        }
        let state = self.state.borrow();
        let recent_peers = state.peers.as_ref();
        let recent_peers =
            recent_peers.filter(|(at, _)| now.saturating_duration_since(*at) < REPORT_MAX_AGE);
        let mut totals: AttemptTotals = recent_peers
            .map(|(_, total)| total.clone())
            .unwrap_or_default();
        let mut failing = Vec::new();
        for (engine, entry) in &state.local {
            let local = decayed(*entry, now);
            if local.is_failing() {
                failing.push(EndpointId::clone(engine));
            }
            totals
                .entry(EndpointId::clone(engine))
                .or_default()
                .add(local);
        }
        let by_fleet = totals.into_iter().filter(|(_, total)| total.is_failing());
        failing.extend(by_fleet.map(|(engine, _)| engine));
        failing.sort_unstable();
        failing.dedup();
        failing
    }

    /// Removes an engine that is gone.
    pub fn forget(&self, engine: &str) {
        self.state.borrow_mut().local.remove(engine);
    }
}

fn decayed((counts, at): (AttemptCounts, Instant), now: Instant) -> AttemptCounts {
    let age = now.saturating_duration_since(at).as_secs_f64();
    counts.scaled((-age / COUNT_HALF_LIFE.as_secs_f64()).exp2())
}
