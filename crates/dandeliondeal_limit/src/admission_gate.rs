//! Admission of requests to one graded service at one instance.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::OrganisationId;

use crate::admission_queue::TicketId;
use crate::admission_rank::AdmissionRank;
use crate::admission_share::AdmissionShare;
use crate::demand_meter::DemandMeter;
use crate::demand_report::{DemandReport, total_work};
use crate::demand_trend::DemandTrend;
use crate::gate_request::{GateAction, GateRequest};
use crate::gate_settings::GateSettings;
use crate::gate_state::GateState;
use crate::retry_delay::retry_delay;
use crate::room_forecast::RoomForecast;
use crate::service_room::{ServiceRoom, SupplyTerms};
use crate::service_times::ServiceTimes;
use crate::wait_queue::{WaitQueue, WaitReason, WaitingRequest};

/// Weight of the newest sample in the mean time between news.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Smallest mean service time in a calculation.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);
/// Time for which the end of a wait is kept after it; the request may still be looking for a chain.
const RELEASE_GRACE: Duration = Duration::from_secs(1);
/// Tolerance for rounding when the shares of several requests add up to the work of one.
const ROUNDING: f64 = 1e-9;

/// What the last news led to.
#[derive(Clone, Debug)]
struct GateNews {
    at: Instant,
    room: ServiceRoom,
    /// Room when the news arrived.
    forecast: ServiceRoom,
    terms: SupplyTerms,
    supply_rate: f64,
    /// Work per second that is turned away, as a part of the capacity.
    refused_rate: f64,
    ranks: Vec<AdmissionRank>,
    shares: AdmissionShare,
}

/// Decides which requests of one service start at this instance.
///
/// The shares are computed once per news. A request is admitted with the probability of its share,
/// so instances with few requests need no shares of their own.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    settings: GateSettings,
    demand: DemandMeter,
    waiting: WaitQueue,
    news: Option<GateNews>,
    forecast: RoomForecast,
    trend: DemandTrend,
    /// Mean time between news.
    news_interval: Duration,
    service_times: ServiceTimes,
    /// Latency objective of a service whose endpoints queue.
    queue_objective: Option<Duration>,
    /// Work that this instance admitted since the last news.
    admitted_work: f64,
    /// Time of the last release of requests that wait for room.
    released_at: Option<Instant>,
    /// Requests that gave way to others and are refused at the next tick.
    displaced: Vec<(TicketId, WaitingRequest)>,
    /// State of the random factors of retry delays, where no draw is passed.
    spread_state: u64,
}

impl AdmissionGate {
    /// Creates a gate without news, which admits all requests.
    ///
    /// `usual_service_time` counts until service times have been measured.
    pub fn new(settings: GateSettings, usual_service_time: Duration, now: Instant) -> Self {
        Self {
            demand: DemandMeter::new(settings.demand_window),
            waiting: WaitQueue::default(),
            news: None,
            forecast: RoomForecast::default(),
            trend: DemandTrend::new(settings.demand_window),
            news_interval: settings.news_interval,
            service_times: ServiceTimes::new(usual_service_time, now),
            queue_objective: None,
            admitted_work: 0.0,
            released_at: None,
            displaced: Vec::new(),
            spread_state: 0,
            settings,
        }
    }

    /// Sets the latency objective of a service whose endpoints queue requests beyond their places.
    ///
    /// Such a service is full when its endpoints cannot answer the open requests within
    /// [`GateSettings::objective_share`] of the objective. `None`: they do not queue.
    pub fn set_queue_objective(&mut self, objective: Option<Duration>) {
        self.queue_objective = objective;
    }

    /// Decides on a new request. `draw` is uniform in 0 to 1.
    ///
    /// The first action concerns the request; others refuse waiting requests in its favour.
    pub fn submit(
        &mut self,
        ticket: TicketId,
        request: GateRequest,
        draw: f64,
        now: Instant,
    ) -> Vec<GateAction> {
        let request = request.checked();
        let draw = self.checked_draw(draw);
        let organisation = request.organisation.as_ref();
        self.demand
            .record(request.rank, organisation, request.work, now);
        let share = self.share(request.rank, organisation, now);
        if draw < share {
            self.admitted_work += request.work;
            return vec![GateAction::Admit(ticket)];
        }
        let spread = (draw - share) / (1.0 - share).max(f64::MIN_POSITIVE);
        let ends = now + request.objective_left.mul_f64(self.settings.wait_share);
        if share < self.settings.min_wait_share || ends <= self.next_news(now) {
            return vec![self.refusal(ticket, &request, spread, now)];
        }
        let waiting = WaitingRequest {
            request,
            reason: WaitReason::Share,
            arrived: now,
            ends,
        };
        match self
            .waiting
            .push(ticket, waiting, self.settings.max_waiting)
        {
            None => vec![GateAction::Wait(ticket)],
            Some((last, removed)) => {
                let refusal = self.refusal(last, &removed.request, spread, now);
                if last == ticket {
                    vec![refusal]
                } else {
                    vec![GateAction::Wait(ticket), refusal]
                }
            }
        }
    }

