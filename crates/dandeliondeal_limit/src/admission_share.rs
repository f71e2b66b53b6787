//! Shares of the demand for a service that are admitted, by rank and organisation.

use std::collections::BTreeMap;

use dandeliondeal_types::OrganisationId;

use crate::admission_rank::AdmissionRank;
use crate::demand_report::{DemandReport, OrganisationDemand, RankDemand, is_amount};
use crate::water_fill::fair_level;

/// Shares of one rank in which the supply runs out, by organisation.
#[derive(Clone, Debug)]
struct DividedRank {
    rank: AdmissionRank,
    shares: BTreeMap<OrganisationId, f64>,
}

/// Shares for one total of demand and supply.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionShare {
    ranks: [f64; AdmissionRank::COUNT],
    divided: Option<DividedRank>,
}

impl AdmissionShare {
    /// Divides `supply` work per second. Each rank gets `floor_share` of its demand, then the ranks
    /// get the rest in order. `reserve` is kept from the least urgent rank with demand, and a part
    /// of it that falls with the urgency from those before.
    pub(crate) fn new(
        demand: &DemandReport,
        (supply, reserve): (f64, f64),
        floor_share: f64,
    ) -> Self {
        let floor_share = floor_share.clamp(0.0, 1.0);
        let rank_demand = |rank: u8| {
            let work = demand.ranks.get(&rank).copied().unwrap_or(0.0);
            if is_amount(work) { work } else { 0.0 }
        };
        let ranks = 0_u8..;
        let demands: Vec<f64> = ranks.take(AdmissionRank::COUNT).map(rank_demand).collect();
        let floor: f64 = demands.iter().map(|work| work * floor_share).sum();
        let reserved = reserved_parts(&demands);
        let mut used = floor;
        let mut is_exhausted = supply < floor;
        let mut result = Self {
            ranks: [1.0; AdmissionRank::COUNT],
            divided: None,
        };
        for (rank, &work) in demands.iter().enumerate() {
            let wanted = work * (1.0 - floor_share);
            let remaining = (supply - reserve * reserved[rank] - used).max(0.0);
            if is_exhausted {
                result.ranks[rank] = floor_share;
            } else if wanted <= remaining {
                used += wanted;
            } else {
                is_exhausted = true;
                let admitted = work * floor_share + remaining;
                result.ranks[rank] = (admitted / work).clamp(floor_share, 1.0);
                result.divided = divide_rank(demand, rank, admitted / work, floor_share);
            }
        }
        result
    }

    /// Returns the share of a rank and organisation.
    pub(crate) fn share(&self, rank: AdmissionRank, organisation: Option<&OrganisationId>) -> f64 {
        let divided = self.divided.as_ref().filter(|divided| divided.rank == rank);
        divided
            .zip(organisation)
            .and_then(|(divided, organisation)| divided.shares.get(organisation).copied())
            .unwrap_or_else(|| self.rank_share(rank))
    }

    /// Returns the share of a rank over all organisations.
    pub(crate) fn rank_share(&self, rank: AdmissionRank) -> f64 {
        self.ranks[usize::from(rank.value())]
    }

    /// Returns the work per second that is admitted of a demand.
    pub(crate) fn admitted_rate(&self, demand: &RankDemand) -> f64 {
        let amounts = demand.iter().filter(|(_, work)| is_amount(**work));
        let admitted = amounts.filter_map(|(&rank, work)| {
            let share = self.ranks.get(usize::from(rank))?;
            Some(work * share)
        });
        admitted.sum()
    }

    /// Returns whether no work is turned away.
    pub(crate) fn admits_all(&self) -> bool {
        self.ranks.iter().all(|&share| share >= 1.0)
    }
}

/// Returns the part of the reserve that is kept from each rank: 0 for the most urgent requests with
/// demand, 1 for the least urgent ones.
///
/// The root keeps most of the reserve from those in between too: they are the next to overfill the
/// service when the least urgent ones are held back.
fn reserved_parts(demands: &[f64]) -> Vec<f64> {
    let has_demand = |urgency: &[f64]| urgency.iter().any(|&work| work > 0.0);
    let urgencies: Vec<bool> = demands.chunks(2).map(has_demand).collect();
    let count = urgencies.iter().filter(|has_demand| **has_demand).count();
    let last = count.saturating_sub(1).max(1) as f64;
    let mut before = 0_u32;
    let parts = urgencies.iter().map(|&has_demand| {
        let part = f64::from(before) / last;
        before += u32::from(has_demand);
        part.min(1.0).sqrt()
    });
    parts.flat_map(|part| [part; 2]).collect()
}

/// Divides the admitted part of a rank between the organisations that are reported in it.
///
/// Callers without a reported organisation keep the share of the rank.
fn divide_rank(
    demand: &DemandReport,
    rank: usize,
    rank_share: f64,
    floor_share: f64,
) -> Option<DividedRank> {
    let rank = AdmissionRank::from_value(u8::try_from(rank).ok()?)?;
    let organisations = demand.organisations.get(&rank.value())?;
    let reported: OrganisationDemand = organisations
        .iter()
        .filter(|(_, work)| is_amount(**work))
        .map(|(organisation, &work)| (OrganisationId::clone(organisation), work))
        .collect();
    let works: Vec<f64> = reported.values().copied().collect();
    let admitted = works.iter().sum::<f64>() * rank_share;
    let level = floored_level(admitted, &works, floor_share);
    let shares = reported.into_iter().map(|(organisation, work)| {
        let share = (level / work).clamp(floor_share, 1.0);
        (organisation, share)
    });
    Some(DividedRank {
        rank,
        shares: shares.collect(),
    })
}

/// Returns the level at which demands are capped so that they fit into `total`, where each demand
/// gets at least `floor_share` of itself.
fn floored_level(total: f64, demands: &[f64], floor_share: f64) -> f64 {
    let mut remaining = total;
    let mut capped = demands.to_vec();
    loop {
        let level = fair_level(remaining, &capped);
        let count = capped.len();
        capped.retain(|demand| {
            let floor = demand * floor_share;
            let is_above = floor > level;
            if is_above {
                remaining -= floor;
            }
            !is_above
        });
        if capped.len() == count {
            return level;
        }
        remaining = remaining.max(0.0);
    }
}
