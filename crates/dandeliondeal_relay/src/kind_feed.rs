//! Recent changes of one kind of store objects, which a hub serves to its members.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use dandeliondeal_types::{KindChanges, KindEvent, Version};
use serde::{Deserialize, Serialize};

/// Maximum age of the store's last answer for which a hub serves changes; beyond it the hub may be
/// cut off from the store.
///
/// A working hub gets an answer every 0.9 s: its pause between watches plus one watch. The limit
/// also bounds how late the members of a hub that is cut off read the store themselves, which has
/// to be well within the time in which leaving endpoints must not get new requests.
const PROOF_LIFE: Duration = Duration::from_millis(1_200);
/// Maximum number of stored changes; members lag by less than a second.
const EVENT_LIMIT: usize = 2_000;
/// Maximum size of the changes in one reply, in bytes.
///
/// Members read larger ones from the store, whose network link has more bandwidth than a hub's.
const BODY_LIMIT: usize = 24 * 1024;

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
pub struct KindFeed {
    /// Version after which all changes are stored.
    base: Version,
    version: Version,
    batches: VecDeque<(Version, Vec<KindEvent>)>,
    events: usize,
    proven: Option<Instant>,
}

impl KindFeed {
    /// Restarts the feed after a full list of the kind.
    pub fn restart(&mut self, version: Version, now: Instant) {
        *self = Self {
            base: version,
            version,
            proven: Some(now),
            ..Self::default()
        };
    }

    /// Adds the store's changes since the version `seen`.
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

    /// Returns whether there are changes that a member at version `seen` does not have.
    pub fn has_news(&self, seen: Version) -> bool {
        let last = self.batches.back();
        last.is_some_and(|(version, _)| *version > seen) || self.base > seen
    }

    /// Returns the reply to a member at version `seen`.
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