    /// Decides on an admitted request that no endpoint has room for: wait or refuse.
    ///
    /// A request that waits again after it was released still has its first end.
    pub fn wait_for_room(
        &mut self,
        ticket: TicketId,
        request: GateRequest,
        now: Instant,
    ) -> GateAction {
        let request = request.checked();
        self.admitted_work = (self.admitted_work - request.work).max(0.0);
        let time = request.objective_left.mul_f64(self.settings.wait_share);
        let ends = self.waiting.wait_end(ticket, time, now);
        let spread = self.next_spread();
        if !self.waiting.waits_for_room() {
            // The search for a chain has just failed; the next one follows an interval later.
            self.released_at = Some(now);
        }
        if ends <= now {
            return self.refusal(ticket, &request, spread, now);
        }
        let waiting = WaitingRequest {
            request,
            reason: WaitReason::Room,
            arrived: now,
            ends,
        };
        match self
            .waiting
            .push(ticket, waiting, self.settings.max_waiting)
        {
            Some((last, removed)) if last == ticket => {
                self.refusal(ticket, &removed.request, spread, now)
            }
            displaced => {
                self.displaced.extend(displaced);
                GateAction::Wait(ticket)
            }
        }
    }

    /// Processes the total of all instances, and decides on the waiting requests.
    ///
    /// News with a room that is not a number counts as none.
    pub fn set_news<Draw>(
        &mut self,
        demand: &DemandReport,
        room: ServiceRoom,
        mut draws: Draw,
        now: Instant,
    ) -> Vec<GateAction>
    where
        Draw: FnMut() -> f64,
    {
        if let Some(news) = self.current_news(now) {
            let interval = now.saturating_duration_since(news.at).as_secs_f64();
            let mean = self.news_interval.as_secs_f64();
            let mean = mean + (interval - mean) * SAMPLE_WEIGHT;
            self.news_interval = Duration::from_secs_f64(mean.max(0.0));
        }
        self.news = room.checked().map(|room| self.read_news(demand, room, now));
        self.admitted_work = 0.0;
        self.waiting
            .forget_ended(RELEASE_GRACE, self.settings.max_waiting, now);
        let mut actions = self.end_waits(&mut draws, now);
        self.release_for_room(&mut actions, now);
        self.decide_again(&mut actions, &mut draws, now);
        actions
    }

    /// Ends waits, and releases requests that wait for room.
    pub fn tick<Draw>(&mut self, mut draws: Draw, now: Instant) -> Vec<GateAction>
    where
        Draw: FnMut() -> f64,
    {
        let mut actions = self.end_waits(&mut draws, now);
        self.release_for_room(&mut actions, now);
        if self.current_news(now).is_none() {
            self.decide_again(&mut actions, &mut draws, now);
        }
        actions
    }

    /// Returns when to call [`Self::tick`] next, if requests wait.
    pub fn next_tick(&self) -> Option<Instant> {
        let end = self.waiting.first_end();
        let displaced = self.displaced.first().map(|(_, waiting)| waiting.arrived);
        let room = self.released_at.filter(|_| self.waiting.waits_for_room());
        let release = room.map(|at| at + self.settings.release_interval);
        let news = self
            .news
            .as_ref()
            .filter(|_| self.waiting.waits_for_share());
        let stale = news.map(|news| news.at + self.settings.news_limit);
        [end, displaced, release, stale].into_iter().flatten().min()
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, ticket: TicketId) {
        self.waiting.remove(ticket);
        self.waiting.forget_released(ticket);
        self.displaced.retain(|(displaced, _)| *displaced != ticket);
    }

