//! Headers of a request that one instance hands over to another.
//!
//! They exist only between instances: the entrance for handed-over requests removes them, and the
//! entrance for callers does not read them.

use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use subtle::ConstantTimeEq;

use crate::refusal::RefusalCause;

const SECRET: HeaderName = HeaderName::from_static("dandeliondeal-handover-secret");
const CONFIG_VERSION: HeaderName = HeaderName::from_static("dandeliondeal-handover-config");
const TIME_LEFT_MS: HeaderName = HeaderName::from_static("dandeliondeal-handover-time-left-ms");
const ATTEMPTS: HeaderName = HeaderName::from_static("dandeliondeal-handover-attempts");
const LAST_EVENT: HeaderName = HeaderName::from_static("dandeliondeal-handover-last-event");
const REFUSAL: HeaderName = HeaderName::from_static("dandeliondeal-handover-refusal");

/// Value of the refusal header of an instance that does not take a request.
const NOT_TAKEN: &str = "not-taken";

/// What an instance says of a request that it hands over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HandoverFacts {
    /// Version of the configuration under which the request was accepted; the other instance must
    /// not use an older one.
    pub config_version: u64,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Number of endpoints to which the request may still be sent.
    pub attempts: u32,
    /// Id of the last event that the caller has, if it is a stream that goes on.
    pub last_event: Option<u64>,
}

impl HandoverFacts {
    /// Adds the headers to a request.
    pub fn write(&self, secret: &str, headers: &mut HeaderMap) {
        let time_left = u64::try_from(self.time_left.as_millis()).unwrap_or(u64::MAX);
        // The caller may have sent a header of this name.
        headers.remove(LAST_EVENT);
        insert(headers, SECRET, secret);
        insert(headers, CONFIG_VERSION, &self.config_version.to_string());
        insert(headers, TIME_LEFT_MS, &time_left.to_string());
        insert(headers, ATTEMPTS, &self.attempts.to_string());
        if let Some(event) = self.last_event {
            insert(headers, LAST_EVENT, &event.to_string());
        }
    }

    /// Removes the headers of a request and returns what they say; `None` if the secret is wrong or
    /// a header is missing.
    pub fn take(secret: &str, headers: &mut HeaderMap) -> Option<Self> {
        let values = [SECRET, CONFIG_VERSION, TIME_LEFT_MS, ATTEMPTS, LAST_EVENT].map(|name| {
            let value = headers.remove(name).next()?;
            value.to_str().ok().map(str::to_owned)
        });
        let [given_secret, version, time_left, attempts, last_event] = values;
        let given_secret = given_secret.unwrap_or_default();
        if !bool::from(given_secret.as_bytes().ct_eq(secret.as_bytes())) {
            return None;
        }
        Some(Self {
            config_version: version?.parse().ok()?,
            time_left: Duration::from_millis(time_left?.parse().ok()?),
            attempts: attempts?.parse().ok()?,
            last_event: match last_event {
                Some(event) => Some(event.parse().ok()?),
                None => None,
            },
        })
    }
}

/// Why an instance has no endpoint's response to a request that was handed over to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HandoverRefusal {
    /// The instance does not take the request; another one may.
    NotTaken,
    /// The instance took the request and ended it for this reason.
    Ended(RefusalCause),
}

impl HandoverRefusal {
    /// Adds the header to a response.
    pub fn write(self, headers: &mut HeaderMap) {
        let name = match self {
            Self::NotTaken => NOT_TAKEN,
            Self::Ended(cause) => cause.name(),
        };
        insert(headers, REFUSAL, name);
    }

    /// Reads the header of a response; `None` for a response of an endpoint.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let name = headers.get(&REFUSAL)?.to_str().ok()?;
        if name == NOT_TAKEN {
            return Some(Self::NotTaken);
        }
        // An unknown cause of a later version proves nothing about the request.
        let cause = RefusalCause::from_name(name).unwrap_or(RefusalCause::LostAnswer);
        Some(Self::Ended(cause))
    }
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => tracing::warn!(%name, %error, "left out a header with an invalid value"),
    }
}
