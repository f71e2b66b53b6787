//! The request that a session runs, and its settings.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{ModelId, RequestId, Token};
use serde::{Deserialize, Serialize};

/// The request that a session runs.
#[derive(Clone, Debug)]
pub struct SessionSpec {
    /// Id of the request.
    pub request: RequestId,
    /// Id of the model.
    pub model: ModelId,
    /// Number of layers of the model.
    pub layers: u32,
    /// Tokens of the prompt.
    pub prompt: Arc<[Token]>,
    /// Maximum number of tokens to generate.
    pub max_tokens: usize,
    /// Token that ends the output; it is delivered too.
    pub end_token: Option<Token>,
    /// Priority of the request; 0 is the lowest.
    pub priority: u8,
    /// Whether the request may be cancelled when its caller leaves.
    pub repeatable: bool,
}

/// Limits and timeouts of a session.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SessionSettings {
    /// Time that an engine keeps a session to which no call is made.
    pub life: Duration,
    /// Maximum number of positions in one step.
    pub step_positions: usize,
    /// Maximum number of processed positions kept in the input log of a stage.
    pub log_positions: usize,
    /// Maximum number of times that one step is sent again to an endpoint that still answers.
    pub resume_limit: u32,
    /// Maximum number of replacements and pauses without a new token; one more fails the request.
    pub replace_limit: u32,
    /// Pause before a chain is requested again.
    pub place_pause: Duration,
    /// Maximum time to wait for the status of a session.
    pub ask_timeout: Duration,
    /// Maximum time to wait for the export or import of a KV cache.
    pub transfer_timeout: Duration,
    /// Timeout of a step if the stage has no estimate, or if the step has several positions.
    pub first_timeout: Duration,
    /// Time added to `first_timeout` for each position of the step.
    pub position_allowance: Duration,
    /// Minimum timeout of a step.
    pub least_timeout: Duration,
    /// Maximum timeout of a step, unless `position_allowance` requires a longer one.
    pub most_timeout: Duration,
    /// A stage moves off a leaving endpoint if the request is expected to take longer than this.
    pub leave_grace: Duration,
    /// Time after which the caller of a failed request may retry, sent with the error.
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
