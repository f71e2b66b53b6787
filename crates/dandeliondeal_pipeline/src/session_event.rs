//! Events that a session processes, and actions that it returns.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{
    EndpointId, LayerRange, Lineage, Position, RouteError, SessionStatus, StepAnswer, StepCall,
    Token,
};

use crate::PlanChain;

/// Number of an attempt within its session; each call whose result is awaited is a new attempt.
pub type AttemptNumber = u64;

/// An event for a session to process.
#[derive(Clone, Debug)]
pub enum SessionEvent {
    /// Starts the session.
    Begin,
    /// An answer to a step arrived, possibly late.
    Answered {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// The answer.
        answer: StepAnswer,
    },
    /// A call ended without a usable answer.
    Failed {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// The reason.
        error: RouteError,
    },
    /// A step was not answered within its timeout; the call stays open.
    Overdue {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// An engine reported the status of the session.
    Status {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Status at the engine; `None` if it has no such session.
        status: Option<SessionStatus>,
    },
    /// An engine exported its KV cache.
    Exported {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// The exported KV cache.
        cache: Arc<str>,
    },
    /// An engine imported a KV cache.
    Imported {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Status of the session at that engine.
        status: SessionStatus,
    },
    /// The result of [`SessionAction::Place`].
    Placed {
        /// The chain; `None` if there is none.
        chain: Option<PlanChain>,
    },
    /// The pause requested by [`SessionAction::Pause`] is over.
    Resume,
    /// An endpoint is leaving.
    Leaving {
        /// The leaving endpoint.
        endpoint: EndpointId,
    },
    /// Periodic event, sent at least three times per session lifetime, so that sessions are
    /// renewed in time.
    Tick,
    /// The caller closed the connection.
    CallerLeft,
    /// The deadline of the request passed.
    Deadline,
}

/// An action for the driver of a session to perform.
#[derive(Clone, Debug)]
pub enum SessionAction {
    /// Sends a step; results in `Answered`, `Failed` or, after `timeout`, `Overdue`.
    Step {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Endpoint to call.
        endpoint: EndpointId,
        /// The step to send.
        call: StepCall,
        /// Time after which the step is reported as overdue.
        timeout: Duration,
        /// Whether to use a new connection.
        fresh: bool,
    },
    /// Requests the status of the session; results in `Status` or `Failed`.
    Ask {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Endpoint to call.
        endpoint: EndpointId,
        /// Maximum time to wait for the result.
        timeout: Duration,
    },
    /// Requests the KV cache; results in `Exported` or `Failed`.
    Export {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Endpoint to call.
        endpoint: EndpointId,
        /// Maximum time to wait for the result.
        timeout: Duration,
    },
    /// Sends the KV cache to a replacement; results in `Imported` or `Failed`.
    Import {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Endpoint to call.
        endpoint: EndpointId,
        /// Lineage under which the replacement continues.
        lineage: Lineage,
        /// The KV cache.
        cache: Arc<str>,
        /// Maximum time to wait for the result.
        timeout: Duration,
    },
    /// Requests a chain over a range; results in `Placed`.
    Place {
        /// The layers to cover.
        range: LayerRange,
        /// Endpoints that must not be used.
        avoid: Vec<EndpointId>,
    },
    /// Waits; results in `Resume`.
    Pause {
        /// Time to wait.
        wait: Duration,
    },
    /// Extends the session's lifetime at an engine; has no result.
    Renew {
        /// Endpoint to call.
        endpoint: EndpointId,
        /// New lifetime, from now.
        life: Duration,
    },
    /// Cancels the session at an engine; has no result.
    Cancel {
        /// Endpoint to call.
        endpoint: EndpointId,
    },
    /// Delivers the next token to the caller.
    Deliver {
        /// Position of the token.
        position: Position,
        /// The token.
        token: Token,
    },
    /// Reports that the complete output has been delivered.
    Finish,
    /// Ends the request with an error.
    Fail {
        /// The reason, with the outcome to report.
        error: RouteError,
    },
}
