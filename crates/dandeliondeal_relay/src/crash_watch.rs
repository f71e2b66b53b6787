//! Finds out whether an endpoint's process has ended, and logs which requests are refused for it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_quarantine::{
    ProcessId, QuarantineChange, RunRecord, RunStage, SuspectRequest, is_fingerprint,
};
use dandeliondeal_types::{Clock, EndpointId, EndpointRecord};
use futures_util::future::select_ok;
use tokio::sync::OnceCell;

use crate::endpoint_exchange::{ConnectionChoice, open_connection};
use crate::link_monitor::probe_links;
use crate::loss_board::record_loss;
use crate::loss_notice::LossEvidence;
use crate::relay_context::RelayContext;

/// Maximum time to connect to an endpoint of which another connection has just broken.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of endpoints of other services that are tried to find out whether this instance has
/// its links.
const MAX_WITNESSES: usize = 2;
/// Time for which the result of a check is used for other requests that the process held.
const RESULT_LIFE: Duration = Duration::from_secs(2);

/// Whether a process has ended, which the requests that it held share; `Some(true)` if another
/// endpoint accepted a connection after the end.
///
/// Otherwise this instance may have lost its links to the endpoints.
type SharedResult = Rc<OnceCell<Option<bool>>>;

/// Checks whether processes have ended.
#[derive(Debug, Default)]
pub struct ProcessChecks {
    results: RefCell<HashMap<ProcessId, (Instant, SharedResult)>>,
}

impl ProcessChecks {
    fn shared_result(&self, process: &ProcessId, now: Instant) -> SharedResult {
        let mut results = self.results.borrow_mut();
        results.retain(|_, (at, result)| {
            let is_recent = now.saturating_duration_since(*at) < RESULT_LIFE;
            // Only an end is final.
            is_recent && result.get() != Some(&None)
        });
        let (_, result) = results
            .entry(ProcessId::clone(process))
            .or_insert_with(|| (now, SharedResult::default()));
        Rc::clone(result)
    }
}

/// Returns the id of the process that wrote a registration.
pub(crate) fn process_id(record: &EndpointRecord) -> ProcessId {
    format!("{}@{}", record.id, record.started_at_ms).into()
}

/// Returns an endpoint's process if it has ended unexpectedly, and records its end.
///
/// A broken connection alone does not show that: endpoints and links reset connections as well. A
/// process has ended if its address refuses connections; an endpoint that does not answer may be
/// unreachable. An endpoint that is draining or deregistered was stopped.
pub(crate) async fn find_end<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    endpoint: &EndpointId,
) -> Option<ProcessId>
where
    Time: Clock,
{
    let record = {
        let fleet = context.fleet().borrow();
        let record = fleet.record(endpoint).filter(|record| !record.is_draining);
        record.cloned()?
    };
    let process = process_id(&record);
    let result = context
        .process_checks()
        .shared_result(&process, context.now());
    let is_confirmed = result.get_or_init(|| check_process(context, &record));
    let is_confirmed = (*is_confirmed.await)?;
    record_process_end(context, &process, is_confirmed);
    Some(process)
}

/// Records the end of a process for all requests that it held, also those that were given up shortly
/// before.
pub(crate) fn record_process_end<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    process: &ProcessId,
    is_confirmed: bool,
) where
    Time: Clock,
{
    let now = context.now();
    let runs = context.held_runs().borrow_mut().take_ended(process, now);
    record_ended_runs(context, process, &runs, is_confirmed);
}

/// Records that a process has ended in whose place another one was started.
pub(crate) fn record_successor<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    process: &ProcessId,
    successor: &ProcessId,
) where
    Time: Clock,
{
    let now = context.now();
    let mut held_runs = context.held_runs().borrow_mut();
    let runs = held_runs.supersede(process, successor, now);
    drop(held_runs);
    let is_confirmed = true;
    record_ended_runs(context, process, &runs, is_confirmed);
}

