//! Limit of one endpoint, with what this instance and the others send to it.

use std::time::{Duration, Instant};

use crate::endpoint_rates::RateSettings;

/// Number of instances that send to an endpoint, for each request a second of its limit.
const SENDERS_PER_LIMIT: f64 = 1.5;
/// Number of instances that send to an endpoint with a limit near zero.
const MIN_SENDERS: usize = 3;
/// Number of instances that send to an endpoint, for each request a second of its limit, if they hear
/// what the others send: requests at the same moment are then followed by a pause of all.
const INFORMED_SENDERS_PER_LIMIT: f64 = 4.0;
/// Number of such instances with a limit near zero. Six at 0.25 a second are within the bound of 6.5
/// in 4 s; with three, 9 instances used 0.58 of the limit at three times the demand.
const MIN_INFORMED_SENDERS: usize = 5;
/// Requests that all instances may send at once after a pause, at a limit near zero.
const BASE_FLEET_BURST: f64 = 3.25;
/// Time at the limit by which this number grows. With 2 s, 26 requests were sent in 4 s at a limit of
/// 3 a second (23 allowed) when 9 instances began to send 200 a second.
const FLEET_BURST_SECONDS: f64 = 1.0;
/// Part of this number over which the instances are spread by rank.
const RANK_SPREAD: f64 = 0.3;
/// Maximum number of instances that send to an endpoint.
const MAX_SENDERS: f64 = 1e6;

/// Place of this instance among those that may send to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SenderShare {
    /// Number of instances before this one, in an order that all instances agree on.
    pub rank: usize,
    /// Number of instances; at least 1.
    pub instances: usize,
}

/// Returns how many of `instances` may send to an endpoint with this limit.
///
/// After a pause each of them may send a request at the same moment.
pub fn sender_count(limit: f64, instances: usize) -> usize {
    count_senders(limit * SENDERS_PER_LIMIT, MIN_SENDERS, instances)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to a small positive range"
)]
fn count_senders(by_limit: f64, min_senders: usize, instances: usize) -> usize {
    let senders = by_limit.clamp(0.0, MAX_SENDERS) as usize + min_senders;
    senders.min(instances.max(1))
}

/// What the other instances sent, as of their latest report.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    received_at: Instant,
    /// Requests that they sent, decaying with the rate window.
    sent: f64,
}

/// Limit of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointRate {
    pub(crate) limit: f64,
    pub(crate) stated_at: Instant,
    /// Time at which the endpoint last answered without a limit.
    pub(crate) unstated_at: Option<Instant>,
    pub(crate) share: SenderShare,
    /// Requests that this instance sent, decaying with the rate window.
    sent: f64,
    /// Requests that it may send now; negative after requests that could not wait.
    available: f64,
    /// Requests that all instances together may send now, as far as is known; negative after more of
    /// them than the limit allows.
    fleet_available: f64,
    updated_at: Instant,
    peers: Option<PeerReport>,
}

impl EndpointRate {
    pub(crate) fn new(limit: f64, stated_at: Instant, share: SenderShare, now: Instant) -> Self {
        Self {
            limit,
            stated_at,
            unstated_at: None,
            share,
            sent: 0.0,
            available: 0.0,
            fleet_available: 0.0,
            updated_at: now,
            peers: None,
        }
    }

    /// Returns whether the limit was stated within its term.
    pub(crate) fn is_stated(&self, settings: &RateSettings, now: Instant) -> bool {
        let interval = Duration::from_secs_f64(settings.limit_intervals / self.limit);
        let term = settings.limit_term.max(interval);
        now.saturating_duration_since(self.stated_at) < term
    }

