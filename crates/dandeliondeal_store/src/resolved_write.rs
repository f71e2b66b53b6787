//! Writes whose lost answers are resolved before anyone acts on them.
//!
//! A conditional write whose answer is lost has three possible fates: it took effect, it never
//! will, or it is still on its way. Reading the object tells the first apart. To tell the other
//! two apart the object's version has to move on, after which the condition of the late write no
//! longer holds.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{
    Clock, ObjectName, ObjectStore, ObjectValue, PutCondition, StoreError, Version,
};

/// Pauses while the platform does not answer.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// A write that [`put_resolved`] carries through.
#[derive(Clone, Debug)]
pub struct ResolvedWrite {
    /// The object.
    pub name: ObjectName,
    /// The condition under which it is written.
    pub condition: PutCondition,
    /// The content, with a stamp that [`put_resolved`] is able to find again.
    pub body: Arc<str>,
    /// When to give up.
    pub deadline: Instant,
}

/// What became of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteVerdict {
    /// It took effect; the object has had this version since.
    Written(Version),
    /// It did not take effect and never will; this is the object as it stands.
    NotWritten(Option<ObjectValue>),
}

/// Writes an object, and settles what happened if the answer is lost.
///
/// `is_ours` finds the stamp of the write in a body. A body written later has to keep the stamps
/// of earlier writes for as long as a lost answer may be unresolved.
///
/// If the object is found unchanged, the same write is sent again under the same condition: of
/// the two at most one can take effect, and the version moves on with either.
///
/// # Errors
///
/// [`StoreError::AnswerLost`] if the deadline passes before it is known what happened; any other
/// error says that nothing was written.
pub async fn put_resolved<Store, IsOurs, Time>(
    store: &Store,
    write: ResolvedWrite,
    is_ours: IsOurs,
    clock: &Time,
) -> Result<WriteVerdict, StoreError>
where
    Store: ObjectStore,
    IsOurs: Fn(&str) -> bool,
    Time: Clock,
{
    let mut is_lost = false;
    let mut pause = FIRST_PAUSE;
    loop {
        let body = Arc::clone(&write.body);
        let error = match store.put(&write.name, write.condition, body).await {
            Ok(version) => return Ok(WriteVerdict::Written(version)),
            Err(error) => error,
        };
        match &error {
            StoreError::Conflict { .. } => {}
            _ if !is_lost && error.is_not_written() => return Err(error),
            _ => is_lost = true,
        }
        if let Some(verdict) = read_verdict(store, &write, &is_ours).await {
            return Ok(verdict);
        }
        if clock.now() + pause >= write.deadline {
            return Err(StoreError::AnswerLost {
                name: write.name,
                reason: format!("not resolved before the deadline: {error}").into(),
            });
        }
        actix_rt::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Reads the object; `None` if the write may still land or the read failed.
async fn read_verdict<Store, IsOurs>(
    store: &Store,
    write: &ResolvedWrite,
    is_ours: &IsOurs,
) -> Option<WriteVerdict>
where
    Store: ObjectStore,
    IsOurs: Fn(&str) -> bool,
{
    let found = store.get(&write.name).await.ok()?;
    let version = found.as_ref().map(|value| value.version);
    match found {
        Some(value) if is_ours(&value.body) => Some(WriteVerdict::Written(value.version)),
        found if !still_holds(write.condition, version) => Some(WriteVerdict::NotWritten(found)),
        _ => None,
    }
}

fn still_holds(condition: PutCondition, found: Option<Version>) -> bool {
    match condition {
        PutCondition::Absent => found.is_none(),
        PutCondition::Version(version) => found == Some(version),
    }
}
