//! Admission of requests to one graded service at one instance.

use std::time::{Duration, Instant};

use dandeliondeal_types::OrganisationId;

use crate::admission_queue::TicketId;
use crate::admission_rank::AdmissionRank;
use crate::demand_report::DemandReport;
use crate::gate_state::GateState;
use crate::service_room::ServiceRoom;

/// Settings of an admission gate.
#[derive(Clone, Debug, PartialEq)]
pub struct GateSettings {
    /// Part of the capacity at which the service counts as full.
    pub target_fill: f64,
    /// Part of the demand of each rank that is always admitted.
    pub floor_share: f64,
    /// Part of the remaining objective for which a request may wait.
    pub wait_share: f64,
    /// Lowest share at which a request that is not admitted may wait.
    pub min_wait_share: f64,
    /// Time for which the supply is computed.
    pub horizon: Duration,
    /// Age from which news is not used.
    pub news_limit: Duration,
    /// Expected time between news, until it is measured.
    pub news_interval: Duration,
    /// Time constant of the arrival rates.
    pub demand_window: Duration,
    /// Minimum time between two releases of requests that wait for room.
    pub release_interval: Duration,
    /// Retry delay where few requests are refused.
    pub min_retry_delay: Duration,
    /// Retry delay where all requests are refused.
    pub max_retry_delay: Duration,
    /// Maximum retry delay, as a part of the time that the caller has left.
    pub retry_share: f64,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            target_fill: 0.9,
            floor_share: 0.1,
            wait_share: 0.5,
            min_wait_share: 0.5,
            horizon: Duration::from_millis(500),
            news_limit: Duration::from_millis(1_200),
            news_interval: Duration::from_millis(200),
            demand_window: Duration::from_millis(500),
            release_interval: Duration::from_millis(100),
            min_retry_delay: Duration::from_secs(2),
            max_retry_delay: Duration::from_secs(8),
            retry_share: 0.3,
            max_waiting: 1_024,
        }
    }
}

impl GateSettings {
    /// Returns the maximum retry delay of a caller that has `time_left`, for
    /// [`GateRequest::max_retry_delay`].
    pub fn retry_limit(&self, time_left: Duration) -> Duration {
        self.max_retry_delay
            .min(time_left.mul_f64(self.retry_share))
    }
}

/// Properties of a request that a gate needs.
#[derive(Clone, Debug, PartialEq)]
pub struct GateRequest {
    /// Organisation that sent the request, if known.
    pub organisation: Option<OrganisationId>,
    /// Rank of the request.
    pub rank: AdmissionRank,
    /// Work, in tokens for a stream and 1 for a plain request.
    pub work: f64,
    /// Time until the latency objective is missed; zero if it has been missed.
    pub objective_left: Duration,
    /// Maximum retry delay; see [`GateSettings::retry_limit`].
    pub max_retry_delay: Duration,
}

/// Action for the caller of a gate to perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateAction {
    /// Start the request. A request that waited for room looks for a chain again.
    Admit(TicketId),
    /// Hold the request until another action for it follows.
    Wait(TicketId),
    /// Refuse the request; no part of it has run.
    Refuse {
        /// The request.
        ticket: TicketId,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Decides which requests of one service start at this instance.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    settings: GateSettings,
    mean_service_time: Duration,
}

impl AdmissionGate {
    /// Creates a gate without news, which admits all requests.
    ///
    /// `usual_service_time` counts until service times have been measured.
    pub fn new(settings: GateSettings, usual_service_time: Duration, _now: Instant) -> Self {
        Self {
            settings,
            mean_service_time: usual_service_time,
        }
    }

    /// Decides on a new request. `draw` is uniform in 0 to 1.
    ///
    /// The first action concerns the request; others refuse waiting requests in its favour.
    pub fn submit(
        &mut self,
        ticket: TicketId,
        _request: GateRequest,
        _draw: f64,
        _now: Instant,
    ) -> Vec<GateAction> {
        vec![GateAction::Admit(ticket)]
    }

    /// Decides on an admitted request that no endpoint has room for: wait or refuse.
    pub fn wait_for_room(
        &mut self,
        ticket: TicketId,
        request: GateRequest,
        _now: Instant,
    ) -> GateAction {
        let GateRequest {
            max_retry_delay, ..
        } = request;
        GateAction::Refuse {
            ticket,
            retry_after: self.settings.min_retry_delay.min(max_retry_delay),
        }
    }

    /// Processes the total of all instances, and decides on the waiting requests.
    pub fn set_news<Draw>(
        &mut self,
        _demand: &DemandReport,
        _room: ServiceRoom,
        _draws: Draw,
        _now: Instant,
    ) -> Vec<GateAction>
    where
        Draw: FnMut() -> f64,
    {
        Vec::new()
    }

    /// Ends waits, and releases requests that wait for room.
    pub fn tick<Draw>(&mut self, _draws: Draw, _now: Instant) -> Vec<GateAction>
    where
        Draw: FnMut() -> f64,
    {
        Vec::new()
    }

    /// Returns when to call [`Self::tick`] next, if requests wait.
    pub fn next_tick(&self) -> Option<Instant> {
        None
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, _ticket: TicketId) {}

    /// Records the end of a request that ran.
    pub fn record_finished(&mut self, service_time: Duration, _now: Instant) {
        self.mean_service_time = service_time;
    }

    /// Returns the demand at this instance, for its report.
    pub fn local_demand(&mut self, _now: Instant) -> DemandReport {
        DemandReport::default()
    }

    /// Returns the probability with which a request is admitted.
    pub fn share(
        &self,
        _rank: AdmissionRank,
        _organisation: Option<&OrganisationId>,
        _now: Instant,
    ) -> f64 {
        1.0
    }

    /// Returns the state for logs, metrics and explanations.
    pub fn describe(&self, _now: Instant) -> GateState {
        GateState {
            shares: std::collections::BTreeMap::new(),
            supply: None,
            room: None,
            news_age: None,
            waiting: 0,
            mean_service_time: self.mean_service_time,
        }
    }
}
