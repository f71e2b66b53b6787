//! Messages between a hub and the members that follow the store through it.
//!
//! Instances of earlier builds know versions without an era; on the wire the era is a field of its own,
//! which they ignore.

use std::sync::Arc;

use dandeliondeal_types::{
    KindChanges, KindEvent, ObjectName, ObjectValue, StoreEra, StoreVersion,
};
use serde::{Deserialize, Serialize};

/// Request of a member for changes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedRequest {
    /// Kind of the objects.
    pub kind: Arc<str>,
    /// Revision up to which the member has all changes.
    #[serde(rename = "seen")]
    revision: u64,
    /// Era of the revision; `None` from an instance of an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<StoreEra>,
}

/// Position up to which a member has all changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberPosition {
    /// Version of the store.
    Version(StoreVersion),
    /// Revision in an era that an instance of an earlier build does not state.
    Revision(u64),
}

impl FeedRequest {
    /// Creates the request of a member that has all changes up to `seen`.
    pub fn new(kind: &str, seen: StoreVersion) -> Self {
        Self {
            kind: kind.into(),
            revision: seen.revision,
            era: Some(seen.era),
        }
    }

    /// Returns the position of the member.
    pub fn position(&self) -> MemberPosition {
        match self.era {
            Some(era) => MemberPosition::Version(StoreVersion::new(era, self.revision)),
            None => MemberPosition::Revision(self.revision),
        }
    }
}

/// Reply of a hub to a member that asks for changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "ReplyRecord", into = "ReplyRecord")]
pub enum FeedReply {
    /// The store has not answered the hub recently, or the hub does not follow the kind.
    Unproven,
    /// The hub's changes do not reach back to the requested version, or are too large.
    ReadStore,
    /// The store was restored from a copy after the requested version, so that a new list is required.
    Restored,
    /// The changes since the requested version, possibly none.
    Changes(KindChanges),
}

/// Serialized reply.
#[derive(Deserialize, Serialize)]
#[serde(rename = "FeedReply")]
enum ReplyRecord {
    Unproven,
    ReadStore,
    Restored,
    Changes(ChangesRecord),
}

#[derive(Deserialize, Serialize)]
struct ChangesRecord {
    events: Vec<EventRecord>,
    version: u64,
    /// Era of all versions; `None` from an instance of an earlier build, or if the store states none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<StoreEra>,
}

#[derive(Deserialize, Serialize)]
struct EventRecord {
    object: ObjectRecord,
    is_deleted: bool,
}

#[derive(Deserialize, Serialize)]
struct ObjectRecord {
    name: ObjectName,
    version: u64,
    body: Arc<str>,
}

impl From<FeedReply> for ReplyRecord {
    fn from(reply: FeedReply) -> Self {
        match reply {
            FeedReply::Unproven => Self::Unproven,
            FeedReply::ReadStore => Self::ReadStore,
            FeedReply::Restored => Self::Restored,
            FeedReply::Changes(changes) => Self::Changes(changes.into()),
        }
    }
}

impl From<ReplyRecord> for FeedReply {
    fn from(record: ReplyRecord) -> Self {
        match record {
            ReplyRecord::Unproven => Self::Unproven,
            ReplyRecord::ReadStore => Self::ReadStore,
            ReplyRecord::Restored => Self::Restored,
            ReplyRecord::Changes(changes) => Self::Changes(changes.into()),
        }
    }
}

impl From<KindChanges> for ChangesRecord {
    fn from(changes: KindChanges) -> Self {
        let events = changes.events.into_iter().map(|event| EventRecord {
            object: ObjectRecord {
                name: event.object.name,
                version: event.object.version.revision,
                body: event.object.body,
            },
            is_deleted: event.is_deleted,
        });
        Self {
            events: events.collect(),
            version: changes.version.revision,
            era: Some(changes.version.era).filter(|era| *era != 0),
        }
    }
}

impl From<ChangesRecord> for KindChanges {
    fn from(record: ChangesRecord) -> Self {
        let era = record.era.unwrap_or(0);
        let events = record.events.into_iter().map(|event| KindEvent {
            object: ObjectValue {
                name: event.object.name,
                version: StoreVersion::new(era, event.object.version),
                body: event.object.body,
            },
            is_deleted: event.is_deleted,
        });
        Self {
            events: events.collect(),
            version: StoreVersion::new(era, record.version),
        }
    }
}
