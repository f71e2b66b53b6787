//! The lines of the claim log.

use std::sync::Arc;

use dandeliondeal_types::{EndpointId, Incarnation, InstanceId, Outcome, RequestId};
use serde::{Deserialize, Serialize};

use crate::claim_key::{ClaimKey, RequestFingerprint};

/// One line of a segment.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLine {
    /// Starts the lines of one write.
    Batch(BatchStart),
    /// Claims a key for a request.
    Claim(ClaimRecord),
    /// Tells what became of a request.
    Outcome(OutcomeRecord),
    /// Ends the segment; the chain goes on in the next one.
    Sealed,
}

impl LogLine {
    /// Size of the longest part of the line in bytes, and an allowance for the rest.
    pub(crate) fn size_hint(&self) -> usize {
        const REST: usize = 256;
        let longest = match self {
            Self::Claim(record) => record.key.key.len(),
            Self::Outcome(record) => record
                .answer
                .as_ref()
                .and_then(|answer| answer.body.as_ref())
                .map_or(0, |body| body.len()),
            Self::Batch(_) | Self::Sealed => 0,
        };
        longest + REST
    }
}

/// Start of the lines that one write appended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BatchStart {
    /// The instance that wrote.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Age of the shard, a lower bound: the sum of what each writer saw go by on its own clock.
    pub age_milliseconds: u64,
}

/// Claims a key for a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The key.
    pub key: ClaimKey,
    /// The content that the key stands for.
    pub fingerprint: RequestFingerprint,
    /// The request that runs; no two attempts share one.
    pub request: RequestId,
    /// The endpoints that it may be sent to, and that have to be asked whether it ran.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<EndpointId>,
}

/// Tells what became of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// The request.
    pub request: RequestId,
    /// What became of it.
    pub outcome: Outcome,
    /// The answer, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<ClaimAnswer>,
}

/// A recorded answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Content; `None` if it was too long to keep.
    pub body: Option<Arc<str>>,
}

impl ClaimAnswer {
    /// Drops a body that is longer than `limit` bytes.
    #[must_use]
    pub fn bounded(mut self, limit: usize) -> Self {
        if self.body.as_ref().is_some_and(|body| body.len() > limit) {
            self.body = None;
        }
        self
    }
}
