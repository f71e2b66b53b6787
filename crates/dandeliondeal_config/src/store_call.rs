//! Calls to the platform with a deadline and the step that they belong to.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;

use dandeliondeal_store::{ResolvedWrite, WriteVerdict, put_resolved};
use dandeliondeal_types::{Clock, ObjectStore, ObjectValue, PutCondition, Version};

use crate::accept_error::AcceptError;

/// Pause between two tries of a call that the platform refused.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A store, a clock and the time at which to give up.
#[derive(Clone, Debug)]
pub struct StoreCall<'store, Store, Time> {
    /// The platform.
    pub store: &'store Store,
    /// The clock.
    pub clock: &'store Time,
    /// When to give up.
    pub deadline: Instant,
}

impl<Store, Time> StoreCall<'_, Store, Time>
where
    Store: ObjectStore,
    Time: Clock,
{
    /// Reads an object, and tries again until the deadline.
    ///
    /// # Errors
    ///
    /// The last error of the platform.
    pub async fn read(&self, name: &str) -> Result<Option<ObjectValue>, AcceptError> {
        loop {
            match self.store.get(name).await {
                Ok(value) => return Ok(value),
                Err(error) if self.is_over() => {
                    return Err(AcceptError::platform("read", error));
                }
                Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Reads an object that holds JSON, with its version.
    ///
    /// # Errors
    ///
    /// As [`StoreCall::read`], or that the object is not what was expected.
    pub async fn read_json<Body>(&self, name: &str) -> Result<(Option<Version>, Body), AcceptError>
    where
        Body: DeserializeOwned + Default,
    {
        let Some(value) = self.read(name).await? else {
            return Ok((None, Body::default()));
        };
        let body = serde_json::from_str(&value.body)
            .map_err(|error| AcceptError::damaged(name, &error.to_string()))?;
        Ok((Some(value.version), body))
    }

    /// Writes an object, again while the platform refuses, and settles a lost answer.
    ///
    /// # Errors
    ///
    /// As [`put_resolved`].
    pub async fn write<IsOurs>(
        &self,
        name: &str,
        version: Option<Version>,
        body: Arc<str>,
        is_ours: IsOurs,
    ) -> Result<WriteVerdict, AcceptError>
    where
        IsOurs: Fn(&str) -> bool,
    {
        let write = ResolvedWrite {
            name: name.into(),
            condition: version.map_or(PutCondition::Absent, PutCondition::Version),
            body,
            deadline: self.deadline,
        };
        loop {
            let result = put_resolved(self.store, write.clone(), &is_ours, self.clock).await;
            match result {
                Ok(verdict) => return Ok(verdict),
                Err(error) if self.is_over() || !error.is_not_written() => {
                    return Err(AcceptError::platform("write", error));
                }
                Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn is_over(&self) -> bool {
        self.clock.now() + RETRY_PAUSE >= self.deadline
    }
}

/// Prints a body as JSON.
pub(crate) fn to_json<Body>(body: &Body) -> Arc<str>
where
    Body: Serialize,
{
    serde_json::to_string(body).unwrap_or_default().into()
}
