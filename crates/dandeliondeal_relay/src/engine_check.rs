//! Checks engines after a rejection, a stall or a suspicion of another instance.
//!
//! A suspicion of another instance only starts a check: an instance takes an engine out of use only
//! after a failure that it observed itself. An instance whose own network is broken can therefore
//! not mislead the others.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::{Duration, Instant};

use dandeliondeal_balance::CallResult;
use dandeliondeal_types::{Clock, EndpointId};

use crate::dialect::{EngineReport, FleetDialect};
use crate::endpoint_backoff::is_backed_off;
use crate::engine_calls::REPORT_TIMEOUT;
use crate::loss_board::{confirm_loss, record_loss};
use crate::loss_notice::LossEvidence;
use crate::relay_context::RelayContext;

/// Minimum time between two checks of one engine, which is about the age of a report's values.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which an engine that was found failed is reported to other instances.
///
/// They learn of it within two load reports to a hub, which take 400 ms.
const SUSPICION_TIME: Duration = Duration::from_secs(1);

/// Memory fill from which a rejection is attributed to lack of memory.
///
/// Below it, the engine is assumed to be leaving or giving up its layers. Its registration may not
/// show that during a store outage.
const HIGH_FILL: f64 = 0.7;

/// Reason for the check of an engine.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum CheckCause {
    /// A request was rejected because of the engine.
    #[display("rejection")]
    Rejection,
    /// Another instance found the engine failed.
    #[display("suspicion")]
    Suspicion,
    /// Another instance is certain that the engine's process has ended.
    #[display("notice")]
    Notice,
    /// Streams through the engine fell silent together.
    #[display("silence")]
    Silence,
    /// The engine was found failed some time ago.
    #[display("retest")]
    Retest,
}

/// Recently started checks, and engines that this instance found failed.
#[derive(Debug, Default)]
pub struct EngineChecks {
    recent: RefCell<HashMap<EndpointId, Instant>>,
    failed: RefCell<HashMap<EndpointId, Instant>>,
}

impl EngineChecks {
    /// Returns whether a check may start now, and records its start if so.
    fn try_start(&self, engine: &EndpointId, now: Instant) -> bool {
        let mut recent = self.recent.borrow_mut();
        recent.retain(|_, at| now.saturating_duration_since(*at) < CHECK_INTERVAL);
        match recent.entry(EndpointId::clone(engine)) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(now);
                true
            }
        }
    }

    /// Records that this instance found an engine failed, so that other instances check it.
    pub fn add_suspect(&self, engine: &EndpointId, now: Instant) {
        let mut failed = self.failed.borrow_mut();
        failed.insert(EndpointId::clone(engine), now + SUSPICION_TIME);
    }

    /// Returns the engines that this instance recently found failed.
    pub fn suspects(&self, now: Instant) -> Vec<EndpointId> {
        let mut failed = self.failed.borrow_mut();
        failed.retain(|_, until| now < *until);
        let mut engines: Vec<EndpointId> = failed.keys().cloned().collect();
        engines.sort_unstable();
        engines
    }
}

/// Starts a check of an engine unless one was started within `CHECK_INTERVAL`, or within a second
/// after a certain notice.
pub fn check_engine<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    cause: CheckCause,
) where
    Time: Clock,
    Dialect: FleetDialect,
{
    let now = context.now();
    let may_start = if cause == CheckCause::Notice {
        context.losses().try_check(engine, now)
    } else {
        context.engine_checks().try_start(engine, now)
    };
    if !may_start {
        return;
    }
    if cause == CheckCause::Notice {
        let mut fleet = context.fleet().borrow_mut();
        fleet.exclude_for_check(engine, now + REPORT_TIMEOUT);
    }
    if cause == CheckCause::Rejection {
        // The engine may have failed just before the rejection; exclude it until the check can have
        // finished.
        let mut fleet = context.fleet().borrow_mut();
        fleet.exclude_until(engine, now + REPORT_TIMEOUT);
    }
    let context = context.clone();
    let engine = EndpointId::clone(engine);
    actix_rt::spawn(async move { run_check(&context, &engine, cause).await });
}

