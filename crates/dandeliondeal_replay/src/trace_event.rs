//! Events and expected outcomes of a trace.

use std::sync::Arc;

use dandeliondeal_types::{EndpointId, InstanceId, Layer, RequestId, Revision};
use serde::{Deserialize, Serialize};

/// An event in a trace.
///
/// Times are in milliseconds. An endpoint is an engine or a service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case", deny_unknown_fields)]
pub enum TraceEvent {
    /// A caller sends a completion request.
    Request {
        /// The request.
        request: RequestId,
        /// Preferred instance; if it is absent or accepts no requests, the first one that does.
        instance: Option<InstanceId>,
        /// The prompt; each byte is one token.
        prompt: Arc<str>,
        /// Number of tokens to generate.
        tokens: usize,
    },
    /// A caller sends a request with an idempotency key to a service.
    Keyed {
        /// The request.
        request: RequestId,
        /// Preferred instance; if it is absent or accepts no requests, the first one that does.
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
    /// The deadline of a request passes.
    Deadline {
        /// The request.
        request: RequestId,
    },
    /// The endpoint's process is killed.
    Kill {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A killed endpoint starts again; an engine has lost its sessions.
    Restart {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// All open connections become silent permanently; new connections work.
    Silence {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The endpoint neither runs nor answers calls until [`TraceEvent::Thaw`].
    Freeze {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The endpoint continues and processes the calls that arrived during the freeze.
    Thaw {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The link to the endpoint becomes slower, each way.
    Slow {
        /// The endpoint.
        endpoint: EndpointId,
        /// Added latency in milliseconds.
        milliseconds: u64,
    },
    /// The next calls take effect, but their answers are lost.
    LoseAnswers {
        /// The endpoint.
        endpoint: EndpointId,
        /// Number of calls.
        count: u32,
    },
    /// The next calls are lost.
    LoseCalls {
        /// The endpoint.
        endpoint: EndpointId,
        /// Number of calls.
        count: u32,
    },
    /// The next answers are delayed.
    LateAnswers {
        /// The endpoint.
        endpoint: EndpointId,
        /// Number of answers.
        count: u32,
        /// Delay in milliseconds.
        milliseconds: u64,
    },
    /// The next two answers to different requests are exchanged.
    CrossAnswers {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The endpoint accepts no new work; the router learns of it after the list lag.
    Leave {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A new engine joins.
    Join {
        /// The engine.
        endpoint: EndpointId,
        /// First layer of the engine.
        start: Layer,
        /// One past the last layer of the engine.
        end: Layer,
    },
    /// Starts or ends an outage during which the platform refuses every call.
    StoreOutage {
        /// Whether the outage starts.
        on: bool,
    },
    /// Calls to the platform become slower.
    StoreSlow {
        /// Added latency in milliseconds.
        milliseconds: u64,
    },
    /// The next writes take effect, but their answers are lost.
    StoreLoseAnswers {
        /// Number of writes.
        count: u32,
    },
    /// The next writes take effect after a delay, and their answers are lost.
    StoreLateWrites {
        /// Number of writes.
        count: u32,
        /// Delay in milliseconds.
        milliseconds: u64,
    },
    /// An instance is paused until [`TraceEvent::Resume`].
    Pause {
        /// The instance.
        instance: InstanceId,
    },
    /// The instance resumes and processes the tasks that were deferred.
    Resume {
        /// The instance.
        instance: InstanceId,
    },
    /// A planned stop of an instance starts.
    Stop {
        /// The instance.
        instance: InstanceId,
    },
    /// An instance crashes.
    Crash {
        /// The instance.
        instance: InstanceId,
    },
    /// An instance starts, replacing an earlier one of the same name.
    Start {
        /// The instance.
        instance: InstanceId,
    },
    /// An operator submits the example sheet with one value changed.
    Sheet {
        /// Name of the change.
        change: Arc<str>,
        /// The revision on which the operator's change is based.
        base: Option<Revision>,
        /// The value of `endpoint,engine-1,capacity`.
        capacity: Arc<str>,
    },
    /// Sets the version of the weights that an engine should load.
    Desire {
        /// The engine.
        endpoint: EndpointId,
        /// The version.
        version: Arc<str>,
    },
    /// An instance starts to contend for the lease.
    Contend {
        /// The instance.
        instance: InstanceId,
    },
}

/// Outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The complete answer was delivered.
    Answered,
    /// The caller was told that the request did not run.
    NotRun,
    /// The caller was told that the request may have run.
    InDoubt,
    /// The caller received no result because its instance crashed.
    Broken,
    /// The request is still open.
    Open,
}

/// Result of submitting a sheet, as its operator sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SheetVerdict {
    /// The sheet was accepted.
    Accepted,
    /// Another change was accepted first.
    Conflict,
    /// The sheet is invalid.
    Refused,
    /// The platform did not accept the sheet, and nothing was applied.
    NotAccepted,
    /// It is unknown whether the sheet was accepted.
    Unknown,
}

/// An expected outcome at a given time in a trace.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "expect", rename_all = "kebab-case", deny_unknown_fields)]
pub enum TraceExpectation {
    /// The outcome of a request.
    Outcome {
        /// The request.
        request: RequestId,
        /// The expected outcome.
        outcome: RequestOutcome,
    },
    /// Number of tokens that a caller has received.
    Delivered {
        /// The request.
        request: RequestId,
        /// The expected number.
        tokens: usize,
    },
    /// How often the request of an idempotency key ran.
    Runs {
        /// The idempotency key.
        key: Arc<str>,
        /// The expected number of runs.
        count: usize,
    },
    /// Number of open sessions at an engine.
    Sessions {
        /// The engine.
        endpoint: EndpointId,
        /// The expected number.
        count: usize,
    },
    /// Minimum value of a recovery or fault counter of a request's session.
    Met {
        /// The request.
        request: RequestId,
        /// Name of the counter, a field of [`SessionCounters`]: `resumed`, `imported`, `rerun`,
        /// `restarted` or `stale`, or `fed` for [`replayed`], `crossed` for [`other_request`] and
        /// `bad` for [`invalid`].
        ///
        /// [`SessionCounters`]: dandeliondeal_pipeline::SessionCounters
        /// [`replayed`]: dandeliondeal_pipeline::SessionCounters::replayed
        /// [`other_request`]: dandeliondeal_pipeline::SessionCounters::other_request
        /// [`invalid`]: dandeliondeal_pipeline::SessionCounters::invalid
        count: Arc<str>,
        /// The minimum value.
        least: u64,
    },
    /// Minimum number of positions that ran at an engine.
    Ran {
        /// The engine.
        endpoint: EndpointId,
        /// The minimum number.
        least: usize,
    },
    /// The verdict on a sheet.
    Verdict {
        /// Name of the change.
        change: Arc<str>,
        /// The expected verdict.
        verdict: SheetVerdict,
    },
    /// The revision in force at an instance, and whether the instance is ready.
    InForce {
        /// The instance.
        instance: InstanceId,
        /// The revision.
        revision: Revision,
        /// Whether the revision is confirmed, so that the instance is ready.
        ready: bool,
    },
    /// The version of the weights that an engine has loaded.
    Version {
        /// The engine.
        endpoint: EndpointId,
        /// The version.
        version: Arc<str>,
    },
    /// The instance that may act under the lease.
    Holder {
        /// The expected holder, or none.
        instance: Option<InstanceId>,
    },
    /// The planned stop of an instance has ended.
    Stopped {
        /// The instance.
        instance: InstanceId,
    },
}
