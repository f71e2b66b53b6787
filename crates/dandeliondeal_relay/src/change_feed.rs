//! Recent changes of one kind of store objects, which a hub serves to its members.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use dandeliondeal_types::{KindChanges, KindEvent, Version};
use serde::{Deserialize, Serialize};

/// Maximum age of the store's last answer for which a hub serves changes; beyond it the hub may be
/// cut off from the store.
///
/// A working hub gets an answer at least about every 0.9 s: a watch of up to 500 ms and, after
/// changes, a pause of 350 ms. The limit also bounds the delay after which members of a hub that is
/// cut off read the store themselves. They have to do so well before the time at which leaving
/// endpoints must no longer get new requests.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_200);
/// Maximum number of stored changes; members lag by less than a second.
const MAX_EVENTS: usize = 2_000;
/// Maximum size of the changes in one reply, in bytes.
///
/// Members read larger ones from the store, whose network link has more bandwidth than a hub's.
const MAX_REPLY_BYTES: usize = 24 * 1024;

/// Reply of a hub to a member that asks for changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FeedReply {
    /// The store has not answered the hub recently, or the hub does not follow the kind.
    Unproven,
    /// The hub's changes do not reach back to the requested version, or are too large.
    ReadStore,
    /// The changes since the requested version, possibly none.
    Changes(KindChanges),
}

/// Changes of one kind, in the batches in which the store returned them.
#[derive(Debug, Default)]
pub struct ChangeFeed {
    /// Version after which all changes are stored.
    complete_after: Version,
    version: Version,
    batches: VecDeque<(Version, Vec<KindEvent>)>,
    event_count: usize,
    last_store_answer: Option<Instant>,
}

impl ChangeFeed {
    /// Discards all stored changes and restarts the feed at `version`.
    pub fn restart(&mut self, version: Version, now: Instant) {
        *self = Self {
            complete_after: version,
            version,
            last_store_answer: Some(now),
            ..Self::default()
        };
    }

    /// Adds the store's changes since the version `seen`.
    pub fn extend(&mut self, seen: Version, changes: &KindChanges, now: Instant) {
        if seen != self.version {
            self.restart(seen, now);
        }
        self.last_store_answer = Some(now);
        self.version = self.version.max(changes.version);
        if changes.events.is_empty() {
            return;
        }
        self.event_count += changes.events.len();
        self.batches
            .push_back((self.version, changes.events.clone()));
        while self.event_count > MAX_EVENTS
            && let Some((version, events)) = self.batches.pop_front()
        {
            self.complete_after = version;
            self.event_count -= events.len();
        }
    }

    /// Returns whether there are changes that a member at version `seen` does not have.
    pub fn has_changes_since(&self, seen: Version) -> bool {
        let last_batch = self.batches.back();
        last_batch.is_some_and(|(version, _)| *version > seen) || self.complete_after > seen
    }

    /// Returns the reply to a member at version `seen`.
    pub fn reply_since(&self, seen: Version, now: Instant) -> FeedReply {
        let is_current = self
            .last_store_answer
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_STORE_SILENCE);
        if !is_current {
            return FeedReply::Unproven;
        }
        if self.complete_after > seen {
            return FeedReply::ReadStore;
        }
        let batches = self.batches.iter().filter(|(version, _)| *version > seen);
        let events: Vec<KindEvent> = batches.flat_map(|(_, events)| events.clone()).collect();
        let bytes: usize = events.iter().map(|event| event.object.body.len()).sum();
        if bytes > MAX_REPLY_BYTES {
            return FeedReply::ReadStore;
        }
        FeedReply::Changes(KindChanges {
            events,
            version: self.version.max(seen),
        })
    }
}