fn record_ended_runs<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    process: &ProcessId,
    runs: &[Rc<RunRecord>],
    is_confirmed: bool,
) where
    Time: Clock,
{
    if runs.is_empty() {
        return;
    }
    let now = context.now();
    for run in runs {
        let has_begun = run.stage() != RunStage::Waiting;
        tracing::info!(
            request = %run.request, process = &**process, has_begun, stage = %run.stage(),
            is_given_up = run.is_given_up(), is_confirmed, features = run.features.join(","),
            "process ended under a request"
        );
    }
    let suspects: Vec<SuspectRequest<'_>> = runs.iter().map(|run| run.suspect(process)).collect();
    let crashes = context.crashes();
    crashes
        .borrow_mut()
        .record_ends(process, &suspects, is_confirmed, now);
    log_changes(context);
    context.request_report();
}

/// Returns whether the end of a process is certain; `None` if it has not ended.
async fn check_process<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    record: &EndpointRecord,
) -> Option<bool>
where
    Time: Clock,
{
    let Err(error) = try_connect(context, &record.id, record.address).await else {
        return None;
    };
    let is_confirmed = has_witness(context, record).await;
    tracing::info!(
        endpoint = %record.id, %error, is_refused = error.is_refused(), is_confirmed,
        "endpoint accepts no connection"
    );
    if is_confirmed {
        // Engines only; the monitor of plain services counts each failed call.
        let now = context.now();
        context.fleet().borrow_mut().mark_failed(&record.id, now);
        context.engine_checks().add_suspect(&record.id, now);
        let evidence = if error.is_refused() {
            LossEvidence::Reset
        } else {
            LossEvidence::Silent
        };
        record_loss(context, &record.id, evidence);
    }
    if !error.is_refused() {
        let process = process_id(record);
        let mut held_runs = context.held_runs().borrow_mut();
        held_runs.record_unanswered(&process, context.now());
        return None;
    }
    Some(is_confirmed)
}

/// Returns whether another endpoint accepts connections; one of the same service is preferred.
async fn has_witness<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    ended: &EndpointRecord,
) -> bool
where
    Time: Clock,
{
    if probe_links(context, &ended.service).await > 0 {
        return true;
    }
    let witnesses: Vec<(EndpointId, SocketAddr)> = {
        let fleet = context.fleet().borrow();
        let records = fleet.records();
        let others = records.filter(|record| record.service != ended.service);
        let others = others.map(|record| (EndpointId::clone(&record.id), record.address));
        others.take(MAX_WITNESSES).collect()
    };
    let attempts = witnesses
        .iter()
        .map(|(endpoint, address)| Box::pin(try_connect(context, endpoint, *address)));
    let attempts: Vec<_> = attempts.collect();
    !attempts.is_empty() && select_ok(attempts).await.is_ok()
}

async fn try_connect<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    endpoint: &EndpointId,
    address: SocketAddr,
) -> Result<(), dandeliondeal_http::ConnectionError>
where
    Time: Clock,
{
    let choice = ConnectionChoice::New;
    let opened = open_connection(context, endpoint, address, choice, CHECK_TIMEOUT).await;
    opened.map(drop)
}

/// Logs and counts the changes of what is refused.
pub(crate) fn log_changes<Time, Dialect>(context: &RelayContext<Time, Dialect>)
where
    Time: Clock,
{
    let changes = context.crashes().borrow_mut().take_changes();
    if changes.is_empty() {
        return;
    }
    for change in &changes {
        match change {
            QuarantineChange::Added(verdict) if is_fingerprint(&verdict.key.feature) => {
                tracing::warn!(
                    service = %verdict.key.service, fingerprint = %verdict.key.feature,
                    processes = verdict.processes.join(","),
                    "copies of this request crash endpoints and are refused"
                );
            }
            QuarantineChange::Added(verdict) => tracing::warn!(
                service = %verdict.key.service, part = %verdict.key.feature,
                companions = verdict.companions.join(","),
                processes = verdict.processes.join(","),
                "prompts with this part crash engines and are refused"
            ),
            QuarantineChange::Lifted(key) if is_fingerprint(&key.feature) => tracing::warn!(
                service = %key.service, fingerprint = %key.feature,
                "copies of this request are served again"
            ),
            QuarantineChange::Lifted(key) => tracing::warn!(
                service = %key.service, part = %key.feature, "prompts with this part are served again"
            ),
        }
    }
    let count = context.crashes().borrow().verdicts().len();
    let gauge = &context.metrics().quarantined_parts;
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}
