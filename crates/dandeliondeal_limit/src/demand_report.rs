//! Demand for a graded service, as instances report it.

use std::collections::BTreeMap;

use dandeliondeal_types::OrganisationId;
use serde::{Deserialize, Serialize};

use crate::admission_rank::AdmissionRank;

/// Work per second by rank.
pub type RankDemand = BTreeMap<u8, f64>;
/// Work per second by organisation.
pub type OrganisationDemand = BTreeMap<OrganisationId, f64>;

/// Maximum number of organisations of each rank in a report.
pub const MAX_ORGANISATIONS: usize = 64;

/// Demand for one service, of one instance or of several.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DemandReport {
    /// Work per second by rank.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub ranks: RankDemand,
    /// Part of it by rank and organisation, reported while work is turned away. The largest ones, if
    /// there are more than [`MAX_ORGANISATIONS`].
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub organisations: BTreeMap<u8, OrganisationDemand>,
}

impl DemandReport {
    /// Adds the demand of other instances. Amounts that are not positive finite numbers, and ranks
    /// that do not exist, are ignored.
    pub fn add(&mut self, other: &Self) {
        for (&rank, &work) in &other.ranks {
            if is_amount(work) && is_rank(rank) {
                add_amount(self.ranks.entry(rank).or_default(), work);
            }
        }
        for (&rank, organisations) in &other.organisations {
            if !is_rank(rank) {
                continue;
            }
            let total = self.organisations.entry(rank).or_default();
            for (organisation, &work) in organisations {
                if is_amount(work) {
                    let entry = total
                        .entry(OrganisationId::clone(organisation))
                        .or_default();
                    add_amount(entry, work);
                }
            }
            keep_largest(total);
        }
        self.organisations.retain(|_, demand| !demand.is_empty());
    }

    /// Returns whether there is no demand.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty() && self.organisations.is_empty()
    }
}

/// Returns whether a reported amount can be used in a calculation.
pub(crate) fn is_amount(work: f64) -> bool {
    work.is_finite() && work > 0.0
}

/// Returns the sum of the amounts that can be used in a calculation.
pub(crate) fn total_work(ranks: &RankDemand) -> f64 {
    let amounts = ranks.values().filter(|work| is_amount(**work));
    amounts.sum::<f64>().min(f64::MAX)
}

fn is_rank(rank: u8) -> bool {
    usize::from(rank) < AdmissionRank::COUNT
}

fn add_amount(total: &mut f64, work: f64) {
    *total = (*total + work).min(f64::MAX);
}

/// Removes the smallest demands beyond the maximum number.
fn keep_largest(demand: &mut OrganisationDemand) {
    let excess = demand.len().saturating_sub(MAX_ORGANISATIONS);
    if excess == 0 {
        return;
    }
    let mut sizes: Vec<(f64, OrganisationId)> = demand
        .iter()
        .map(|(organisation, &work)| (work, OrganisationId::clone(organisation)))
        .collect();
    sizes.sort_by(|left, right| {
        left.0
            .total_cmp(&right.0)
            .then_with(|| left.1.cmp(&right.1))
    });
    for (_, organisation) in sizes.iter().take(excess) {
        demand.remove(organisation);
    }
}
