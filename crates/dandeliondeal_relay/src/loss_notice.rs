//! Notices of lost engines, and the table of recent ones. Performs no input or output.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, InstanceId};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Time for which a notice is kept and passed on.
pub const NOTICE_LIFE: Duration = Duration::from_secs(5);
/// Minimum time between two notices of one engine and incarnation.
pub const NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of notices in a message.
pub const MAX_MESSAGE_NOTICES: usize = 64;
/// Maximum number of messages a second.
pub const MAX_MESSAGE_RATE: usize = 20;
/// Maximum number of notices in the table; the oldest one is removed first.
const MAX_NOTICES: usize = 1_024;

/// What shows that an engine is lost.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LossEvidence {
    /// A connection was refused.
    #[display("refused")]
    Refused,
    /// A connection was reset, and a new one refused.
    #[display("reset")]
    Reset,
    /// Another process is at the engine's address.
    #[display("superseded")]
    Superseded,
    /// The engine does not answer, or a later version names evidence that this one does not know.
    #[display("silent")]
    #[serde(other)]
    Silent,
}

impl LossEvidence {
    /// Returns whether the engine's process has certainly ended.
    pub fn is_certain(self) -> bool {
        self != Self::Silent
    }
}

/// Notice of a lost engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LossNotice {
    /// Id of the engine.
    pub engine: EndpointId,
    /// Start of the lost process as in its registration; `None` if the observer had none.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// What shows the loss.
    pub evidence: LossEvidence,
    /// Instance that observed the loss.
    pub observer: InstanceId,
    /// Time since the observation in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// Whether a hub infers the loss from the silent streams of several instances.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_inferred: bool,
}

impl LossNotice {
    /// Returns how certain the loss is; a notice is news if it is more certain than an earlier one.
    fn certainty(&self) -> u8 {
        match (self.evidence.is_certain(), self.is_inferred) {
            (true, _) => 2,
            (false, false) => 1,
            (false, true) => 0,
        }
    }
}

/// Engine and incarnation.
type LossKey = (EndpointId, Option<u64>);

#[derive(Debug)]
struct NoticeEntry {
    sequence: u64,
    notice: LossNotice,
    observed_at: Instant,
}

/// Recent notices in the order of their arrival.
#[derive(Debug, Default)]
pub struct NoticeTable {
    last_sequence: u64,
    entries: VecDeque<NoticeEntry>,
    /// Time of the latest observation, and its certainty.
    latest: HashMap<LossKey, (Instant, u8)>,
}

impl NoticeTable {
    /// Adds a notice; returns whether it is news.
    ///
    /// A notice is no news if it is too old, or if another one of the same engine and incarnation was
    /// observed within [`NOTICE_INTERVAL`] on evidence at least as certain. A copy that arrives late
    /// on another path has about the same time of observation as the first one.
    pub fn add(&mut self, notice: LossNotice, now: Instant) -> bool {
        self.remove_expired(now);
        let age = Duration::from_millis(notice.age_ms);
        let Some(observed_at) = now.checked_sub(age).filter(|_| age < NOTICE_LIFE) else {
            return false;
        };
        let key = (EndpointId::clone(&notice.engine), notice.incarnation);
        let certainty = notice.certainty();
        if let Some((latest, known)) = self.latest.get(&key)
            && observed_at < *latest + NOTICE_INTERVAL
            && certainty <= *known
        {
            return false;
        }
        self.latest.insert(key, (observed_at, certainty));
        self.last_sequence += 1;
        self.entries.push_back(NoticeEntry {
            sequence: self.last_sequence,
            notice,
            observed_at,
        });
        if self.entries.len() > MAX_NOTICES {
            self.remove_first();
        }
        true
    }

    /// Returns the notices after `sequence`, at most [`MAX_MESSAGE_NOTICES`], and the sequence number
    /// of the last one.
    pub fn since(&mut self, sequence: u64, now: Instant) -> (Vec<LossNotice>, u64) {
        self.remove_expired(now);
        let start = if sequence > self.last_sequence {
            0
        } else {
            sequence
        };
        let entries = self.entries.iter();
        let newer = entries.filter(|entry| entry.sequence > start);
        let newer: Vec<&NoticeEntry> = newer.take(MAX_MESSAGE_NOTICES).collect();
        let last = newer.last().map_or(start, |entry| entry.sequence);
        let notices = newer.into_iter().map(|entry| {
            let age = now.saturating_duration_since(entry.observed_at);
            LossNotice {
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                ..entry.notice.clone()
            }
        });
        (notices.collect(), last)
    }

    /// Removes the inferred notices of an engine that has given a sign of life since.
    pub fn withdraw(&mut self, engine: &EndpointId) {
        self.entries
            .retain(|entry| !entry.notice.is_inferred || entry.notice.engine != *engine);
    }

    /// Returns the sequence number of the latest notice.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the number of notices.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_expired =
            |entry: &NoticeEntry| now.saturating_duration_since(entry.observed_at) >= NOTICE_LIFE;
        while self.entries.front().is_some_and(is_expired) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        let Some(entry) = self.entries.pop_front() else {
            return;
        };
        let key = (entry.notice.engine, entry.notice.incarnation);
        let latest = self.latest.get(&key);
        if latest.is_some_and(|(at, _)| *at == entry.observed_at) {
            self.latest.remove(&key);
        }
    }
}

/// Limits messages to [`MAX_MESSAGE_RATE`] in any second.
#[derive(Debug, Default)]
pub struct MessageRate {
    sent: VecDeque<Instant>,
}

impl MessageRate {
    /// Counts a message; returns how long it has to wait before it may be sent.
    pub fn reserve(&mut self, now: Instant) -> Duration {
        let at = if self.sent.len() < MAX_MESSAGE_RATE {
            now
        } else {
            let oldest = self.sent.pop_front();
            oldest.map_or(now, |oldest| now.max(oldest + Duration::from_secs(1)))
        };
        self.sent.push_back(at);
        at.saturating_duration_since(now)
    }
}
