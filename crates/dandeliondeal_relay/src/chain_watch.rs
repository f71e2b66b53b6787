//! Detects failed engines of a chain while its stream delivers no events.

use std::time::{Duration, Instant};

use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::{Clock, EndpointId};

use crate::dialect::FleetDialect;
use crate::relay_context::RelayContext;

/// Time without an event after which the states of the chain's engines are checked.
///
/// A healthy chain sends an event every 20 to 40 ms, and callers count a pause of 250 ms as late.
const SILENCE_LIMIT: Duration = Duration::from_millis(160);
/// Time without an event after which the first engine is asked which engine it waits for.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// Waits until an engine of the chain is found unresponsive and returns its id.
///
/// The relay starts a new watch after each event.
pub async fn watch_chain<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    chain: &EngineChain,
    request: &str,
    last_activity: Instant,
) -> EndpointId
where
    Time: Clock,
    Dialect: FleetDialect,
{
    let mut is_logged = false;
    loop {
        let silence = context.now().saturating_duration_since(last_activity);
        if silence < SILENCE_LIMIT {
            actix_rt::time::sleep(SILENCE_LIMIT.saturating_sub(silence)).await;
            continue;
        }
        let failed = context.fleet().borrow().first_failed(chain);
        if let Some(engine) = failed {
            count_silence(context, "known-failure");
            return engine;
        }
        if silence >= REPORT_DELAY {
            let found = find_stalled_engine(context, chain, request).await;
            if let Some(engine) = found {
                count_silence(context, "engine-failure");
                return engine;
            }
            if !is_logged {
                is_logged = true;
                count_silence(context, "none");
                tracing::info!(
                    request,
                    engine = %chain.hops[0].id,
                    silence_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
                    "stream is silent; its engines report no failure"
                );
            }
        }
        actix_rt::time::sleep(SILENCE_LIMIT).await;
    }
}

fn count_silence<Time, Dialect>(context: &RelayContext<Time, Dialect>, finding: &str)
where
    Time: Clock,
{
    let silences = &context.metrics().silences;
    silences.with_label_values(&[finding]).inc();
}

/// Finds the engine that the request waits for and takes it out of use.
///
/// The first engine is asked for a report; if it does not answer, it is the failed one itself.
async fn find_stalled_engine<Time, Dialect>(
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
        .report_cache()
        .fetch(context, &first.id, first.address)
        .await;
    let failed = match &report {
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
    if let Some(engine) = &failed {
        let now = context.now();
        context.fleet().borrow_mut().mark_failed(engine, now);
        context.engine_checks().add_suspect(engine, now);
        tracing::info!(request, %engine, "engine does not answer; taken out of use");
    }
    failed
}
