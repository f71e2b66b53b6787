//! Objects by kind: complete lists, and changes since a version of the store.

use serde::{Deserialize, Serialize};
use std::fmt::Debug;
use std::time::Duration;

use crate::object_store::{ObjectValue, StoreError};
use crate::store_version::StoreVersion;

/// All objects of one kind as of one version of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KindSnapshot {
    /// The objects; their names do not include the kind.
    pub objects: Vec<ObjectValue>,
    /// Version of the store from which changes continue.
    pub version: StoreVersion,
}

/// One change of an object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KindEvent {
    /// The object after the change, or before its deletion.
    pub object: ObjectValue,
    /// Whether the object was deleted.
    pub is_deleted: bool,
}

/// Changes of objects of one kind.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KindChanges {
    /// The changes in the order in which they occurred.
    pub events: Vec<KindEvent>,
    /// Version of the store from which changes continue.
    pub version: StoreVersion,
}

/// Required freshness of a list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFreshness {
    /// Current as of the call.
    Latest,
    /// Possibly seconds old, which costs the platform less.
    Relaxed,
}

/// The operations of the platform's object API on all objects of a kind.
pub trait KindStore: Debug + 'static {
    /// Reads all objects of a kind, page by page until the list is complete.
    fn snapshot(
        &self,
        kind: &str,
        freshness: ReadFreshness,
    ) -> impl Future<Output = Result<KindSnapshot, StoreError>>;

    /// Waits until a kind changes after version `since`, or until `timeout` has passed.
    ///
    /// Returns [`StoreError::HistoryExpired`] if a new snapshot is required.
    fn changes(
        &self,
        kind: &str,
        since: StoreVersion,
        timeout: Duration,
    ) -> impl Future<Output = Result<KindChanges, StoreError>>;
}
