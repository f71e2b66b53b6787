//! Load of one endpoint: own calls, decayed load reports and the measured service time.

use std::time::{Duration, Instant};

use crate::endpoint_profile::EndpointProfile;
use crate::load_report::LoadReport;
use crate::monitor_settings::SelectionSettings;

/// Relative slowdown of a call in a full batch. It ranks endpoints that have no queue by their
/// load.
const BATCH_SLOWDOWN: f64 = 0.25;

/// Freshness below which a load report is ignored.
const MIN_FRESHNESS: f64 = 0.1;

/// Estimate of the calls of other instances at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OtherLoad {
    /// Expected number of calls.
    pub calls: f64,
    /// Variance of the number of calls; it grows with the age of the report.
    pub variance: f64,
}

/// Load of one endpoint, as estimated by this instance.
#[derive(Clone, Debug)]
pub struct EndpointLoad {
    in_flight: u32,
    reported_calls: f64,
    reported_at: Option<Instant>,
    started_since_report: u32,
    service_seconds: f64,
}

impl EndpointLoad {
    /// Creates an idle load with the service time of the profile.
    pub fn new(profile: &EndpointProfile) -> Self {
        Self {
            in_flight: 0,
            reported_calls: 0.0,
            reported_at: None,
            started_since_report: 0,
            service_seconds: profile.service_time.as_secs_f64(),
        }
    }

    /// Returns the number of open calls of this instance.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the age of the last load report.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.reported_at
            .map(|reported_at| now.saturating_duration_since(reported_at))
    }

    /// Returns the average time of one call without queueing.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_seconds)
    }

    /// Records the start of a call.
    pub fn record_start(&mut self) {
        self.in_flight += 1;
        self.started_since_report += 1;
    }

    /// Records the end of a call.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the predicted time of one more call as a multiple of its time at an idle endpoint.
    pub fn queueing_factor(&self, others: OtherLoad, capacity: f64) -> f64 {
        1.0 + self.expected_queue(others, capacity)
    }

    /// Updates the service time from an answered call, excluding its predicted queueing time.
    pub fn record_answer(
        &mut self,
        elapsed: Duration,
        queueing_factor: f64,
        settings: &SelectionSettings,
    ) {
        let service_seconds = elapsed.as_secs_f64() / queueing_factor;
        self.service_seconds +=
            (service_seconds - self.service_seconds) * settings.service_time_weight;
    }

    /// Records that the endpoint reported being full, which counts as a load report made at `now`.
    pub fn record_busy(&mut self, capacity: u32, now: Instant) {
        self.reported_calls = f64::from(capacity.saturating_sub(self.in_flight));
        self.reported_at = Some(now);
        self.started_since_report = 0;
    }

    /// Records a load report, excluding this instance's own calls from it.
    pub fn record_report(&mut self, report: LoadReport) {
        if self
            .reported_at
            .is_some_and(|reported_at| report.measured_at <= reported_at)
        {
            return;
        }
        let own_calls = self.in_flight.saturating_sub(self.started_since_report);
        self.reported_calls = f64::from(report.sessions.saturating_sub(own_calls));
        self.reported_at = Some(report.measured_at);
        self.started_since_report = 0;
        if let Some(time) = report.service_time {
            self.service_seconds = time.as_secs_f64();
        }
    }

    /// Returns the remaining weight of the last load report, which decays from 1 to 0 with its age.
    pub fn freshness(&self, settings: &SelectionSettings, now: Instant) -> f64 {
        let freshness = self.report_age(now).map_or(0.0, |age| {
            let time_constant = self.service_seconds * settings.report_time_constant;
            (-age.as_secs_f64() / time_constant).exp()
        });
        // Even a tiny weight would decide between otherwise equal endpoints, and all instances
        // would then prefer the same one.
        if freshness < MIN_FRESHNESS {
            0.0
        } else {
            freshness
        }
    }

    /// Estimates the calls of other instances.
    ///
    /// The last load report decays with its age towards `mean_calls`, the number expected from the
    /// mean load of the group. Meanwhile the variance grows from 0 to `mean_calls`.
    pub fn estimate_others(
        &self,
        mean_calls: f64,
        settings: &SelectionSettings,
        now: Instant,
    ) -> OtherLoad {
        let freshness = self.freshness(settings, now);
        OtherLoad {
            calls: mean_calls + (self.reported_calls - mean_calls) * freshness,
            variance: mean_calls * (1.0 - freshness * freshness),
        }
    }

    /// Returns the number of calls of other instances in the last load report.
    pub fn reported_others(&self) -> Option<f64> {
        self.reported_at.map(|_| self.reported_calls)
    }

    /// Returns the predicted wait before one more call starts.
    ///
    /// `capacity` is the number of calls that the endpoint runs at once.
    pub fn expected_wait(&self, others: OtherLoad, capacity: f64) -> Duration {
        let queue = self.expected_queue(others, capacity);
        Duration::from_secs_f64(self.service_seconds * queue)
    }

    /// Returns the predicted time until one more call is answered.
    pub fn expected_completion(
        &self,
        profile: &EndpointProfile,
        others: OtherLoad,
        capacity: f64,
    ) -> Duration {
        let calls = f64::from(self.in_flight) + others.calls;
        let slowdown = 1.0 + BATCH_SLOWDOWN * (calls / capacity.max(1.0)).min(1.0);
        self.expected_wait(others, capacity)
            + Duration::from_secs_f64(self.service_seconds * slowdown)
            + profile.link_delay * 2
    }

    /// Returns the predicted queue ahead of one more call, in calls per unit of capacity.
    pub fn expected_queue(&self, others: OtherLoad, capacity: f64) -> f64 {
        self.expected_queued_calls(others, capacity) / capacity.max(1.0)
    }

    /// Returns the expected number of calls queued ahead of one more call.
    ///
    /// The number of other instances' calls is uncertain, so a queue is possible even if the
    /// expected number leaves capacity free. The positive part of the excess is therefore smoothed
    /// by the standard deviation.
    fn expected_queued_calls(&self, others: OtherLoad, capacity: f64) -> f64 {
        let excess = f64::from(self.in_flight) + others.calls + 1.0 - capacity;
        f64::midpoint(excess, excess.hypot(others.variance.sqrt()))
    }
}
