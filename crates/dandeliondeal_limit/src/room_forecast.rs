//! Room of a service now, from a report that is some tenths of a second old.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::admission_share::AdmissionShare;
use crate::demand_report::{RankDemand, total_work};
use crate::service_room::{ServiceRoom, SupplyTerms};

/// Maximum number of shares that are kept.
const MAX_PERIODS: usize = 16;

/// Follows the room from report to report.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoomForecast {
    /// Shares with the time from which they counted, in this order.
    periods: VecDeque<(Instant, AdmissionShare)>,
    /// Mean of the committed work over about one service time.
    mean_committed: Option<(Instant, f64)>,
}

impl RoomForecast {
    /// Records the shares that count from `now` on, and forgets those that ended before `age`.
    pub(crate) fn push(&mut self, shares: AdmissionShare, age: Duration, now: Instant) {
        self.periods.push_back((now, shares));
        while self.periods.len() > MAX_PERIODS
            || self.periods.get(1).is_some_and(|(at, _)| *at + age <= now)
        {
            self.periods.pop_front();
        }
    }

    /// Returns the committed work whose end counts.
    ///
    /// Work that has just started does not end yet: after a steep rise, the committed work divided by
    /// the service time is far above the rate at which work ends.
    pub(crate) fn ending_work(
        &mut self,
        room: &ServiceRoom,
        service_time: Duration,
        now: Instant,
    ) -> f64 {
        let committed = room.committed;
        let mean = self.mean_committed.map_or(committed, |(at, mean)| {
            let elapsed = now.saturating_duration_since(at);
            let kept = (-elapsed.div_duration_f64(service_time)).exp();
            mean * kept + committed * (1.0 - kept)
        });
        self.mean_committed = Some((now, mean));
        mean.min(committed)
    }

    /// Returns the room with the work that all instances admitted within `age`, and without the
    /// work that ended.
    pub(crate) fn project(
        &self,
        room: &ServiceRoom,
        demand: &RankDemand,
        terms: SupplyTerms,
        age: Duration,
        now: Instant,
    ) -> ServiceRoom {
        let admitted = self.admitted(demand, age, now);
        let committed = room.committed + admitted - terms.ending(room, age);
        ServiceRoom {
            committed: committed.clamp(0.0, f64::MAX),
            ..*room
        }
    }

    /// Returns the work that was admitted within `age` before `now`, if the demand was constant.
    ///
    /// Before the first known shares, all work was admitted.
    fn admitted(&self, demand: &RankDemand, age: Duration, now: Instant) -> f64 {
        let mut until = now;
        let mut left = age;
        let mut work = 0.0;
        for (from, shares) in self.periods.iter().rev() {
            let time = until.saturating_duration_since(*from).min(left);
            work += shares.admitted_rate(demand) * time.as_secs_f64();
            left -= time;
            until = *from;
        }
        work + total_work(demand) * left.as_secs_f64()
    }
}