    /// Records the end of a request that ran.
    pub fn record_finished(&mut self, service_time: Duration, now: Instant) {
        self.service_times.record(service_time, now);
    }

    /// Returns the demand at this instance, for its report.
    ///
    /// Organisations are included while work is turned away.
    pub fn local_demand(&mut self, now: Instant) -> DemandReport {
        let news = self.current_news(now);
        let is_scarce = news.is_some_and(|news| !news.shares.admits_all());
        self.demand.report(is_scarce, now)
    }

    /// Returns the probability with which a request is admitted.
    pub fn share(
        &self,
        rank: AdmissionRank,
        organisation: Option<&OrganisationId>,
        now: Instant,
    ) -> f64 {
        let news = self.current_news(now);
        news.map_or(1.0, |news| news.shares.share(rank, organisation))
    }

    /// Returns the state for logs, metrics and explanations.
    pub fn describe(&self, now: Instant) -> GateState {
        let shares = self.current_news(now).map(|news| {
            let ranks = news.ranks.iter();
            ranks
                .map(|&rank| (rank.value(), news.shares.rank_share(rank)))
                .collect()
        });
        let news = self.news.as_ref();
        GateState {
            shares: shares.unwrap_or_default(),
            supply: news.map(|news| news.supply_rate),
            room: news.map(|news| news.room),
            news_age: news.map(|news| now.saturating_duration_since(news.at)),
            waiting: self.waiting.len(),
            mean_service_time: self.service_times.mean(),
        }
    }

    /// Returns the news unless it is too old.
    fn current_news(&self, now: Instant) -> Option<&GateNews> {
        let news = self.news.as_ref()?;
        let age = now.saturating_duration_since(news.at);
        (age < self.settings.news_limit).then_some(news)
    }

    /// Computes the shares that follow from a total.
    fn read_news(&mut self, demand: &DemandReport, room: ServiceRoom, now: Instant) -> GateNews {
        let GateSettings {
            news_age,
            growth_factor,
            floor_share,
            reserve_share,
            ..
        } = self.settings;
        let service_time = self.service_times.mean().max(MIN_SERVICE_TIME);
        let ending = self.forecast.ending_work(&room, service_time, now);
        let terms = self.supply_terms().with_ending_work(ending);
        let demand = self.trend.follow(demand, growth_factor, now);
        let forecast = self
            .forecast
            .project(&room, &demand.ranks, terms, news_age, now);
        let supply_rate = forecast.supply_rate(terms);
        let reserve_rate = terms.rate(reserve_share * room.capacity);
        let shares = AdmissionShare::new(&demand, (supply_rate, reserve_rate), floor_share);
        self.forecast.push(shares.clone(), news_age, now);
        let ranks = demand.ranks.keys();
        let admitted = shares.admitted_rate(&demand.ranks);
        GateNews {
            at: now,
            room,
            forecast,
            terms,
            supply_rate,
            refused_rate: (total_work(&demand.ranks) - admitted) / room.capacity.max(1.0),
            ranks: ranks
                .filter_map(|&rank| AdmissionRank::from_value(rank))
                .collect(),
            shares,
        }
    }

    /// Returns how the supply follows from the room.
    fn supply_terms(&self) -> SupplyTerms {
        SupplyTerms::new(&self.settings, &self.service_times, self.queue_objective)
    }

    /// Returns when news is expected next.
    fn next_news(&self, now: Instant) -> Instant {
        let expected = self.news.as_ref().map(|news| news.at + self.news_interval);
        expected.map_or(now, |expected| expected.max(now))
    }

    fn refusal(
        &self,
        ticket: TicketId,
        request: &GateRequest,
        spread: f64,
        now: Instant,
    ) -> GateAction {
        let share = self.share(request.rank, request.organisation.as_ref(), now);
        let refused_rate = self.current_news(now).map_or(0.0, |news| news.refused_rate);
        let load = (share, refused_rate);
        GateAction::Refuse {
            ticket,
            retry_after: retry_delay(&self.settings, load, spread, request.max_retry_delay),
        }
    }

    /// Refuses the requests whose wait has ended and those that gave way to others.
    fn end_waits<Draw>(&mut self, draws: &mut Draw, now: Instant) -> Vec<GateAction>
    where
        Draw: FnMut() -> f64,
    {
        let mut ended = std::mem::take(&mut self.displaced);
        ended.extend(std::iter::from_fn(|| self.waiting.pop_ended(now)));
        let refusals = ended.into_iter().map(|(ticket, waiting)| {
            let spread = self.checked_draw(draws());
            self.refusal(ticket, &waiting.request, spread, now)
        });
        refusals.collect()
    }

