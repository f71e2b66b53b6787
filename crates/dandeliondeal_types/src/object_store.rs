//! The interface to the platform's object API.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::id::ObjectName;
use crate::store_version::StoreVersion;

/// An object as read from the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectValue {
    /// Name of the object.
    pub name: ObjectName,
    /// Version that the last write assigned.
    pub version: StoreVersion,
    /// Content, at most one megabyte.
    pub body: Arc<str>,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PutCondition {
    /// The object does not exist.
    Absent,
    /// The object has exactly this version.
    Version(StoreVersion),
}

/// An error of a call to the platform.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum StoreError {
    /// The write condition was not met; nothing was written.
    #[display("object {name} has version {found:?} in place of the expected one")]
    Conflict {
        /// The object.
        name: ObjectName,
        /// Current version, or `None` if the object does not exist.
        found: Option<StoreVersion>,
    },
    /// No connection was made, or the platform refused the call; nothing was written.
    #[display("platform refused {name}: {reason}")]
    Unavailable {
        /// The object.
        name: ObjectName,
        /// Error reported by the platform or the connection.
        reason: Arc<str>,
    },
    /// No response was received; a write may have taken effect, or may still do so.
    #[display("no answer from the platform for {name}: {reason}")]
    ResponseLost {
        /// The object.
        name: ObjectName,
        /// Error on the connection.
        reason: Arc<str>,
    },
    /// The platform no longer stores the changes since the requested version, or was restored from a
    /// copy since then.
    #[display("the platform's history of {name} no longer reaches back far enough")]
    HistoryExpired {
        /// The kind of object.
        name: ObjectName,
    },
    /// The call budget of this instance is exhausted.
    #[display("call budget spent, next call in {} ms", wait.as_millis())]
    OverBudget {
        /// Time until the next call is allowed.
        wait: Duration,
    },
}

impl StoreError {
    /// Creates an error for a call that had no effect on the platform.
    pub fn unavailable<Reason>(name: &str, reason: &Reason) -> Self
    where
        Reason: std::fmt::Display + ?Sized,
    {
        Self::Unavailable {
            name: name.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Creates an error for a response that was lost or cannot be decoded.
    pub fn response_lost<Reason>(name: &str, reason: &Reason) -> Self
    where
        Reason: std::fmt::Display + ?Sized,
    {
        Self::ResponseLost {
            name: name.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Returns whether the write certainly did not take effect and never will.
    pub fn is_not_written(&self) -> bool {
        !matches!(self, Self::ResponseLost { .. })
    }

    /// Returns whether a new list is required because the changes are no longer available.
    pub fn is_history_expired(&self) -> bool {
        matches!(self, Self::HistoryExpired { .. })
    }

    /// Returns whether the write condition failed, for example because another writer was first.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict { .. })
    }
}

/// The platform's object API, with versions, conditional writes and watches.
///
/// Implementations make one platform call per method call and never retry a write.
pub trait ObjectStore: Debug + 'static {
    /// Reads one object, or returns `None` if it does not exist.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<ObjectValue>, StoreError>>;

    /// Writes one object under a condition and returns its new version.
    fn put(
        &self,
        name: &str,
        condition: PutCondition,
        body: Arc<str>,
    ) -> impl Future<Output = Result<StoreVersion, StoreError>>;

    /// Deletes one object if it has exactly this version.
    fn delete(
        &self,
        name: &str,
        version: StoreVersion,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Lists the objects whose names start with `prefix`, in order of name.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<ObjectValue>, StoreError>>;

    /// Reads the object once its version differs from `known_version` or `timeout` has passed.
    fn watch(
        &self,
        name: &str,
        known_version: StoreVersion,
        timeout: Duration,
    ) -> impl Future<Output = Result<Option<ObjectValue>, StoreError>>;
}
