//! Max-min fair shares of an amount by demand.

/// Inverse of the share of the total that is divided evenly, regardless of demand.
const EVEN_SHARE_DIVISOR: u64 = 50;

/// Returns the share of the holder at `index`.
///
/// Demands that fit are met, and the remainder is divided in proportion to demand. Demands that
/// don't fit are capped at a common level (max-min fairness). A small part of the total is divided
/// evenly, so that an idle holder can serve its first requests.
pub fn fair_share(total: u64, demands: &[u64], index: usize) -> u64 {
    let count = demands.len().max(1) as u64;
    let even_share = total / EVEN_SHARE_DIVISOR / count;
    let distributable = total - even_share * count;
    let total_demand: u64 = demands.iter().sum();
    if total_demand == 0 {
        return even_share + distributable / count;
    }
    let own_demand = demands[index];
    if total_demand <= distributable {
        let part = u128::from(distributable) * u128::from(own_demand) / u128::from(total_demand);
        return even_share + u64::try_from(part).unwrap_or(u64::MAX);
    }
    even_share + own_demand.min(fair_level(distributable, demands))
}

/// Amount that can be divided.
pub(crate) trait DivisibleAmount: Copy + PartialOrd + std::ops::Sub<Output = Self> {
    /// Returns an equal part, for a positive number of parts.
    fn divide_by(self, parts: usize) -> Self;

    /// Compares two amounts.
    fn compare(&self, other: &Self) -> std::cmp::Ordering;
}

impl DivisibleAmount for u64 {
    fn divide_by(self, parts: usize) -> Self {
        self / parts as Self
    }

    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        self.cmp(other)
    }
}

impl DivisibleAmount for f64 {
    fn divide_by(self, parts: usize) -> Self {
        self / parts as Self
    }

    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        self.total_cmp(other)
    }
}

/// Returns the common level at which demands are capped so that they fit into `total`.
pub(crate) fn fair_level<Amount>(total: Amount, demands: &[Amount]) -> Amount
where
    Amount: DivisibleAmount,
{
    let mut sorted = demands.to_vec();
    sorted.sort_unstable_by(Amount::compare);
    let mut remaining = total;
    for (position, &demand) in sorted.iter().enumerate() {
        let equal_share = remaining.divide_by(sorted.len() - position);
        if demand >= equal_share {
            return equal_share;
        }
        remaining = remaining - demand;
    }
    remaining
}
