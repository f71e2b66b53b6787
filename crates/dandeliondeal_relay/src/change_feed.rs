//! Recent changes of one kind of store objects, which a hub serves to its members.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use dandeliondeal_types::{KindChanges, KindEvent, StoreVersion};

use crate::feed_reply::{FeedReply, MemberPosition};

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

/// Time after a restore of the store in which a member that states no era may still be at a version from
/// before it.
///
/// It covers the longest time between two replies to a member.
const UNSTATED_ERA_TIME: Duration = Duration::from_secs(2);

/// Changes of one kind, in the batches in which the store returned them.
#[derive(Debug, Default)]
pub struct ChangeFeed {
    /// Version after which all changes are stored.
    complete_after: StoreVersion,
    version: StoreVersion,
    batches: VecDeque<(StoreVersion, Vec<KindEvent>)>,
    event_count: usize,
    last_store_answer: Option<Instant>,
    /// Time at which the feed continued in a later era.
    restored_at: Option<Instant>,
}

impl ChangeFeed {
    /// Discards all stored changes and restarts the feed at `version`.
    pub fn restart(&mut self, version: StoreVersion, now: Instant) {
        let is_restored = self.last_store_answer.is_some() && self.version.era != version.era;
        *self = Self {
            complete_after: version,
            version,
            last_store_answer: Some(now),
            restored_at: if is_restored {
                Some(now)
            } else {
                self.restored_at
            },
            ..Self::default()
        };
    }

    /// Adds the store's changes since the version `seen`.
    pub fn extend(&mut self, seen: StoreVersion, changes: &KindChanges, now: Instant) {
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

    /// Returns whether there are changes that a member at `position` does not have.
    pub fn has_changes_since(&self, position: MemberPosition, now: Instant) -> bool {
        match self.version_at(position, now) {
            Some(seen) => {
                let last_batch = self.batches.back();
                last_batch.is_some_and(|(version, _)| *version > seen) || self.complete_after > seen
            }
            None => true,
        }
    }

    /// Returns the version of a position; `None` if its era is uncertain.
    ///
    /// A member that states no era is in the era of the feed, unless it has not asked since the
    /// restore or has a revision that the era has not reached.
    fn version_at(&self, position: MemberPosition, now: Instant) -> Option<StoreVersion> {
        match position {
            MemberPosition::Version(version) => Some(version),
            MemberPosition::Revision(revision) => {
                let seen = StoreVersion::new(self.version.era, revision);
                let is_restored = self
                    .restored_at
                    .is_some_and(|at| now.saturating_duration_since(at) < UNSTATED_ERA_TIME);
                let is_ahead = self.version.era != 0 && seen > self.version;
                (!is_restored && !is_ahead).then_some(seen)
            }
        }
    }

    /// Returns the reply to a member at `position`.
    pub fn reply_since(&self, position: MemberPosition, now: Instant) -> FeedReply {
        let is_current = self
            .last_store_answer
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_STORE_SILENCE);
        if !is_current {
            return FeedReply::Unproven;
        }
        let Some(seen) = self.version_at(position, now) else {
            return FeedReply::ReadStore;
        };
        if self.version.era > seen.era && matches!(position, MemberPosition::Version(_)) {
            return FeedReply::Restored;
        }
        // A member in a later era knows of a restore that this instance has not noticed yet.
        if self.version.era < seen.era || self.complete_after > seen {
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
