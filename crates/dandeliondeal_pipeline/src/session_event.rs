//! What happens to a session, and what it asks for.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{
    EndpointId, LayerRange, Lineage, Position, RouteError, SessionStatus, StepAnswer, StepCall,
    Token,
};

use crate::PlanChain;

/// Numbers the calls of a session; each call has its own.
pub type AttemptNumber = u64;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum SessionEvent {
    /// The session may start.
    Begin,
    /// An answer to a step came in, however late.
    Answered {
        /// The call.
        attempt: AttemptNumber,
        /// Its answer.
        answer: StepAnswer,
    },
    /// A call ended without a usable answer.
    Failed {
        /// The call.
        attempt: AttemptNumber,
        /// Why.
        error: RouteError,
    },
    /// A step has not been answered within its timeout; its call goes on.
    Overdue {
        /// The call.
        attempt: AttemptNumber,
    },
    /// An engine told where the session stands.
    Status {
        /// The call.
        attempt: AttemptNumber,
        /// `None` if the engine has no such session.
        status: Option<SessionStatus>,
    },
    /// An engine exported its KV cache.
    Exported {
        /// The call.
        attempt: AttemptNumber,
        /// The cache.
        cache: Arc<str>,
    },
    /// An engine took in a KV cache.
    Imported {
        /// The call.
        attempt: AttemptNumber,
        /// Where the session stands there.
        status: SessionStatus,
    },
    /// The answer to [`SessionAction::Place`]; `None` if no chain exists.
    Placed {
        /// The chain.
        chain: Option<PlanChain>,
    },
    /// The pause asked for by [`SessionAction::Pause`] is over.
    Resume,
    /// An endpoint was seen leaving.
    Leaving {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Time went by; sent at least every third of the sessions' life.
    Tick,
    /// The caller closed the connection.
    CallerLeft,
    /// The deadline passed.
    Deadline,
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum SessionAction {
    /// Sends a step; answered by `Answered`, `Failed` or, after `timeout`, `Overdue`.
    Step {
        /// The call.
        attempt: AttemptNumber,
        /// Where to.
        endpoint: EndpointId,
        /// The step.
        call: StepCall,
        /// When to report it overdue.
        timeout: Duration,
        /// Whether a new connection must be used.
        fresh: bool,
    },
    /// Asks where the session stands; answered by `Status` or `Failed`.
    Ask {
        /// The call.
        attempt: AttemptNumber,
        /// Where to.
        endpoint: EndpointId,
        /// Longest wait.
        timeout: Duration,
    },
    /// Asks for the KV cache; answered by `Exported` or `Failed`.
    Export {
        /// The call.
        attempt: AttemptNumber,
        /// Where to.
        endpoint: EndpointId,
        /// Longest wait.
        timeout: Duration,
    },
    /// Gives the KV cache to a replacement; answered by `Imported` or `Failed`.
    Import {
        /// The call.
        attempt: AttemptNumber,
        /// Where to.
        endpoint: EndpointId,
        /// The lineage to start.
        lineage: Lineage,
        /// The cache.
        cache: Arc<str>,
        /// Longest wait.
        timeout: Duration,
    },
    /// Asks for a chain over a range; answered by `Placed`.
    Place {
        /// The layers to cover.
        range: LayerRange,
        /// Endpoints that must not be used.
        avoid: Vec<EndpointId>,
    },
    /// Waits, then answers with `Resume`.
    Pause {
        /// How long.
        wait: Duration,
    },
    /// Prolongs the session's life at an engine; not answered.
    Renew {
        /// Where to.
        endpoint: EndpointId,
        /// Life from now.
        life: Duration,
    },
    /// Ends the session at an engine; not answered.
    Cancel {
        /// Where to.
        endpoint: EndpointId,
    },
    /// Gives the next token to the caller.
    Deliver {
        /// Position of the token.
        position: Position,
        /// The token.
        token: Token,
    },
    /// The whole answer has been delivered.
    Finish,
    /// The request is given up.
    Fail {
        /// Why, with the outcome to tell.
        error: RouteError,
    },
}
