//! Load of one endpoint: own work, aged reports, measured service time.

use std::time::{Duration, Instant};

use crate::endpoint_profile::EndpointProfile;
use crate::load_report::LoadReport;
use crate::monitor_settings::ChoiceSettings;

/// Share by which a full batch slows each call; it ranks endpoints that have no queue.
const BATCH_SLOWDOWN: f64 = 0.25;

/// Share of a report that is kept below which it is ignored.
const LEAST_KEPT: f64 = 0.1;

/// Estimate of the calls of other instances at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OtherWork {
    /// Expected number of calls.
    pub calls: f64,
    /// Variance of that number; it grows with the age of the report.
    pub variance: f64,
}

/// Load of one endpoint as this instance knows it.
#[derive(Clone, Debug)]
pub struct EndpointLoad {
    in_flight: u32,
    others: f64,
    measured: Option<Instant>,
    sent_since: u32,
    service_seconds: f64,
}

impl EndpointLoad {
    /// Starts idle, with the service time of the profile.
    pub fn new(profile: &EndpointProfile) -> Self {
        Self {
            in_flight: 0,
            others: 0.0,
            measured: None,
            sent_since: 0,
            service_seconds: profile.service_time.as_secs_f64(),
        }
    }

    /// Calls of this instance that are open.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Age of the last report.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.measured
            .map(|measured| now.saturating_duration_since(measured))
    }

    /// Usual time of one call without queueing.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_seconds)
    }

    /// Notes that a call starts.
    pub fn started(&mut self) {
        self.in_flight += 1;
        self.sent_since += 1;
    }

    /// Notes that a call ended.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Predicted time of one more call as a multiple of its time at an idle endpoint.
    pub fn stretch(&self, others: OtherWork, capacity: f64) -> f64 {
        1.0 + self.expected_queue(others, capacity)
    }

    /// Learns from the time that an answered call took, less its predicted queueing.
    pub fn answered(&mut self, elapsed: Duration, stretch: f64, settings: &ChoiceSettings) {
        let service = elapsed.as_secs_f64() / stretch;
        self.service_seconds += (service - self.service_seconds) * settings.service_weight;
    }

    /// Notes that the endpoint says it is full: as much work as it holds, as of now.
    pub fn busy(&mut self, capacity: u32, now: Instant) {
        self.others = f64::from(capacity.saturating_sub(self.in_flight));
        self.measured = Some(now);
        self.sent_since = 0;
    }

    /// Takes in a report, leaving out what this instance itself has there.
    pub fn report(&mut self, report: LoadReport) {
        if self
            .measured
            .is_some_and(|measured| report.measured <= measured)
        {
            return;
        }
        let own = self.in_flight.saturating_sub(self.sent_since);
        self.others = f64::from(report.sessions.saturating_sub(own));
        self.measured = Some(report.measured);
        self.sent_since = 0;
        if let Some(time) = report.service_time {
            self.service_seconds = time.as_secs_f64();
        }
    }

    /// Share of the last report that has not faded with its age.
    pub fn freshness(&self, settings: &ChoiceSettings, now: Instant) -> f64 {
        let kept = self.report_age(now).map_or(0.0, |age| {
            let fade = self.service_seconds * settings.report_fade;
            (-age.as_secs_f64() / fade).exp()
        });
        // A faint remainder would still break every tie, the same way at all instances.
        if kept < LEAST_KEPT { 0.0 } else { kept }
    }

    /// Work of other instances: the last report, faded with its age towards `usual`.
    pub fn others(&self, usual: f64, settings: &ChoiceSettings, now: Instant) -> OtherWork {
        let kept = self.freshness(settings, now);
        OtherWork {
            calls: usual + (self.others - usual) * kept,
            variance: usual * (1.0 - kept * kept),
        }
    }

    /// Work of other instances as last reported.
    pub fn reported_others(&self) -> Option<f64> {
        self.measured.map(|_| self.others)
    }

    /// Predicted wait before one more call starts at an endpoint with `capacity` places.
    pub fn expected_wait(&self, others: OtherWork, capacity: f64) -> Duration {
        let queue = self.expected_queue(others, capacity);
        Duration::from_secs_f64(self.service_seconds * queue)
    }

    /// Predicted time until one more call is answered.
    pub fn expected_completion(
        &self,
        profile: &EndpointProfile,
        others: OtherWork,
        capacity: f64,
    ) -> Duration {
        let load = f64::from(self.in_flight) + others.calls;
        let batch = 1.0 + BATCH_SLOWDOWN * (load / capacity.max(1.0)).min(1.0);
        self.expected_wait(others, capacity)
            + Duration::from_secs_f64(self.service_seconds * batch)
            + profile.link_delay * 2
    }

    /// Predicted queue ahead of one more call, in calls a place.
    pub fn expected_queue(&self, others: OtherWork, capacity: f64) -> f64 {
        self.ahead(others, capacity) / capacity.max(1.0)
    }

    /// Expected calls in the queue ahead of one more call.
    ///
    /// The work of others is uncertain, so a queue is possible also where the mean leaves places
    /// free: the positive part of the excess is smoothed by the spread.
    fn ahead(&self, others: OtherWork, capacity: f64) -> f64 {
        let excess = f64::from(self.in_flight) + others.calls + 1.0 - capacity;
        f64::midpoint(excess, excess.hypot(others.variance.sqrt()))
    }
}
