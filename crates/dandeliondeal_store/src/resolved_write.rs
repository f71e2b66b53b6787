//! Conditional writes that resolve lost answers before returning.
//!
//! After its answer is lost, a conditional write may have taken effect, may never take effect, or
//! may still be in transit. Reading the object detects the first case. The other two can only be
//! distinguished after the object's version has changed, since the condition of a late write then
//! no longer holds.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{
    Clock, ObjectName, ObjectStore, ObjectValue, PutCondition, StoreError, StoreVersion,
};

/// Delay before the first retry while the platform does not answer; it doubles with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Write to be performed by [`put_resolved`].
#[derive(Clone, Debug)]
pub struct ResolvedWrite {
    /// Name of the object.
    pub name: ObjectName,
    /// Condition of the write.
    pub condition: PutCondition,
    /// Content of the object, including a stamp by which [`put_resolved`] recognises the write.
    pub body: Arc<str>,
    /// Time at which [`put_resolved`] stops retrying.
    pub deadline: Instant,
}

/// Result of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteVerdict {
    /// The write took effect; contains the version that it created, or a later one that retains
    /// its stamp.
    Written(StoreVersion),
    /// The write did not take effect and never will; contains the current object, if it exists.
    NotWritten(Option<ObjectValue>),
}

/// Writes an object, and determines whether the write took effect if the answer is lost.
///
/// `has_stamp` returns whether a body contains the stamp of this write. Later writes have to keep
/// the stamps of earlier ones for as long as a lost answer may be unresolved.
///
/// If the object is unchanged, the same write is sent again under the same condition. At most one
/// of the two can take effect, and either changes the version.
///
/// # Errors
///
/// Returns [`StoreError::ResponseLost`] if the deadline passes before the result is known. Any other
/// error means that nothing was written.
pub async fn put_resolved<Store, HasStamp, Time>(
    store: &Store,
    write: ResolvedWrite,
    has_stamp: HasStamp,
    clock: &Time,
) -> Result<WriteVerdict, StoreError>
where
    Store: ObjectStore,
    HasStamp: Fn(&str) -> bool,
    Time: Clock,
{
    let mut is_response_lost = false;
    let mut delay = INITIAL_RETRY_DELAY;
    loop {
        let body = Arc::clone(&write.body);
        let error = match store.put(&write.name, write.condition, body).await {
            Ok(version) => return Ok(WriteVerdict::Written(version)),
            Err(error) => error,
        };
        match &error {
            StoreError::Conflict { .. } => {}
            _ if !is_response_lost && error.is_not_written() => return Err(error),
            _ => is_response_lost = true,
        }
        if let Some(verdict) = read_verdict(store, &write, &has_stamp).await {
            return Ok(verdict);
        }
        if clock.now() + delay >= write.deadline {
            return Err(StoreError::ResponseLost {
                name: write.name,
                reason: format!("not resolved before the deadline: {error}").into(),
            });
        }
        actix_rt::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Reads the object and returns the result of the write.
///
/// Returns `None` if the write may still take effect or the read failed.
async fn read_verdict<Store, HasStamp>(
    store: &Store,
    write: &ResolvedWrite,
    has_stamp: &HasStamp,
) -> Option<WriteVerdict>
where
    Store: ObjectStore,
    HasStamp: Fn(&str) -> bool,
{
    let found = store.get(&write.name).await.ok()?;
    let version = found.as_ref().map(|value| value.version);
    match found {
        Some(value) if has_stamp(&value.body) => Some(WriteVerdict::Written(value.version)),
        found if !condition_holds(write.condition, version) => {
            Some(WriteVerdict::NotWritten(found))
        }
        _ => None,
    }
}

fn condition_holds(condition: PutCondition, found: Option<StoreVersion>) -> bool {
    match condition {
        PutCondition::Absent => found.is_none(),
        PutCondition::Version(version) => found == Some(version),
    }
}
