//! Growth of the demand of all instances from one report to the next.

use std::time::{Duration, Instant};

use crate::demand_report::{DemandReport, RankDemand, is_amount, total_work};

/// Part of the last rates above which the difference of two reports is mostly chance.
const MAX_KEPT: f64 = 0.9;

/// Follows a total of decaying rates, which lag behind a steep rise.
#[derive(Clone, Debug)]
pub(crate) struct DemandTrend {
    window: Duration,
    last: Option<(Instant, RankDemand)>,
}

impl DemandTrend {
    /// Creates a trend for rates that decay with `window`.
    pub(crate) fn new(window: Duration) -> Self {
        let window = window.max(Duration::from_millis(1));
        Self { window, last: None }
    }

    /// Returns the demand with the rates since the last report, if their sum is above
    /// `growth_factor` times the reported one.
    pub(crate) fn follow(
        &mut self,
        demand: &DemandReport,
        growth_factor: f64,
        now: Instant,
    ) -> DemandReport {
        let mut result = demand.clone();
        let Some((at, last)) = self.last.replace((now, demand.ranks.clone())) else {
            return result;
        };
        let interval = now.saturating_duration_since(at);
        let kept = (-interval.div_duration_f64(self.window)).exp();
        if kept > MAX_KEPT {
            return result;
        }
        let amounts = demand.ranks.iter().filter(|(_, work)| is_amount(**work));
        let recent: RankDemand = amounts
            .map(|(&rank, &work)| {
                let before = last.get(&rank).copied().filter(|work| is_amount(*work));
                let rate = (work - before.unwrap_or(0.0) * kept) / (1.0 - kept);
                (rank, rate.clamp(work, f64::MAX))
            })
            .collect();
        if total_work(&recent) > total_work(&demand.ranks) * growth_factor {
            result.ranks = recent;
        }
        result
    }
}
