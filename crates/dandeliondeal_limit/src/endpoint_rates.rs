//! Limits on requests a second that endpoints state, shared among instances.
//!
//! An endpoint states the limit for all instances together. Each instance sends at its own recent
//! rate, plus an equal part of what the others leave unused. So the rates of all add up to the limit,
//! and follow the demand. An instance that does not hear of the others takes an equal part.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, ServiceId};
use serde::{Deserialize, Serialize};

/// Minimum number of callers a second that are told to come back.
const MIN_RETURN_RATE: f64 = 0.1;
/// Number of instances that send to an endpoint, for each request a second of its limit.
const SENDERS_PER_LIMIT: f64 = 1.5;
/// Number of instances that send to an endpoint with a limit near zero.
const MIN_SENDERS: usize = 3;
/// Maximum number of instances that send to an endpoint.
const MAX_SENDERS: f64 = 1e6;

/// Settings of [`EndpointRates`].
#[derive(Clone, Debug)]
pub struct RateSettings {
    /// Time constant of the recent rates.
    pub rate_window: Duration,
    /// Time after an endpoint last stated its limit until the limit ends, unless requests are rarer.
    pub limit_term: Duration,
    /// Number of intervals between two requests at the limit, after which the limit ends.
    pub limit_intervals: f64,
    /// Lowest limit that is kept, in requests a second: requests have to find out whether it still
    /// holds.
    pub min_limit: f64,
    /// Time for which what others send is known.
    pub report_max_age: Duration,
    /// Part of an equal share that an instance may always send.
    pub min_share: f64,
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
            min_limit: 0.25,
            report_max_age: Duration::from_millis(1_200),
            min_share: 0.25,
            burst_time: Duration::from_millis(250),
            max_return_time: Duration::from_secs(8),
            max_endpoints: 1_024,
        }
    }
}

/// What instances report of one endpoint with a limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateClaim {
    /// Limit in requests a second.
    pub limit: f64,
    /// Time since the endpoint last stated it, in milliseconds.
    pub age_ms: u64,
    /// Requests a second that the reporting instances sent recently.
    pub sent_rate: f64,
}

impl RateClaim {
    /// Adds the claim of other instances.
    pub fn add(&mut self, other: &Self) {
        if other.age_ms < self.age_ms {
            self.limit = other.limit;
            self.age_ms = other.age_ms;
        }
        self.sent_rate += other.sent_rate;
    }
}

/// Claims by endpoint.
pub type RateReport = BTreeMap<EndpointId, RateClaim>;

/// Part of the instances that send to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SenderShare {
    /// Number of instances that send to the endpoint.
    pub senders: usize,
    /// Whether this instance is one of them.
    pub is_sender: bool,
}

