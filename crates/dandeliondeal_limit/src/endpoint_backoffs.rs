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
    /// Time by which the registration of a process may follow its start: a pause that was asked for
    /// within this time may be that of the new process.
    pub registration_lag: Duration,
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
            registration_lag: Duration::from_secs(3),
            memory_time: Duration::from_mins(10),
            max_endpoints: 4_096,
        }
    }
}

/// Pause that an endpoint asked for.
#[derive(Clone, Copy, Debug)]
struct EndpointBackoff {
    asked_at: Instant,
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
/// backoffs.record_backoff(&endpoint, Duration::from_secs(2), now);
/// let later = now + Duration::from_millis(500);
/// assert_eq!(backoffs.wait(&endpoint, later), Some(Duration::from_millis(1_500)));
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

    /// Records that an endpoint asked for a pause; an earlier one that ends later still holds.
    ///
    /// Returns the time that was left of an earlier pause; zero if there is none.
    pub fn record_backoff(
        &mut self,
        endpoint: &EndpointId,
        pause: Duration,
        now: Instant,
    ) -> Duration {
        let earlier_left = self.pause_left(endpoint, now).unwrap_or_default();
        let pause = pause.min(self.settings.max_pause).max(earlier_left);
        self.make_room(endpoint, now);
        let entry = EndpointBackoff {
            asked_at: now,
            until: now + pause,
            probed_at: None,
        };
        self.entries.insert(EndpointId::clone(endpoint), entry);
        earlier_left
    }

    /// Records that another process of an endpoint is registered, which keeps no pause of the former.
    pub fn record_restart(&mut self, endpoint: &EndpointId, now: Instant) {
        let lag = self.settings.registration_lag;
        let entry = self.entries.get(endpoint);
        if entry.is_some_and(|entry| entry.asked_at + lag <= now) {
            self.entries.remove(endpoint);
        }
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

    /// Returns the rest of the pause that an endpoint asked for; `None` if there is none.
    pub fn pause_left(&self, endpoint: &EndpointId, now: Instant) -> Option<Duration> {
        let entry = self.entries.get(endpoint)?;
        time_left(entry.until, now)
    }

    /// Returns the time until an endpoint may be sent a request; `None` if it may be now.
    pub fn wait(&self, endpoint: &EndpointId, now: Instant) -> Option<Duration> {
        let entry = self.entries.get(endpoint)?;
        let probe_end = entry.probed_at.map(|at| at + self.settings.probe_time);
        time_left(probe_end.unwrap_or(entry.until), now)
    }

    /// Returns the endpoints to which nothing may be sent now, with the time left.
    pub fn waiting(&self, now: Instant) -> impl Iterator<Item = (&EndpointId, Duration)> {
        let endpoints = self.entries.keys();
        endpoints.filter_map(move |endpoint| Some((endpoint, self.wait(endpoint, now)?)))
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

/// Returns the time until `end`; `None` if it has passed.
fn time_left(end: Instant, now: Instant) -> Option<Duration> {
    let left = end.saturating_duration_since(now);
    (!left.is_zero()).then_some(left)
}
