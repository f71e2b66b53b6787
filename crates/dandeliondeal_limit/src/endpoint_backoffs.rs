//! Pauses that endpoints asked this instance to make.
//!
//! An endpoint asks one instance to send it nothing for some time. When the time is over, one request
//! finds out whether the endpoint takes requests again; others follow once it has answered.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::EndpointId;

/// Settings of [`EndpointBackoffs`].
#[derive(Clone, Debug)]
pub struct BackoffSettings {
    /// Maximum time for which a pause is kept without being asked for again.
    pub max_pause: Duration,
    /// Time for which the first request after a pause is alone; another one follows if it has no
    /// answer by then.
    pub probe_time: Duration,
    /// Time after a pause for which its end is remembered.
    pub memory_time: Duration,
    /// Maximum number of endpoints.
    pub max_endpoints: usize,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            max_pause: Duration::from_hours(1),
            probe_time: Duration::from_millis(500),
            memory_time: Duration::from_mins(10),
            max_endpoints: 4_096,
        }
    }
}

/// Pause that one process of an endpoint asked for.
#[derive(Clone, Copy, Debug)]
struct EndpointBackoff {
    /// Start time of the process in milliseconds, as it registered.
    started_at_ms: u64,
    until: Instant,
    /// Time of the last request after the pause.
    probed_at: Option<Instant>,
}

/// Pauses by endpoint.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use dandeliondeal_limit::EndpointBackoffs;
///
/// let (endpoint, now) = ("desk-1".into(), Instant::now());
/// let mut backoffs = EndpointBackoffs::default();
/// backoffs.record_backoff(&endpoint, 1_000, Duration::from_secs(2), now);
/// let later = now + Duration::from_millis(500);
/// assert_eq!(backoffs.wait(&endpoint, 1_000, later), Some(Duration::from_millis(1_500)));
/// // Another process at the endpoint has asked for nothing.
/// assert_eq!(backoffs.wait(&endpoint, 2_000, later), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointBackoffs {
    settings: BackoffSettings,
    entries: HashMap<EndpointId, EndpointBackoff>,
}

impl EndpointBackoffs {
    /// Creates a table without pauses.
    pub fn new(settings: BackoffSettings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
        }
    }

    /// Records that a process asked for a pause; an earlier one that ends later still holds.
    ///
    /// Returns the time that was left of an earlier pause; zero if there is none.
    pub fn record_backoff(
        &mut self,
        endpoint: &EndpointId,
        started_at_ms: u64,
        pause: Duration,
        now: Instant,
    ) -> Duration {
        let earlier = self.entry(endpoint, started_at_ms);
        let earlier_end = earlier.map_or(now, |entry| entry.until.max(now));
        let until = earlier_end.max(now + pause.min(self.settings.max_pause));
        self.make_room(endpoint, now);
        let entry = EndpointBackoff {
            started_at_ms,
            until,
            probed_at: None,
        };
        self.entries.insert(EndpointId::clone(endpoint), entry);
        earlier_end.saturating_duration_since(now)
    }

    /// Records a request to an endpoint.
    pub fn record_request(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(entry) = self.entries.get_mut(endpoint)
            && entry.until <= now
        {
            entry.probed_at = Some(now);
        }
    }

    /// Records an answer that asks for no pause, which ends the wait after an earlier one.
    pub fn record_answer(&mut self, endpoint: &EndpointId, now: Instant) {
        // An answer within the pause belongs to a request that was sent before it.
        if self
            .entries
            .get(endpoint)
            .is_some_and(|entry| entry.until <= now)
        {
            self.entries.remove(endpoint);
        }
    }

    /// Returns the rest of the pause that a process asked for; `None` if there is none.
    pub fn pause_left(
        &self,
        endpoint: &EndpointId,
        started_at_ms: u64,
        now: Instant,
    ) -> Option<Duration> {
        let entry = self.entry(endpoint, started_at_ms)?;
        (now < entry.until).then(|| entry.until.saturating_duration_since(now))
    }

    /// Returns the time until a process may be sent a request; `None` if it may be now.
    pub fn wait(
        &self,
        endpoint: &EndpointId,
        started_at_ms: u64,
        now: Instant,
    ) -> Option<Duration> {
        let entry = self.entry(endpoint, started_at_ms)?;
        let probe_end = entry.probed_at.map(|at| at + self.settings.probe_time);
        let free_at = probe_end.unwrap_or(entry.until);
        (now < free_at).then(|| free_at.saturating_duration_since(now))
    }

    /// Returns the endpoints to which nothing may be sent now, with the start times of the processes
    /// that asked for it and the time left.
    pub fn waiting(&self, now: Instant) -> impl Iterator<Item = (&EndpointId, u64, Duration)> {
        self.entries.iter().filter_map(move |(endpoint, entry)| {
            let wait = self.wait(endpoint, entry.started_at_ms, now)?;
            Some((endpoint, entry.started_at_ms, wait))
        })
    }

    /// Returns whether no pause is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of endpoints whose pause is not over.
    pub fn len(&self, now: Instant) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| now < entry.until).count()
    }

    fn entry(&self, endpoint: &EndpointId, started_at_ms: u64) -> Option<&EndpointBackoff> {
        let entry = self.entries.get(endpoint)?;
        (entry.started_at_ms == started_at_ms).then_some(entry)
    }

    /// Removes pauses that ended long ago, and the one that ends first if the table is full.
    fn make_room(&mut self, endpoint: &EndpointId, now: Instant) {
        let memory_time = self.settings.memory_time;
        self.entries
            .retain(|_, entry| now < entry.until + memory_time);
        let is_full = self.entries.len() >= self.settings.max_endpoints;
        if is_full && !self.entries.contains_key(endpoint) {
            let first = self.entries.iter().min_by_key(|(_, entry)| entry.until);
            if let Some(first) = first.map(|(id, _)| EndpointId::clone(id)) {
                self.entries.remove(&first);
            }
        }
    }
}
