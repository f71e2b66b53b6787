//! What a session is to do, and the bounds it keeps.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{ModelId, RequestId, Token};
use serde::{Deserialize, Serialize};

/// One request to run.
#[derive(Clone, Debug)]
pub struct SessionSpec {
    /// The request.
    pub request: RequestId,
    /// The model.
    pub model: ModelId,
    /// Number of layers of the model.
    pub layers: u32,
    /// Tokens of the prompt.
    pub prompt: Arc<[Token]>,
    /// Most tokens to generate.
    pub max_tokens: usize,
    /// Token that ends the answer; it is delivered too.
    pub end_token: Option<Token>,
    /// Priority, 0 the lowest.
    pub priority: u8,
    /// Whether the request may be cancelled when its caller leaves.
    pub repeatable: bool,
}

/// Bounds of a session.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SessionSettings {
    /// Time that an engine keeps a session without a call.
    pub life: Duration,
    /// Most positions in one step.
    pub step_positions: usize,
    /// Most positions that the log of one stage's inputs holds.
    pub log_positions: usize,
    /// Times that one step is sent again to an endpoint that still answers.
    pub resume_limit: u32,
    /// Replacements without a new token, after which the request is given up.
    pub replace_limit: u32,
    /// Pause before a chain is sought again.
    pub place_pause: Duration,
    /// Longest wait for a status.
    pub ask_timeout: Duration,
    /// Longest wait for a KV cache to be exported or imported.
    pub transfer_timeout: Duration,
    /// Timeout of a step at a stage that has not been measured yet.
    pub first_timeout: Duration,
    /// Added to it for each position of a step of several.
    pub position_allowance: Duration,
    /// Shortest timeout of a step.
    pub least_timeout: Duration,
    /// Longest timeout of a step.
    pub most_timeout: Duration,
    /// A session whose rest is expected to take longer leaves an endpoint that is leaving.
    pub leave_grace: Duration,
    /// Told to the caller of a request that was given up.
    pub retry_after: Duration,
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self {
            life: Duration::from_secs(10),
            step_positions: 4_096,
            log_positions: 65_536,
            resume_limit: 3,
            replace_limit: 12,
            place_pause: Duration::from_millis(100),
            ask_timeout: Duration::from_millis(100),
            transfer_timeout: Duration::from_secs(2),
            first_timeout: Duration::from_millis(500),
            position_allowance: Duration::from_millis(1),
            least_timeout: Duration::from_millis(40),
            most_timeout: Duration::from_secs(4),
            leave_grace: Duration::from_secs(10),
            retry_after: Duration::from_secs(1),
        }
    }
}
