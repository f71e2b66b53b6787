//! Calls to the platform's store with retries until a deadline.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;

use dandeliondeal_store::{ResolvedWrite, WriteVerdict, put_resolved};
use dandeliondeal_types::{Clock, ObjectStore, ObjectValue, PutCondition, StoreVersion};

use crate::accept_error::AcceptError;

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Store with the clock and the deadline of its calls.
#[derive(Clone, Debug)]
pub struct StoreSession<'store, Store, Time> {
    /// Store of the platform.
    pub store: &'store Store,
    /// Clock for the deadline.
    pub clock: &'store Time,
    /// Time after which calls are not retried.
    pub deadline: Instant,
}

impl<Store, Time> StoreSession<'_, Store, Time>
where
    Store: ObjectStore,
    Time: Clock,
{
    /// Reads an object, with retries until the deadline.
    ///
    /// # Errors
    ///
    /// Returns the last error of the platform.
    pub async fn read(&self, name: &str) -> Result<Option<ObjectValue>, AcceptError> {
        loop {
            match self.store.get(name).await {
                Ok(value) => return Ok(value),
                Err(error) if self.is_expired() => {
                    return Err(AcceptError::platform("read", error));
                }
                Err(_) => actix_rt::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Reads a JSON object with its version; returns the default if the object does not exist.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`StoreSession::read`], or an error if the object cannot be parsed.
    pub async fn read_json<Body>(
        &self,
        name: &str,
    ) -> Result<(Option<StoreVersion>, Body), AcceptError>
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

    /// Writes an object, with retries while the platform refuses, and resolves lost responses.
    ///
    /// `is_ours` returns whether a stored body contains this write.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`put_resolved`].
    pub async fn write<IsOurs>(
        &self,
        name: &str,
        version: Option<StoreVersion>,
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
                Err(error) if self.is_expired() || !error.is_not_written() => {
                    return Err(AcceptError::platform("write", error));
                }
                Err(_) => actix_rt::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    fn is_expired(&self) -> bool {
        self.clock.now() + RETRY_DELAY >= self.deadline
    }
}

/// Serialises a body as JSON.
pub(crate) fn to_json<Body>(body: &Body) -> Arc<str>
where
    Body: Serialize,
{
    serde_json::to_string(body).unwrap_or_default().into()
}
