//! Limits on requests a second that endpoints state, shared among instances.
//!
//! An endpoint states the limit for all instances together. Each instance sends at its own recent
//! rate, plus an equal part of what the others leave unused. So the rates of all add up to the limit,
//! and follow the demand. Instances also count what all of them may send together, and pause after
//! more. An instance that does not hear of the others takes an equal part.
//!
//! A limit lapses some seconds after it was last stated. Requests keep to it until an answer shows that
//! it has ended: otherwise, where requests are rare, all instances would send at once after a lapse.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, ServiceId};

use crate::endpoint_rate::{EndpointRate, SenderShare};
use crate::rate_claim::{RateClaim, RateReport, age_ms};

/// Minimum number of callers a second that are told to come back.
const MIN_RETURN_RATE: f64 = 0.1;
/// Settings of [`EndpointRates`].
#[derive(Clone, Debug)]
pub struct RateSettings {
    /// Time constant of the recent rates.
    pub rate_window: Duration,
    /// Time after an endpoint last stated its limit until the limit ends, unless requests are rarer.
    pub limit_term: Duration,
    /// Number of intervals between two requests at the limit, after which the limit ends.
    pub limit_intervals: f64,
    /// Time after an endpoint last stated its limit for which requests keep to it, unless an answer
    /// shows that the limit has ended.
    pub lapsed_term: Duration,
    /// Lowest limit that is kept, in requests a second: requests have to find out whether it still
    /// holds.
    pub min_limit: f64,
    /// Time for which what others send is known.
    pub report_max_age: Duration,
    /// Part of an equal share that an instance may always send.
    pub min_share: f64,
    /// Rate at which requests become available to an instance that hears what the others send; at
    /// most the limit. At 0.5, demand of 1.5 times 3 a second, spread over 9 instances, used 0.78 of
    /// the limit.
    pub min_fill_rate: f64,
    /// Requests that may be sent at once after a pause, as time at the instance's rate; at least one.
    pub burst_time: Duration,
    /// Maximum time after which callers are told to come back.
    pub max_return_time: Duration,
    /// Maximum number of endpoints with a limit.
    pub max_endpoints: usize,
}

impl Default for RateSettings {
    fn default() -> Self {
        Self {
            rate_window: Duration::from_secs(2),
            limit_term: Duration::from_secs(3),
            limit_intervals: 3.0,
            lapsed_term: Duration::from_mins(10),
            min_limit: 0.25,
            report_max_age: Duration::from_millis(1_200),
            min_share: 0.25,
            min_fill_rate: 1.0,
            burst_time: Duration::from_millis(250),
            max_return_time: Duration::from_secs(8),
            max_endpoints: 1_024,
        }
    }
}

impl RateSettings {
    /// Returns the part of the recent requests that still counts after `elapsed`.
    pub(crate) fn decay(&self, elapsed: Duration) -> f64 {
        (-elapsed.as_secs_f64() / self.rate_window.as_secs_f64()).exp()
    }
}

/// Limits of endpoints, with the rates at which this instance and the others send to them.
#[derive(Clone, Debug)]
pub struct EndpointRates {
    settings: RateSettings,
    endpoints: HashMap<EndpointId, EndpointRate>,
    /// Time from which a service has room for another caller that was told to come back.
    next_returns: HashMap<ServiceId, Instant>,
}

impl Default for EndpointRates {
    fn default() -> Self {
        Self::new(RateSettings::default())
    }
}

impl EndpointRates {
    /// Creates a table without limits.
    pub fn new(settings: RateSettings) -> Self {
        Self {
            settings,
            endpoints: HashMap::new(),
            next_returns: HashMap::new(),
        }
    }

