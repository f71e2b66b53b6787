//! Demand for a service at one instance, as decaying rates.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::OrganisationId;

use crate::admission_rank::AdmissionRank;
use crate::demand_report::{DemandReport, MAX_ORGANISATIONS};

/// Work per second below which a rate is dropped, as a part of the rate of one unit of work per
/// window.
const MIN_RATE_SHARE: f64 = 0.01;
/// Number of steps of one unit in a reported rate; a report needs no further digits.
const REPORT_STEPS: f64 = 1_000.0;

/// Work that arrived recently, decaying with the window of the meter.
#[derive(Clone, Copy, Debug)]
struct RecentWork {
    amount: f64,
    updated: Instant,
}

impl RecentWork {
    fn new(now: Instant) -> Self {
        Self {
            amount: 0.0,
            updated: now,
        }
    }

    fn decay(&mut self, window: Duration, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.amount *= (-elapsed / window.as_secs_f64()).exp();
        self.updated = now;
    }
}

/// Arrival rates of work by rank and organisation.
#[derive(Clone, Debug)]
pub(crate) struct DemandMeter {
    window: Duration,
    ranks: BTreeMap<u8, RecentWork>,
    organisations: BTreeMap<u8, BTreeMap<OrganisationId, RecentWork>>,
}

impl DemandMeter {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window: window.max(Duration::from_millis(1)),
            ranks: BTreeMap::new(),
            organisations: BTreeMap::new(),
        }
    }

    /// Counts work that is offered.
    pub(crate) fn record(
        &mut self,
        rank: AdmissionRank,
        organisation: Option<&OrganisationId>,
        work: f64,
        now: Instant,
    ) {
        let window = self.window;
        let ranks = self.ranks.entry(rank.value());
        let total = ranks.or_insert_with(|| RecentWork::new(now));
        total.decay(window, now);
        total.amount += work;
        let Some(organisation) = organisation else {
            return;
        };
        let organisations = self.organisations.entry(rank.value()).or_default();
        if !organisations.contains_key(organisation) && organisations.len() >= MAX_ORGANISATIONS {
            remove_smallest(organisations, window, now);
        }
        let entry = organisations.entry(OrganisationId::clone(organisation));
        let recent = entry.or_insert_with(|| RecentWork::new(now));
        recent.decay(window, now);
        recent.amount += work;
    }

    /// Returns the rates, and drops those that have decayed.
    pub(crate) fn report(&mut self, with_organisations: bool, now: Instant) -> DemandReport {
        let window = self.window;
        decay_all(&mut self.ranks, window, now);
        for organisations in self.organisations.values_mut() {
            decay_all(organisations, window, now);
        }
        self.organisations.retain(|_, recent| !recent.is_empty());
        let rate = |recent: &RecentWork| {
            let per_second = recent.amount / window.as_secs_f64();
            ((per_second * REPORT_STEPS).round() / REPORT_STEPS).min(f64::MAX)
        };
        let ranks = self.ranks.iter();
        let mut report = DemandReport {
            ranks: ranks.map(|(&rank, recent)| (rank, rate(recent))).collect(),
            organisations: BTreeMap::new(),
        };
        if with_organisations {
            let by_rank = self.organisations.iter().map(|(&rank, organisations)| {
                let rates = organisations.iter().map(|(organisation, recent)| {
                    (OrganisationId::clone(organisation), rate(recent))
                });
                (rank, rates.collect())
            });
            report.organisations = by_rank.collect();
        }
        report
    }
}

fn decay_all<Key>(recent: &mut BTreeMap<Key, RecentWork>, window: Duration, now: Instant)
where
    Key: Ord,
{
    recent.retain(|_, work| {
        work.decay(window, now);
        work.amount > MIN_RATE_SHARE
    });
}

fn remove_smallest(
    organisations: &mut BTreeMap<OrganisationId, RecentWork>,
    window: Duration,
    now: Instant,
) {
    for recent in organisations.values_mut() {
        recent.decay(window, now);
    }
    let smallest = organisations
        .iter()
        .min_by(|left, right| left.1.amount.total_cmp(&right.1.amount))
        .map(|(organisation, _)| OrganisationId::clone(organisation));
    if let Some(organisation) = smallest {
        organisations.remove(&organisation);
    }
}
