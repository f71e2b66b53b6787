//! Explains why a chain delivers no events.

use std::time::{Duration, Instant};

use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::{Clock, EndpointId};
use derive_more::Display;
use tokio::sync::watch;

use crate::dialect::FleetDialect;
use crate::engine_check::{CheckCause, check_engine};
use crate::loss_board::{confirm_loss, record_loss};
use crate::loss_notice::LossEvidence;
use crate::process_watch::WatchCause;
use crate::relay_context::RelayContext;
use crate::silence_watch::StreamSilence;

/// Time without an event after which the states of the chain's engines are checked.
///
/// A healthy chain sends an event every 20 to 40 ms, and callers count a pause of 250 ms as late.
const SILENCE_LIMIT: Duration = Duration::from_millis(160);
/// Time without an event after which the first engine is asked which engine it waits for.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// Time without an event after which a stream of a graded service counts as silent.
const SUSPICION_LIMIT: Duration = Duration::from_millis(100);
/// Time between two looks at the suspected engines of a silent chain.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(10);

/// Time without an event after which an engine without a queue counts as mute although it answers
/// reports.
const MUTE_LIMIT: Duration = Duration::from_millis(800);

/// Reason why a chain delivers no events.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SilenceCause {
    /// An engine does not answer, or the first engine's report names it.
    #[display("waiting for unresponsive engine {_0}")]
    Unresponsive(EndpointId),
    /// The first engine reports no queue and no failure, but delivers no event.
    #[display("no event from engine {_0}")]
    Mute(EndpointId),
    /// Streams through the engine fell silent together.
    #[display("suspected engine {_0}")]
    Suspected(EndpointId),
}

impl SilenceCause {
    /// Returns the engine that is held responsible.
    pub fn engine(&self) -> &EndpointId {
        match self {
            Self::Unresponsive(engine) | Self::Mute(engine) | Self::Suspected(engine) => engine,
        }
    }
}

/// Waits until the chain is silent for a reason that another chain may not share, and returns it.
///
/// The relay starts a new watch after each event. An engine that is silent may recover, so the
/// result justifies another run, but not the end of the current one.
pub async fn watch_chain<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    chain: &EngineChain,
    request: &str,
    last_activity: Instant,
    evidence: Option<&StreamSilence<Time, Dialect>>,
) -> SilenceCause
where
    Time: Clock,
    Dialect: FleetDialect,
{
    let mut is_logged = false;
    let mut losses = context.losses().subscribe();
    loop {
        if let Some(engine) = context.losses().first_lost(chain, last_activity) {
            count_silence(context, "known-loss");
            return SilenceCause::Unresponsive(engine);
        }
        let silence = context.now().saturating_duration_since(last_activity);
        if let Some(evidence) = evidence {
            if let Some(engine) = find_suspect(context, evidence, request, silence) {
                return SilenceCause::Suspected(engine);
            }
            if silence < SILENCE_LIMIT {
                let first_wait = if evidence.find_told().is_some() {
                    SUSPICION_INTERVAL
                } else {
                    SUSPICION_LIMIT.saturating_sub(silence)
                };
                wait_for_loss(&mut losses, first_wait.max(SUSPICION_INTERVAL)).await;
                continue;
            }
        }
        if silence < SILENCE_LIMIT {
            let until_limit = last_activity + SILENCE_LIMIT;
            let wait = until_limit.saturating_duration_since(context.now());
            wait_for_loss(&mut losses, wait).await;
            continue;
        }
        let failed = context.fleet().borrow().first_failed(chain);
        if let Some(engine) = failed {
            count_silence(context, "known-failure");
            return SilenceCause::Unresponsive(engine);
        }
        if silence >= REPORT_DELAY {
            let finding = check_first_engine(context, chain, request).await;
            if let ReportFinding::Unresponsive(engine) = finding {
                count_silence(context, "engine-failure");
                return SilenceCause::Unresponsive(engine);
            }
            if !is_logged {
                is_logged = true;
                // The first engine may be silent because the process of a later one has ended.
                for hop in chain.hops.iter().skip(1) {
                    let watch = context.process_watch();
                    watch.add(&hop.id, WatchCause::Failure);
                }
                count_silence(context, "none");
                tracing::info!(
                    request,
                    engine = %chain.hops[0].id,
                    silence_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
                    ?finding,
                    "stream is silent; its engines report no failure"
                );
            }
            if finding == ReportFinding::Idle && silence >= MUTE_LIMIT {
                count_silence(context, "mute");
                return SilenceCause::Mute(EndpointId::clone(&chain.hops[0].id));
            }
        }
        let pause = if evidence.is_some() && silence < REPORT_DELAY {
            SUSPICION_INTERVAL
        } else {
            SILENCE_LIMIT
        };
        wait_for_loss(&mut losses, pause).await;
    }
}

/// Returns the suspected engine of a silent chain, which is then checked.
fn find_suspect<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    evidence: &StreamSilence<Time, Dialect>,
    request: &str,
    silence: Duration,
) -> Option<EndpointId>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    if let Some(engine) = evidence.find_told()
        && silence >= evidence.told_limit()
    {
        count_silence(context, "told-suspicion");
        return Some(engine);
    }
    if silence < SUSPICION_LIMIT {
        return None;
    }
    let suspicion = evidence.find_suspect()?;
    check_engine(context, &suspicion.engine, CheckCause::Silence);
    count_silence(context, "suspected");
    tracing::info!(
        request,
        engine = %suspicion.engine,
        silent_streams = suspicion.silent_streams,
        sound_probability = suspicion.sound_probability,
        silence_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
        "engine suspected; its streams are silent"
    );
    Some(suspicion.engine)
}

/// Waits until an engine was certainly lost, or until `limit` has passed.
async fn wait_for_loss(losses: &mut watch::Receiver<u64>, limit: Duration) {
    // The sender lives as long as the context, so the wait for a change does not fail.
    drop(actix_rt::time::timeout(limit, losses.changed()).await);
}

fn count_silence<Time, Dialect>(context: &RelayContext<Time, Dialect>, finding: &str)
where
    Time: Clock,
{
    let silences = &context.metrics().silences;
    silences.with_label_values(&[finding]).inc();
}

/// What the first engine's report says about a silent request.
#[derive(Clone, Debug, Eq, PartialEq)]
enum ReportFinding {
    /// The request waits for this engine.
    Unresponsive(EndpointId),
    /// Requests wait to be admitted, so the request may be one of them.
    Queued,
    /// Nothing explains the silence.
    Idle,
}

/// Asks the first engine which engine the request waits for, and takes that one out of use.
///
/// If the first engine does not answer, it is the unresponsive one itself.
async fn check_first_engine<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    chain: &EngineChain,
    request: &str,
) -> ReportFinding
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
    let Some(engine) = failed else {
        let is_queued = report.is_some_and(|report| report.waiting > 0);
        return if is_queued {
            ReportFinding::Queued
        } else {
            ReportFinding::Idle
        };
    };
    let now = context.now();
    context.mark_failed(&engine);
    context.engine_checks().add_suspect(&engine, now);
    tracing::info!(request, %engine, "engine does not answer; taken out of use");
    if context.losses().is_shared() {
        let (context, engine) = (context.clone(), EndpointId::clone(&engine));
        actix_rt::spawn(async move {
            if !confirm_loss(&context, &engine, LossEvidence::Refused).await {
                record_loss(&context, &engine, LossEvidence::Silent);
            }
        });
    }
    ReportFinding::Unresponsive(engine)
}