    /// Records that an endpoint states a limit; returns whether it had none before.
    ///
    /// `share` is called for a new limit; it holds until the next call of [`Self::set_shares`].
    pub fn record_limit<Share>(
        &mut self,
        endpoint: &EndpointId,
        limit: f64,
        now: Instant,
        share: Share,
    ) -> bool
    where
        Share: FnOnce() -> SenderShare,
    {
        let is_new = self.limit(endpoint, now).is_none();
        let limit = limit.clamp(self.settings.min_limit, f64::MAX);
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            entry.advance(&self.settings, now);
            entry.limit = limit;
            entry.stated_at = now;
            return is_new;
        }
        self.has_room(now) && {
            let entry = EndpointRate::new(limit, now, share(), now);
            self.endpoints.insert(EndpointId::clone(endpoint), entry);
            true
        }
    }

    /// Records that an endpoint answers without a limit.
    pub fn record_unstated(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            entry.unstated_at = Some(now);
        }
    }

    /// Returns the limit that an endpoint states, if any.
    pub fn limit(&self, endpoint: &EndpointId, now: Instant) -> Option<f64> {
        let entry = self.endpoints.get(endpoint)?;
        entry.is_stated(&self.settings, now).then_some(entry.limit)
    }

    /// Records a request to an endpoint. It counts as well if the endpoint has no room.
    pub fn record_request(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            entry.record_request(&self.settings, now);
        }
    }

    /// Returns the time until this instance may send a request to an endpoint; zero if it may now,
    /// `None` if another instance sends to it.
    pub fn wait(&self, endpoint: &EndpointId, now: Instant) -> Option<Duration> {
        match self.endpoints.get(endpoint) {
            Some(entry) if entry.is_kept(&self.settings, now) => entry.wait(&self.settings, now),
            _ => Some(Duration::ZERO),
        }
    }

    /// Returns the endpoints to which this instance may send nothing now.
    pub fn full_endpoints(&self, now: Instant) -> Vec<EndpointId> {
        let endpoints = self.endpoints.keys();
        let full = endpoints.filter(|endpoint| self.wait(endpoint, now) != Some(Duration::ZERO));
        full.cloned().collect()
    }

    /// Returns the time until one of a service's endpoints without room has room for another request.
    ///
    /// Each call returns a later time, as the room is promised to one caller each.
    pub fn reserve_return(
        &mut self,
        service: &ServiceId,
        endpoints: &[EndpointId],
        now: Instant,
    ) -> Duration {
        let waits = endpoints
            .iter()
            .filter_map(|endpoint| self.wait(endpoint, now));
        let room_at = now + waits.min().unwrap_or(self.settings.limit_term);
        let entries = endpoints
            .iter()
            .filter_map(|endpoint| self.endpoints.get(endpoint));
        let rate: f64 = entries.map(|entry| entry.rate(&self.settings, now)).sum();
        let interval = Duration::from_secs_f64(1.0 / rate.max(MIN_RETURN_RATE));
        let next = self.next_returns.get(service).copied().unwrap_or(now);
        let return_at = next.max(room_at);
        let limit = now + self.settings.max_return_time;
        self.next_returns.retain(|_, at| *at > now);
        self.next_returns
            .insert(ServiceId::clone(service), (return_at + interval).min(limit));
        return_at.saturating_duration_since(now)
    }

    /// Returns what this instance reports to the others; empty without limits.
    pub fn report(&self, now: Instant) -> RateReport {
        let known = self
            .endpoints
            .iter()
            .filter(|(_, entry)| entry.is_reported(&self.settings, now));
        let claims = known.map(|(endpoint, entry)| {
            let mut current = *entry;
            current.advance(&self.settings, now);
            let claim = RateClaim {
                limit: entry.limit,
                age_ms: age_ms(entry.stated_at, now),
                sent_rate: current.sent_rate(&self.settings),
                unstated_ms: entry.unstated_at.map(|at| age_ms(at, now)),
            };
            (EndpointId::clone(endpoint), claim)
        });
        claims.collect()
    }

    /// Sets what all instances sent; `local` is the part of this instance in it.
    ///
    /// Also sets which instances send to the endpoints, as [`Self::set_shares`] does: `share_of` is
    /// called once for each endpoint.
    pub fn set_fleet<Share>(
        &mut self,
        fleet: &RateReport,
        local: &RateReport,
        share_of: Share,
        now: Instant,
    ) where
        Share: Fn(&EndpointId, f64) -> SenderShare,
    {
        for (endpoint, claim) in fleet {
            self.merge_claim(endpoint, claim, now);
            if let Some(entry) = self.endpoints.get_mut(endpoint) {
                let own_rate = local.get(endpoint).map_or(0.0, |own| own.sent_rate);
                entry.record_peers(claim.sent_rate - own_rate, &self.settings, now);
            }
        }
        self.set_shares(share_of, now);
    }

    /// Sets which instances send to the endpoints, and removes limits that have ended.
    pub fn set_shares<Share>(&mut self, share_of: Share, now: Instant)
    where
        Share: Fn(&EndpointId, f64) -> SenderShare,
    {
        let settings = &self.settings;
        self.endpoints
            .retain(|_, entry| entry.is_reported(settings, now));
        for (endpoint, entry) in &mut self.endpoints {
            entry.advance(settings, now);
            entry.share = share_of(endpoint, entry.limit);
        }
    }

    /// Returns the number of endpoints that state a limit.
    pub fn len(&self, now: Instant) -> usize {
        let entries = self.endpoints.values();
        let stated = entries.filter(|entry| entry.is_stated(&self.settings, now));
        stated.count()
    }

    /// Returns whether no endpoint states a limit.
    pub fn is_empty(&self, now: Instant) -> bool {
        self.len(now) == 0
    }

    /// Takes over what others know of an endpoint's limit. The share of a new entry is set later.
    fn merge_claim(&mut self, endpoint: &EndpointId, claim: &RateClaim, now: Instant) {
        let limit = claim.limit.clamp(self.settings.min_limit, f64::MAX);
        let (stated_at, unstated_at) = (claim.stated_at(now), claim.unstated_at(now));
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            entry.advance(&self.settings, now);
            if stated_at >= entry.stated_at {
                entry.limit = limit;
                entry.stated_at = stated_at;
            }
            entry.unstated_at = entry.unstated_at.max(unstated_at);
            return;
        }
        let share = SenderShare {
            rank: 0,
            instances: usize::MAX,
        };
        let mut entry = EndpointRate::new(limit, stated_at, share, now);
        entry.unstated_at = unstated_at;
        if entry.is_kept(&self.settings, now) && self.has_room(now) {
            self.endpoints.insert(EndpointId::clone(endpoint), entry);
        }
    }

    /// Returns whether another endpoint can be added; limits that are not stated any more give way.
    fn has_room(&mut self, now: Instant) -> bool {
        let settings = &self.settings;
        if self.endpoints.len() >= settings.max_endpoints {
            self.endpoints
                .retain(|_, entry| entry.is_stated(settings, now));
        }
        self.endpoints.len() < settings.max_endpoints
    }
}
