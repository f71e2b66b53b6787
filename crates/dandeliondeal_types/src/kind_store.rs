//! Objects by kind: whole lists, and the changes since a version of the store.

use serde::{Deserialize, Serialize};
use std::fmt::Debug;
use std::time::Duration;

use crate::id::Version;
use crate::object_store::{ObjectValue, StoreError};

/// All objects of one kind as of one version of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KindSnapshot {
    /// The objects; their names are without the kind.
    pub objects: Vec<ObjectValue>,
    /// Version of the store from which changes continue.
    pub version: Version,
}

/// One change of an object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KindEvent {
    /// The object after the change, or before its deletion.
    pub object: ObjectValue,
    /// Whether the object is gone.
    pub is_deleted: bool,
}

/// Changes of one kind.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KindChanges {
    /// The changes in the order in which they were made.
    pub events: Vec<KindEvent>,
    /// Version of the store from which changes continue.
    pub version: Version,
}

/// How fresh a list has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFreshness {
    /// As of the call.
    Latest,
    /// It may be seconds old, which costs the platform less.
    Relaxed,
}

/// The part of the platform's object API that works on kinds.
pub trait KindStore: Debug + 'static {
    /// Reads all objects of a kind, over as many pages as that takes.
    fn snapshot(
        &self,
        kind: &str,
        freshness: ReadFreshness,
    ) -> impl Future<Output = Result<KindSnapshot, StoreError>>;

    /// Waits until a kind changes after `seen`, or until `limit` is over.
    ///
    /// [`StoreError::HistoryGone`] says that a new snapshot is needed.
    fn changes(
        &self,
        kind: &str,
        seen: Version,
        limit: Duration,
    ) -> impl Future<Output = Result<KindChanges, StoreError>>;
}