    /// Returns whether requests keep to the limit: it is stated, or no answer has shown since that
    /// the endpoint has none.
    pub(crate) fn is_kept(&self, settings: &RateSettings, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.stated_at);
        self.is_stated(settings, now)
            || (age < settings.lapsed_term && !self.is_refuted(settings, now))
    }

    /// Returns whether an answer has shown that the endpoint has no limit any more.
    fn is_refuted(&self, settings: &RateSettings, now: Instant) -> bool {
        let is_later = self.unstated_at.is_some_and(|at| at > self.stated_at);
        is_later && !self.is_stated(settings, now)
    }

    /// Returns whether the entry still tells the others something.
    pub(crate) fn is_reported(&self, settings: &RateSettings, now: Instant) -> bool {
        let is_news = self
            .unstated_at
            .is_some_and(|at| now.saturating_duration_since(at) < settings.limit_term);
        is_news || self.is_kept(settings, now)
    }

    pub(crate) fn record_request(&mut self, settings: &RateSettings, now: Instant) {
        self.advance(settings, now);
        self.sent += 1.0;
        self.available -= 1.0;
        self.fleet_available -= 1.0;
    }

    /// Records the requests a second that the other instances sent.
    pub(crate) fn record_peers(&mut self, peer_rate: f64, settings: &RateSettings, now: Instant) {
        self.advance(settings, now);
        let sent = peer_rate.max(0.0) * settings.rate_window.as_secs_f64();
        if let Some(peers) = self.peers {
            // What remains of the earlier requests is not counted again. Without a bound, reports of
            // instances that return after a while would stop the endpoint.
            let age = now.saturating_duration_since(peers.received_at);
            let added = sent - peers.sent * settings.decay(age);
            let min_available = -(self.senders(settings, now) as f64);
            self.fleet_available = (self.fleet_available - added)
                .clamp(min_available.min(self.fleet_available), self.fleet_burst());
        }
        self.peers = Some(PeerReport {
            received_at: now,
            sent,
        });
    }

    /// Returns the time until this instance may send a request; zero if it may now, `None` if others
    /// send.
    pub(crate) fn wait(&self, settings: &RateSettings, now: Instant) -> Option<Duration> {
        if !self.is_sender(settings, now) {
            return None;
        }
        let mut current = *self;
        current.advance(settings, now);
        let own_wait = missing_time(1.0 - current.available, current.fill_rate(settings, now));
        let fleet_wait = if current.is_informed(settings, now) {
            let missing = current.min_fleet_available(settings, now) - current.fleet_available;
            missing_time(missing, current.limit)
        } else {
            0.0
        };
        Some(Duration::from_secs_f64(own_wait.max(fleet_wait)))
    }

    /// Returns the requests a second that this instance sent recently.
    pub(crate) fn sent_rate(&self, settings: &RateSettings) -> f64 {
        self.sent / settings.rate_window.as_secs_f64()
    }

    /// Returns the requests a second that this instance may send in the long run.
    pub(crate) fn rate(&self, settings: &RateSettings, now: Instant) -> f64 {
        if !self.is_sender(settings, now) {
            return 0.0;
        }
        let senders = self.senders(settings, now) as f64;
        let equal_share = self.limit / senders;
        let peers = self.peers.filter(|_| self.is_informed(settings, now));
        let Some(peers) = peers else {
            return equal_share;
        };
        let peer_rate = peers.sent / settings.rate_window.as_secs_f64();
        let own_rate = self.sent_rate(settings).min(self.limit);
        let unused = self.limit - peer_rate - own_rate;
        let rate = own_rate + unused / senders;
        rate.clamp(equal_share * settings.min_share, self.limit)
    }

    pub(crate) fn advance(&mut self, settings: &RateSettings, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let rate = self.fill_rate(settings, now);
        let capacity = (rate * settings.burst_time.as_secs_f64()).max(1.0);
        self.available = (self.available + rate * elapsed.as_secs_f64()).min(capacity);
        let fleet_available = self.fleet_available + self.limit * elapsed.as_secs_f64();
        self.fleet_available = fleet_available.min(self.fleet_burst());
        self.sent *= settings.decay(elapsed);
        self.updated_at = now;
    }

    /// Returns the rate at which requests become available to this instance.
    ///
    /// At a low limit, rates over the rate window say little, and the sum is bounded by what all
    /// instances may send.
    fn fill_rate(&self, settings: &RateSettings, now: Instant) -> f64 {
        let rate = self.rate(settings, now);
        if self.is_informed(settings, now) && self.is_sender(settings, now) {
            rate.max(settings.min_fill_rate.min(self.limit))
        } else {
            rate
        }
    }

    /// Returns the requests that must be available to all, for this instance to send one.
    ///
    /// Others may send at the same moment. As the number differs by rank, few do unless nothing was
    /// sent for a while.
    fn min_fleet_available(&self, settings: &RateSettings, now: Instant) -> f64 {
        let others = self.senders(settings, now).saturating_sub(1).max(1);
        let spread = (self.fleet_burst() - 1.0) * RANK_SPREAD;
        1.0 + spread * self.share.rank as f64 / others as f64
    }

    /// Returns how many requests all instances may send at once after a pause.
    fn fleet_burst(&self) -> f64 {
        BASE_FLEET_BURST + self.limit * FLEET_BURST_SECONDS
    }

    fn is_informed(&self, settings: &RateSettings, now: Instant) -> bool {
        self.peers.is_some_and(|peers| {
            now.saturating_duration_since(peers.received_at) < settings.report_max_age
        })
    }

    fn senders(&self, settings: &RateSettings, now: Instant) -> usize {
        if self.is_informed(settings, now) {
            let by_limit = self.limit * INFORMED_SENDERS_PER_LIMIT;
            count_senders(by_limit, MIN_INFORMED_SENDERS, self.share.instances)
        } else {
            sender_count(self.limit, self.share.instances)
        }
    }

    fn is_sender(&self, settings: &RateSettings, now: Instant) -> bool {
        self.share.rank < self.senders(settings, now)
    }
}

/// Returns the seconds until `missing` requests are available.
fn missing_time(missing: f64, rate: f64) -> f64 {
    if missing <= f64::EPSILON {
        0.0
    } else {
        missing / rate.max(1e-3)
    }
}