/// Checks engines that were found failed some time ago; requests use them again only if they pass.
pub fn retest_engines<Time, Dialect>(context: &RelayContext<Time, Dialect>)
where
    Time: Clock,
    Dialect: FleetDialect,
{
    let due_engines = context.fleet().borrow().engines_due_for_check();
    for engine in due_engines {
        if is_backed_off(context, &engine) {
            continue;
        }
        check_engine(context, &engine, CheckCause::Retest);
    }
}

async fn run_check<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    cause: CheckCause,
) where
    Time: Clock,
    Dialect: FleetDialect,
{
    let address = {
        let fleet = context.fleet().borrow();
        fleet.record(engine).map(|record| record.address)
    };
    let Some(address) = address else {
        return;
    };
    if cause == CheckCause::Notice && confirm_loss(context, engine, LossEvidence::Refused).await {
        return;
    }
    let started = context.now();
    let reports = context.report_cache();
    let report = reports.fetch_new(context, engine, address).await;
    let now = context.now();
    let Some(report) = report else {
        context.mark_failed(engine);
        context.engine_checks().add_suspect(engine, now);
        tracing::info!(%engine, %cause, "engine does not answer; taken out of use");
        // A retest finds an engine failed of which the other instances know.
        let is_new = cause != CheckCause::Retest && context.losses().is_shared();
        if is_new && !confirm_loss(context, engine, LossEvidence::Refused).await {
            record_loss(context, engine, LossEvidence::Silent);
        }
        return;
    };
    context.losses().remove_lost(engine);
    let holds_layers = apply_report(context, engine, cause, &report, now);
    if cause == CheckCause::Retest {
        let mut fleet = context.fleet().borrow_mut();
        fleet.call_started(engine, started);
        fleet.call_finished(engine, started, CallResult::Answered, now);
    }
    tracing::info!(
        %engine,
        %cause,
        is_held = holds_layers,
        fill = report.memory_fill(),
        running = report.running,
        slowness = report.slowness,
        "engine checked"
    );
}

/// Applies an engine's report; returns `false` if the engine is excluded from new chains.
fn apply_report<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    cause: CheckCause,
    report: &EngineReport,
    now: Instant,
) -> bool
where
    Time: Clock,
{
    let is_nearly_full =
        report.memory_fill() >= HIGH_FILL || estimated_fill(context, engine, now) >= HIGH_FILL;
    let is_leaving = cause == CheckCause::Rejection && !is_nearly_full;
    // The first report of an engine may still show it without requests.
    let fill = if cause == CheckCause::Rejection && is_nearly_full {
        1.0
    } else {
        report.memory_fill()
    };
    context.tracker().record_fill(engine, fill, now);
    let mut fleet = context.fleet().borrow_mut();
    let registered = fleet.record(engine).and_then(|record| record.layers);
    // Some reports omit the layers.
    let holds_layers = !is_leaving && (report.layers.is_none() || registered == report.layers);
    if holds_layers {
        fleet.readmit(engine);
    } else {
        fleet.exclude_mismatched(engine, now);
    }
    holds_layers
}

/// Returns the share of an engine's memory that is estimated as committed; 0 if it is unknown.
pub(crate) fn estimated_fill<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    now: Instant,
) -> f64
where
    Time: Clock,
{
    let ratio = context.tracker().fleet_ratio(context.instance_count(), now);
    let load = context.tracker().engine_load(engine, ratio, now);
    let Some(table) = context.table() else {
        return 0.0;
    };
    let fleet = context.fleet().borrow();
    let service = fleet.record(engine).map(|record| &record.service);
    let rule = service.and_then(|service| table.service(service));
    let profile = rule.and_then(|rule| rule.engine.as_ref());
    let capacity = profile.and_then(|profile| fleet.token_capacity(engine, profile));
    capacity.map_or(0.0, |capacity| load.tokens / capacity.max(1.0))
}