#[derive(Clone, Copy, Debug)]
struct EndpointRate {
    limit: f64,
    stated_at: Instant,
    share: SenderShare,
    /// Requests that this instance sent, decaying with the rate window.
    sent: f64,
    /// Requests that it may send now; negative after requests that could not wait.
    available: f64,
    updated_at: Instant,
    /// Requests a second that the other instances sent, and the time of the report.
    peers: Option<(Instant, f64)>,
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

/// Returns how many of `instances` may send to an endpoint with this limit.
///
/// After a pause each of them may send a request at the same moment.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to a small positive range"
)]
pub fn sender_count(limit: f64, instances: usize) -> usize {
    let by_limit = (limit * SENDERS_PER_LIMIT).clamp(0.0, MAX_SENDERS) as usize + MIN_SENDERS;
    by_limit.min(instances.max(1))
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
        self.add_limit(endpoint, limit, now, now, share)
    }

    /// Returns the limit of an endpoint, if it has one.
    pub fn limit(&self, endpoint: &EndpointId, now: Instant) -> Option<f64> {
        let entry = self.endpoints.get(endpoint)?;
        self.is_valid(entry, now).then_some(entry.limit)
    }

    /// Records a request to an endpoint. It counts as well if the endpoint has no room.
    pub fn record_request(&mut self, endpoint: &EndpointId, now: Instant) {
        let settings = &self.settings;
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            entry.advance(settings, now);
            entry.sent += 1.0;
            entry.available -= 1.0;
        }
    }

    /// Returns the time until this instance may send a request to an endpoint; zero if it may now,
    /// `None` if another instance sends to it.
    pub fn wait(&self, endpoint: &EndpointId, now: Instant) -> Option<Duration> {
        let Some(entry) = self.endpoints.get(endpoint) else {
            return Some(Duration::ZERO);
        };
        if !self.is_valid(entry, now) {
            return Some(Duration::ZERO);
        }
        if !entry.share.is_sender {
            return None;
        }
        let mut current = *entry;
        current.advance(&self.settings, now);
        let missing = 1.0 - current.available;
        let rate = current.rate(&self.settings, now);
        let is_open = missing <= f64::EPSILON;
        let wait = if is_open {
            0.0
        } else {
            missing / rate.max(1e-3)
        };
        Some(Duration::from_secs_f64(wait))
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
        let valid = self
            .endpoints
            .iter()
            .filter(|(_, entry)| self.is_valid(entry, now));
        let claims = valid.map(|(endpoint, entry)| {
            let mut current = *entry;
            current.advance(&self.settings, now);
            let age = now.saturating_duration_since(entry.stated_at);
            let claim = RateClaim {
                limit: entry.limit,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                sent_rate: current.sent_rate(&self.settings),
            };
            (EndpointId::clone(endpoint), claim)
        });
        claims.collect()
    }

    /// Sets what all instances sent; `local` is the part of this instance in it.
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
            let stated_at = now
                .checked_sub(Duration::from_millis(claim.age_ms))
                .unwrap_or(now);
            let share = || share_of(endpoint, claim.limit);
            self.add_limit(endpoint, claim.limit, stated_at, now, share);
            if let Some(entry) = self.endpoints.get_mut(endpoint) {
                let own_rate = local.get(endpoint).map_or(0.0, |own| own.sent_rate);
                entry.advance(&self.settings, now);
                entry.peers = Some((now, (claim.sent_rate - own_rate).max(0.0)));
            }
        }
        self.set_shares(share_of, now);
    }

    /// Sets which instances send to the endpoints, and removes limits that have ended.
    pub fn set_shares<Share>(&mut self, share_of: Share, now: Instant)
    where
        Share: Fn(&EndpointId, f64) -> SenderShare,
    {
        for (endpoint, entry) in &mut self.endpoints {
            entry.advance(&self.settings, now);
            entry.share = share_of(endpoint, entry.limit);
        }
        self.remove_ended(now);
    }

    /// Returns the number of endpoints with a limit.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint has a limit.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn add_limit<Share>(
        &mut self,
        endpoint: &EndpointId,
        limit: f64,
        stated_at: Instant,
        now: Instant,
        share: Share,
    ) -> bool
    where
        Share: FnOnce() -> SenderShare,
    {
        let limit = limit.clamp(self.settings.min_limit, f64::MAX);
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            entry.advance(&self.settings, now);
            if stated_at >= entry.stated_at {
                entry.limit = limit;
                entry.stated_at = stated_at;
            }
            return false;
        }
        if self.endpoints.len() >= self.settings.max_endpoints {
            return false;
        }
        let entry = EndpointRate {
            limit,
            stated_at,
            share: share(),
            sent: 0.0,
            available: 0.0,
            updated_at: now,
            peers: None,
        };
        let is_new = self.is_valid(&entry, now);
        if is_new {
            self.endpoints.insert(EndpointId::clone(endpoint), entry);
        }
        is_new
    }

    fn is_valid(&self, entry: &EndpointRate, now: Instant) -> bool {
        let interval = Duration::from_secs_f64(self.settings.limit_intervals / entry.limit);
        let term = self.settings.limit_term.max(interval);
        now.saturating_duration_since(entry.stated_at) < term
    }

    fn remove_ended(&mut self, now: Instant) {
        let mut endpoints = std::mem::take(&mut self.endpoints);
        endpoints.retain(|_, entry| self.is_valid(entry, now));
        self.endpoints = endpoints;
    }
}

impl EndpointRate {
    fn sent_rate(&self, settings: &RateSettings) -> f64 {
        self.sent / settings.rate_window.as_secs_f64()
    }

    /// Returns the requests a second that this instance may send.
    fn rate(&self, settings: &RateSettings, now: Instant) -> f64 {
        if !self.share.is_sender {
            return 0.0;
        }
        let equal_share = self.limit / self.share.senders.max(1) as f64;
        let peers = self
            .peers
            .filter(|(at, _)| now.saturating_duration_since(*at) < settings.report_max_age);
        let Some((_, peer_rate)) = peers else {
            return equal_share;
        };
        let own_rate = self.sent_rate(settings).min(self.limit);
        let unused = self.limit - peer_rate - own_rate;
        let rate = own_rate + unused / self.share.senders.max(1) as f64;
        rate.clamp(equal_share * settings.min_share, self.limit)
    }

    fn advance(&mut self, settings: &RateSettings, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let rate = self.rate(settings, now);
        let capacity = (rate * settings.burst_time.as_secs_f64()).max(1.0);
        self.available = (self.available + rate * elapsed).min(capacity);
        self.sent *= (-elapsed / settings.rate_window.as_secs_f64()).exp();
        self.updated_at = now;
    }
}
