//! Line formats of the claim log.

use std::sync::Arc;

use dandeliondeal_types::{EndpointId, Incarnation, InstanceId, Outcome, RequestId};
use serde::{Deserialize, Serialize};

use crate::claim_key::{ClaimKey, RequestFingerprint};

/// A line of a log segment, stored as JSON.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLine {
    /// Header of the lines appended by one write.
    Batch(BatchStart),
    /// Claim of an idempotency key by a request.
    Claim(ClaimRecord),
    /// Outcome of a claimed request.
    Outcome(OutcomeRecord),
    /// End of the segment; the log continues in the next segment.
    Sealed,
}

impl LogLine {
    /// Returns an estimate of the encoded size in bytes.
    ///
    /// The estimate is the length of the key or the answer body, plus a fixed allowance for
    /// everything else.
    pub(crate) fn size_hint(&self) -> usize {
        const OVERHEAD_BYTES: usize = 256;
        let variable_length = match self {
            Self::Claim(record) => record.key.key.len(),
            Self::Outcome(record) => record
                .answer
                .as_ref()
                .and_then(|answer| answer.body.as_ref())
                .map_or(0, |body| body.len()),
            Self::Batch(_) | Self::Sealed => 0,
        };
        variable_length + OVERHEAD_BYTES
    }
}

/// Header of the lines appended by one write.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BatchStart {
    /// Instance that sent the write.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Lower bound of the shard's age in milliseconds.
    ///
    /// It is the sum of the times that the writers measured, each on its own clock, so that clocks
    /// of different instances are never compared.
    pub age_milliseconds: u64,
}

/// Claim of an idempotency key by a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Claimed key.
    pub key: ClaimKey,
    /// Fingerprint of the request content that the key is bound to.
    pub fingerprint: RequestFingerprint,
    /// Identifier of the claiming request; unique to each attempt.
    pub request: RequestId,
    /// Endpoints that may receive the request. If its outcome is unknown, they are asked whether it
    /// ran.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<EndpointId>,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// Identifier of the request.
    pub request: RequestId,
    /// Reported outcome.
    pub outcome: Outcome,
    /// Recorded answer, if the request was answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<ClaimAnswer>,
}

/// Answer recorded in the claim log, so that it can be returned to retries.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: Arc<str>,
    /// Response body; `None` if it exceeded the size limit.
    pub body: Option<Arc<str>>,
}

impl ClaimAnswer {
    /// Removes the body if it is longer than `limit` bytes.
    #[must_use]
    pub fn with_body_limit(mut self, limit: usize) -> Self {
        if self.body.as_ref().is_some_and(|body| body.len() > limit) {
            self.body = None;
        }
        self
    }
}
