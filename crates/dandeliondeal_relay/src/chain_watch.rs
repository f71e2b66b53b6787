//! Detects failed engines of a chain while its stream delivers no events.

use std::time::{Duration, Instant};

use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::{Clock, EndpointId};

use crate::dialect::FleetDialect;
use crate::relay_context::RelayContext;

/// Time without an event after which the states of the chain's engines are checked.
///
/// A healthy chain sends an event every 20 to 40 ms, and callers count a pause of 250 ms as late.
const QUIET_LIMIT: Duration = Duration::from_millis(160);
/// Time without an event after which the first engine is asked which engine it waits for.
const REPORT_AFTER: Duration = Duration::from_millis(300);

/// Waits until an engine of the chain is found unresponsive and returns its id.
///
/// The relay starts a new watch after each event.
pub async fn watch_chain<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    chain: &EngineChain,
    request: &str,
    last_sign: Instant,
) -> EndpointId
where
    Time: Clock,
    Dialect: FleetDialect,
{
    loop {
        let quiet = context.now().saturating_duration_since(last_sign);
        if quiet < QUIET_LIMIT {
            actix_rt::time::sleep(QUIET_LIMIT.saturating_sub(quiet)).await;
            continue;
        }
        if let Some(engine) = context.fleet().borrow().first_lost(chain) {
            return engine;
        }
        if quiet >= REPORT_AFTER
            && let Some(engine) = diagnose(context, chain, request).await
        {
            return engine;
        }
        actix_rt::time::sleep(QUIET_LIMIT).await;
    }
}

/// Finds the engine that the request waits for and takes it out of use.
///
/// The first engine is asked for a report; if it does not answer, it is the failed one itself.
async fn diagnose<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    chain: &EngineChain,
    request: &str,
) -> Option<EndpointId>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    let first = &chain.hops[0];
    let report = context
        .reports()
        .fetch(context, &first.id, first.address)
        .await;
    let lost = match &report {
        None => Some(EndpointId::clone(&first.id)),
        Some(report) => {
            let stalled = report
                .stalled
                .iter()
                .find(|stalled| *stalled.request == *request);
            stalled.and_then(|stalled| {
                let hop = chain.hops.iter().find(|hop| hop.address == stalled.engine);
                hop.map(|hop| EndpointId::clone(&hop.id))
            })
        }
    };
    if let Some(engine) = &lost {
        let now = context.now();
        context.fleet().borrow_mut().blame(engine, now);
        context.checks().suspect(engine, now);
        tracing::info!(request, %engine, "engine does not answer; taken out of use");
    }
    lost
}
