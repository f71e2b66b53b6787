//! The latest changes of one kind, as a hub passes them on.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use dandeliondeal_types::{KindChanges, KindEvent, Version};
use serde::{Deserialize, Serialize};

/// Age of the store's last answer beyond which a hub tells nothing: it may be cut off.
///
/// A hub in good order hears from the store after its pause between watches and a watch, 0.9 s. It
/// bounds how late a member of a hub that is cut off reads the store itself: well within the time
/// in which leaving endpoints must be left alone.
const PROOF_LIFE: Duration = Duration::from_millis(1_200);
/// Changes that are kept; members lag by less than a second.
const EVENT_LIMIT: usize = 2_000;
/// Bytes of changes that are passed on at once; members read larger ones from the store, whose
/// link is wider than a hub's.
const BODY_LIMIT: usize = 24 * 1024;

/// What a hub says of a kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FeedReply {
    /// The store has not answered the hub lately, or the hub does not follow the kind.
    Unproven,
    /// The hub's changes do not reach back to the version asked for, or are too large.
    ReadStore,
    /// The changes since, possibly none.
    Changes(KindChanges),
}

/// Changes of one kind, in batches as the store told them.
#[derive(Debug, Default)]
pub struct KindFeed {
    /// Version after which all changes are known.
    base: Version,
    version: Version,
    batches: VecDeque<(Version, Vec<KindEvent>)>,
    events: usize,
    proven: Option<Instant>,
}

impl KindFeed {
    /// Begins anew after a list of the kind.
    pub fn restart(&mut self, version: Version, now: Instant) {
        *self = Self {
            base: version,
            version,
            proven: Some(now),
            ..Self::default()
        };
    }

    /// Takes in the store's changes since `seen`.
    pub fn extend(&mut self, seen: Version, changes: &KindChanges, now: Instant) {
        if seen != self.version {
            self.restart(seen, now);
        }
        self.proven = Some(now);
        self.version = self.version.max(changes.version);
        if changes.events.is_empty() {
            return;
        }
        self.events += changes.events.len();
        self.batches
            .push_back((self.version, changes.events.clone()));
        while self.events > EVENT_LIMIT
            && let Some((version, events)) = self.batches.pop_front()
        {
            self.base = version;
            self.events -= events.len();
        }
    }

    /// Whether a member that has seen `seen` has something to be told.
    pub fn has_news(&self, seen: Version) -> bool {
        let last = self.batches.back();
        last.is_some_and(|(version, _)| *version > seen) || self.base > seen
    }

    /// What a member that has seen `seen` is told.
    pub fn since(&self, seen: Version, now: Instant) -> FeedReply {
        let is_proven = self
            .proven
            .is_some_and(|at| now.saturating_duration_since(at) < PROOF_LIFE);
        if !is_proven {
            return FeedReply::Unproven;
        }
        if self.base > seen {
            return FeedReply::ReadStore;
        }
        let batches = self.batches.iter().filter(|(version, _)| *version > seen);
        let events: Vec<KindEvent> = batches.flat_map(|(_, events)| events.clone()).collect();
        let bytes: usize = events.iter().map(|event| event.object.body.len()).sum();
        if bytes > BODY_LIMIT {
            return FeedReply::ReadStore;
        }
        FeedReply::Changes(KindChanges {
            events,
            version: self.version.max(seen),
        })
    }
}
