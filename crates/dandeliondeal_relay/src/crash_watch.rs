//! Finds out whether an engine's process has ended, and logs which prompts are refused for it.

use std::net::SocketAddr;

use dandeliondeal_quarantine::{ProcessId, QuarantineChange};
use dandeliondeal_types::{Clock, EndpointId};

use crate::endpoint_exchange::{CONNECT_TIMEOUT, ConnectionChoice, open_connection};
use crate::relay_context::RelayContext;

/// Returns the id of an engine's process if it has ended unexpectedly.
///
/// A broken connection alone does not show that: engines and links reset connections as well. An
/// engine that is draining or deregistered was stopped.
pub(crate) async fn ended_process<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    address: SocketAddr,
) -> Option<ProcessId>
where
    Time: Clock,
{
    let (process, is_usable) = {
        let fleet = context.fleet().borrow();
        let record = fleet.record(engine).filter(|record| !record.is_draining)?;
        let process: ProcessId = format!("{engine}@{}", record.started_at_ms).into();
        (process, fleet.is_usable(engine))
    };
    if !is_usable {
        return Some(process);
    }
    let choice = ConnectionChoice::New;
    match open_connection(context, engine, address, choice, CONNECT_TIMEOUT).await {
        Ok(connection) => {
            context.pool().borrow_mut().put(engine, connection);
            None
        }
        Err(error) => {
            let now = context.now();
            context.fleet().borrow_mut().mark_failed(engine, now);
            context.engine_checks().add_suspect(engine, now);
            tracing::info!(%engine, %error, "engine does not answer; taken out of use");
            Some(process)
        }
    }
}

/// Logs and counts the changes of what is refused.
pub(crate) fn log_changes<Time, Dialect>(context: &RelayContext<Time, Dialect>)
where
    Time: Clock,
{
    let (changes, count) = {
        let mut crashes = context.crashes().borrow_mut();
        let changes = crashes.take_changes();
        (changes, crashes.verdicts().len())
    };
    for change in &changes {
        match change {
            QuarantineChange::Added(verdict) => tracing::warn!(
                service = %verdict.key.service, part = %verdict.key.feature,
                companions = verdict.companions.join(","),
                processes = verdict.processes.join(","),
                "prompts with this part crash engines and are refused"
            ),
            QuarantineChange::Lifted(key) => tracing::warn!(
                service = %key.service, part = %key.feature, "prompts with this part are served again"
            ),
        }
    }
    let gauge = &context.metrics().quarantined_parts;
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}
