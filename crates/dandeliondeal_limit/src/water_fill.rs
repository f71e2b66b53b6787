//! Shares of one amount by demand.

/// Share of the whole that is kept for holders without demand, in parts of this.
const IDLE_PARTS: u64 = 50;

/// The share of the holder at `index`.
///
/// Demands that fit are met, and what is left over goes to each in proportion to its demand.
/// Demands that do not fit are cut to one level (max-min fairness). A small part is shared by all
/// alike, so that an idle holder can serve its first requests.
pub fn fair_share(total: u64, demands: &[u64], index: usize) -> u64 {
    let count = demands.len().max(1) as u64;
    let floor = total / IDLE_PARTS / count;
    let shared = total - floor * count;
    let wanted: u64 = demands.iter().sum();
    if wanted == 0 {
        return floor + shared / count;
    }
    let own = demands[index];
    if wanted <= shared {
        let part = u128::from(shared) * u128::from(own) / u128::from(wanted);
        return floor + u64::try_from(part).unwrap_or(u64::MAX);
    }
    floor + own.min(level(shared, demands))
}

/// The level to which demands are cut so that they fit into `total`.
fn level(total: u64, demands: &[u64]) -> u64 {
    let mut sorted = demands.to_vec();
    sorted.sort_unstable();
    let mut left = total;
    for (place, &demand) in sorted.iter().enumerate() {
        let others = (sorted.len() - place) as u64;
        let even = left / others;
        if demand >= even {
            return even;
        }
        left -= demand;
    }
    left
}
