//! The platform's object API as an interface.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::id::{ObjectName, Version};

/// An object as read from the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectValue {
    /// Name of the object.
    pub name: ObjectName,
    /// Version that the last write gave it.
    pub version: Version,
    /// Content, at most a megabyte.
    pub body: Arc<str>,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PutCondition {
    /// The object does not exist.
    Absent,
    /// The object has just this version.
    Version(Version),
}

/// Why a call to the platform did not succeed.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum StoreError {
    /// The condition did not hold; nothing was written.
    #[display("object {name} has version {found:?} in place of the expected one")]
    Conflict {
        /// The object.
        name: ObjectName,
        /// Its version now, `None` if it does not exist.
        found: Option<Version>,
    },
    /// No connection was made or the platform refused: nothing was written.
    #[display("platform refused {name}: {reason}")]
    Unavailable {
        /// The object.
        name: ObjectName,
        /// What the platform or the connection said.
        reason: Arc<str>,
    },
    /// The answer was lost: a write may or may not have taken effect, or may yet do so.
    #[display("no answer from the platform for {name}: {reason}")]
    AnswerLost {
        /// The object.
        name: ObjectName,
        /// What happened to the connection.
        reason: Arc<str>,
    },
    /// The platform no longer has the changes since the version that was asked for.
    #[display("the platform's history of {name} no longer reaches back far enough")]
    HistoryGone {
        /// The kind of object.
        name: ObjectName,
    },
    /// The call budget of this instance is spent.
    #[display("call budget spent, next call in {} ms", wait.as_millis())]
    OverBudget {
        /// Time until a call is allowed again.
        wait: Duration,
    },
}

impl StoreError {
    /// The platform did nothing.
    pub fn unavailable<Reason>(name: &str, reason: &Reason) -> Self
    where
        Reason: std::fmt::Display + ?Sized,
    {
        Self::Unavailable {
            name: name.into(),
            reason: reason.to_string().into(),
        }
    }

    /// The answer was lost or cannot be read.
    pub fn answer_lost<Reason>(name: &str, reason: &Reason) -> Self
    where
        Reason: std::fmt::Display + ?Sized,
    {
        Self::AnswerLost {
            name: name.into(),
            reason: reason.to_string().into(),
        }
    }

    /// Whether the write surely did not take effect and never will.
    pub fn is_not_written(&self) -> bool {
        !matches!(self, Self::AnswerLost { .. })
    }

    /// Whether a new list is needed, since the changes are no longer known.
    pub fn is_history_gone(&self) -> bool {
        matches!(self, Self::HistoryGone { .. })
    }

    /// Whether another writer was first.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict { .. })
    }
}

/// The platform's object API: versions, conditional updates, watches.
///
/// Implementations make one call per method call and never retry a write.
pub trait ObjectStore: Debug + 'static {
    /// Reads one object; `None` if it does not exist.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<ObjectValue>, StoreError>>;

    /// Writes one object under a condition and returns its new version.
    fn put(
        &self,
        name: &str,
        condition: PutCondition,
        body: Arc<str>,
    ) -> impl Future<Output = Result<Version, StoreError>>;

    /// Deletes one object if it has just this version.
    fn delete(&self, name: &str, version: Version) -> impl Future<Output = Result<(), StoreError>>;

    /// Lists the objects whose names start with `prefix`, in order of name.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<ObjectValue>, StoreError>>;

    /// Waits until the object has another version than `seen` or `limit` is over, then reads it.
    fn watch(
        &self,
        name: &str,
        seen: Version,
        limit: Duration,
    ) -> impl Future<Output = Result<Option<ObjectValue>, StoreError>>;
}
