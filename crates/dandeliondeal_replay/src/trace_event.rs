//! What happens in a trace, and what it states.

use std::sync::Arc;

use dandeliondeal_types::{EndpointId, InstanceId, Layer, RequestId, Revision};
use serde::{Deserialize, Serialize};

/// Something that happens.
///
/// Times are in milliseconds. An endpoint is an engine or a service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case", deny_unknown_fields)]
pub enum TraceEvent {
    /// A caller asks for a completion.
    Request {
        /// The request.
        request: RequestId,
        /// The instance it reaches; the first one in service if none is named.
        instance: Option<InstanceId>,
        /// The prompt, one token a byte.
        prompt: Arc<str>,
        /// Tokens to generate.
        tokens: usize,
    },
    /// A caller asks a service for something that may not be repeated.
    Keyed {
        /// The request.
        request: RequestId,
        /// The instance it reaches; the first one in service if none is named.
        instance: Option<InstanceId>,
        /// The caller's idempotency key.
        key: Arc<str>,
        /// The service.
        service: EndpointId,
    },
    /// The caller closes the connection.
    CallerLeft {
        /// The request.
        request: RequestId,
    },
    /// The deadline passes.
    Deadline {
        /// The request.
        request: RequestId,
    },
    /// The endpoint's process ends.
    Kill {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The endpoint's process starts again, with nothing kept.
    Restart {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Every connection open now goes silent for good; new ones work.
    Silence {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The endpoint answers nothing and runs nothing until [`TraceEvent::Thaw`].
    Freeze {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The endpoint goes on.
    Thaw {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The link to the endpoint takes longer, each way.
    Slow {
        /// The endpoint.
        endpoint: EndpointId,
        /// Time added.
        milliseconds: u64,
    },
    /// The next calls take effect, and their answers are lost.
    LoseAnswers {
        /// The endpoint.
        endpoint: EndpointId,
        /// How many.
        count: u32,
    },
    /// The next calls are lost.
    LoseCalls {
        /// The endpoint.
        endpoint: EndpointId,
        /// How many.
        count: u32,
    },
    /// The next answers come late.
    LateAnswers {
        /// The endpoint.
        endpoint: EndpointId,
        /// How many.
        count: u32,
        /// How late.
        milliseconds: u64,
    },
    /// The next two answers to different requests are exchanged.
    CrossAnswers {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The endpoint takes no new work; the instance list tells so after its lag.
    Leave {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A new engine joins.
    Join {
        /// The engine.
        endpoint: EndpointId,
        /// First layer that it holds.
        start: Layer,
        /// One past the last layer that it holds.
        end: Layer,
    },
    /// The platform refuses every call, or does so no longer.
    StoreOutage {
        /// Whether it does.
        on: bool,
    },
    /// Each call to the platform takes longer.
    StoreSlow {
        /// Time added.
        milliseconds: u64,
    },
    /// The next writes take effect, and their answers are lost.
    StoreLoseAnswers {
        /// How many.
        count: u32,
    },
    /// The next writes take effect only after a delay, and their answers are lost.
    StoreLateWrites {
        /// How many.
        count: u32,
        /// The delay.
        milliseconds: u64,
    },
    /// An instance stands still until [`TraceEvent::Resume`].
    Pause {
        /// The instance.
        instance: InstanceId,
    },
    /// The instance goes on and finds all that came meanwhile.
    Resume {
        /// The instance.
        instance: InstanceId,
    },
    /// A planned stop of an instance.
    Stop {
        /// The instance.
        instance: InstanceId,
    },
    /// An instance ends without notice.
    Crash {
        /// The instance.
        instance: InstanceId,
    },
    /// An instance starts, in place of an earlier one of that name if there was one.
    Start {
        /// The instance.
        instance: InstanceId,
    },
    /// An operator gives in the example sheet with one value changed.
    Sheet {
        /// Name of the change.
        change: Arc<str>,
        /// The revision that the operator looked at.
        base: Option<Revision>,
        /// The value of `endpoint,engine-1,capacity`.
        capacity: Arc<str>,
    },
    /// The holder of the lease is to bring this version of the weights to an engine.
    Desire {
        /// The engine.
        endpoint: EndpointId,
        /// The version.
        version: Arc<str>,
    },
    /// An instance contends for the lease from now on.
    Contend {
        /// The instance.
        instance: InstanceId,
    },
}

/// How a request ended, as its caller sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StatedOutcome {
    /// The whole answer came.
    Answered,
    /// The caller was told that nothing ran.
    NotRun,
    /// The caller was told that something may have run.
    InDoubt,
    /// The caller was told nothing: its instance is gone.
    Broken,
    /// The request has not ended.
    Open,
}

/// What an operator is told of a sheet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SheetVerdict {
    /// It is accepted.
    Accepted,
    /// Another change was first.
    Conflict,
    /// The sheet is wrong.
    Refused,
    /// The platform did not take it; nothing was applied.
    NotAccepted,
    /// It is not known whether it was accepted.
    Unknown,
}

/// What a trace states at some moment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "expect", rename_all = "kebab-case", deny_unknown_fields)]
pub enum TraceOutcome {
    /// How a request ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// Its end.
        outcome: StatedOutcome,
    },
    /// Tokens that a caller has received.
    Delivered {
        /// The request.
        request: RequestId,
        /// How many.
        tokens: usize,
    },
    /// How often the work of a key ran.
    Runs {
        /// The key.
        key: Arc<str>,
        /// How often.
        count: usize,
    },
    /// Sessions that are open at an engine.
    Sessions {
        /// The engine.
        endpoint: EndpointId,
        /// How many.
        count: usize,
    },
    /// What a request has met.
    Met {
        /// The request.
        request: RequestId,
        /// Which count: `resumed`, `imported`, `fed`, `rerun`, `restarted`, `crossed`, `stale`, `bad`.
        count: Arc<str>,
        /// The smallest value.
        least: u64,
    },
    /// Positions that ran at an engine.
    Ran {
        /// The engine.
        endpoint: EndpointId,
        /// The smallest number.
        least: usize,
    },
    /// What the operator was told of a sheet.
    Verdict {
        /// Name of the change.
        change: Arc<str>,
        /// What was told.
        verdict: SheetVerdict,
    },
    /// The revision in force at an instance, and whether the instance is ready with it.
    InForce {
        /// The instance.
        instance: InstanceId,
        /// The revision.
        revision: Revision,
        /// Whether the revision is confirmed.
        ready: bool,
    },
    /// The version of the weights that an engine holds.
    Version {
        /// The engine.
        endpoint: EndpointId,
        /// The version.
        version: Arc<str>,
    },
    /// Who may act under the lease; nobody if absent.
    Holder {
        /// The instance.
        instance: Option<InstanceId>,
    },
    /// Whether a planned stop is over.
    Stopped {
        /// The instance.
        instance: InstanceId,
    },
}