    /// Lets requests that wait for room look for it again, as far as the known room goes.
    fn release_for_room(&mut self, actions: &mut Vec<GateAction>, now: Instant) {
        let interval = self.settings.release_interval;
        let is_early = self
            .released_at
            .is_some_and(|at| now.saturating_duration_since(at) < interval);
        if is_early || !self.waiting.waits_for_room() {
            return;
        }
        self.released_at = Some(now);
        let news = self.current_news(now);
        let room = news.map(|news| {
            let target = news.terms.target(&news.room);
            let ending = news.terms.ending(&news.forecast, interval);
            (target - news.forecast.committed + ending, target)
        });
        for ticket in self.waiting.tickets(WaitReason::Room) {
            let work = self
                .waiting
                .get(ticket)
                .map_or(0.0, |waiting| waiting.request.work);
            let is_beyond = room.is_some_and(|(supply, target)| {
                // Work beyond the whole target would never fit.
                self.admitted_work + work.min(target) > supply
            });
            if is_beyond {
                break;
            }
            // Its work is not committed yet, so it counts as offered again.
            if let Some(WaitingRequest { request, .. }) = self.waiting.release(ticket) {
                let organisation = request.organisation.as_ref();
                self.demand.record(request.rank, organisation, work, now);
            }
            self.admitted_work += work;
            actions.push(GateAction::Admit(ticket));
        }
    }

    /// Decides again on the requests that were not admitted.
    ///
    /// The shares of equal requests are added up and given to them in order, so that the first ones
    /// are served. A request that is alone is admitted with the probability of its share.
    fn decide_again<Draw>(&mut self, actions: &mut Vec<GateAction>, draws: &mut Draw, now: Instant)
    where
        Draw: FnMut() -> f64,
    {
        let mut budgets: BTreeMap<(AdmissionRank, Option<OrganisationId>), f64> = BTreeMap::new();
        let tickets = self.waiting.tickets(WaitReason::Share);
        for &ticket in &tickets {
            let Some(waiting) = self.waiting.get(ticket) else {
                continue;
            };
            let GateRequest {
                rank,
                organisation,
                work,
                ..
            } = waiting.request.clone();
            self.demand.record(rank, organisation.as_ref(), work, now);
            let share = self.share(rank, organisation.as_ref(), now);
            if share < self.settings.min_wait_share {
                let refusal = self.drop_waiting(ticket, draws(), now);
                actions.extend(refusal);
            } else {
                *budgets.entry((rank, organisation)).or_default() += share * work;
            }
        }
        for ticket in tickets {
            let Some(waiting) = self.waiting.get(ticket) else {
                continue;
            };
            let request = &waiting.request;
            let (work, ends) = (request.work, waiting.ends);
            let key = (request.rank, request.organisation.clone());
            let budget = budgets.entry(key).or_default();
            let draw = draws();
            let is_admitted = *budget >= work * (1.0 - ROUNDING) || draw < *budget / work;
            *budget = (*budget - work).max(0.0);
            if is_admitted {
                self.waiting.release(ticket);
                self.admitted_work += work;
                actions.push(GateAction::Admit(ticket));
            } else if ends <= self.next_news(now) {
                let refusal = self.drop_waiting(ticket, draw, now);
                actions.extend(refusal);
            }
        }
    }

    fn drop_waiting(&mut self, ticket: TicketId, draw: f64, now: Instant) -> Option<GateAction> {
        let waiting = self.waiting.remove(ticket)?;
        let spread = self.checked_draw(draw);
        Some(self.refusal(ticket, &waiting.request, spread, now))
    }

    /// Returns a draw in 0 to 1, and keeps its digits for decisions without a draw.
    fn checked_draw(&mut self, draw: f64) -> f64 {
        let draw = if draw.is_finite() {
            draw.clamp(0.0, 1.0)
        } else {
            0.5
        };
        self.spread_state ^= draw.to_bits();
        draw
    }

    /// Returns a number in 0 to 1 that differs from decision to decision (`SplitMix64`).
    fn next_spread(&mut self) -> f64 {
        self.spread_state = self.spread_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed =
            (self.spread_state ^ (self.spread_state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)) as f64 / u64::MAX as f64
    }
}
