//! Checks of engines that a rejection, a stall or another instance puts in question.
//!
//! What others say of an engine only starts a check: an instance takes an engine out of use on
//! what it meets itself, so that an instance whose own links are broken misleads no other.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::{Duration, Instant};

use dandeliondeal_balance::CallResult;
use dandeliondeal_types::{Clock, EndpointId};

use crate::dialect::{EngineReport, FleetDialect};
use crate::engine_calls::REPORT_LIMIT;
use crate::relay_context::RelayContext;

/// Pause between two checks of one engine, about the age of what a report says.
const CHECK_PAUSE: Duration = Duration::from_millis(400);
/// For this long other instances are told of an engine that was found lost; they hear of it
/// within two reports to a hub, 400 ms.
const SUSPICION_LIFE: Duration = Duration::from_secs(1);

/// Share of an engine's memory from which on a rejection is put down to want of memory. Below it
/// the engine leaves or gives up its layers, which its registration may not tell while the store
/// is away.
const CROWDED_FILL: f64 = 0.7;

/// Why an engine is checked.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum CheckCause {
    /// A request was rejected for it.
    #[display("rejection")]
    Rejection,
    /// Another instance found it lost.
    #[display("suspicion")]
    Suspicion,
    /// It was found lost a while ago.
    #[display("retest")]
    Retest,
}

/// Checks that were begun, and engines that this instance found lost.
#[derive(Debug, Default)]
pub struct EngineChecks {
    begun: RefCell<HashMap<EndpointId, Instant>>,
    lost: RefCell<HashMap<EndpointId, Instant>>,
}

impl EngineChecks {
    /// Whether a check may begin now; it counts as begun then.
    fn begin(&self, engine: &EndpointId, now: Instant) -> bool {
        let mut begun = self.begun.borrow_mut();
        begun.retain(|_, at| now.saturating_duration_since(*at) < CHECK_PAUSE);
        match begun.entry(EndpointId::clone(engine)) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(now);
                true
            }
        }
    }

    /// Notes that this instance found an engine lost, so that others check it.
    pub fn suspect(&self, engine: &EndpointId, now: Instant) {
        let mut lost = self.lost.borrow_mut();
        lost.insert(EndpointId::clone(engine), now + SUSPICION_LIFE);
    }

    /// Engines that this instance found lost lately.
    pub fn suspects(&self, now: Instant) -> Vec<EndpointId> {
        let mut lost = self.lost.borrow_mut();
        lost.retain(|_, until| now < *until);
        let mut engines: Vec<EndpointId> = lost.keys().cloned().collect();
        engines.sort_unstable();
        engines
    }
}

/// Begins a check of an engine, unless one was begun a moment ago.
pub fn check_engine<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    cause: CheckCause,
) where
    Time: Clock,
    Dialect: FleetDialect,
{
    let now = context.now();
    if !context.checks().begin(engine, now) {
        return;
    }
    if cause == CheckCause::Rejection {
        // The rejection may be a moment old, and so may the engine's loss.
        let mut fleet = context.fleet().borrow_mut();
        fleet.doubt_until(engine, now + REPORT_LIMIT);
    }
    let context = context.clone();
    let engine = EndpointId::clone(engine);
    actix_rt::spawn(async move { check(&context, &engine, cause).await });
}

/// Checks engines that were found lost a while ago; requests use them again only after it.
pub fn retest_engines<Time, Dialect>(context: &RelayContext<Time, Dialect>)
where
    Time: Clock,
    Dialect: FleetDialect,
{
    let due = context.fleet().borrow().engines_to_test();
    for engine in due {
        check_engine(context, &engine, CheckCause::Retest);
    }
}

async fn check<Time, Dialect>(
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
    let started = context.now();
    let report = context.reports().fetch(context, engine, address).await;
    let now = context.now();
    let Some(report) = report else {
        context.fleet().borrow_mut().blame(engine, now);
        context.checks().suspect(engine, now);
        tracing::info!(%engine, %cause, "engine does not answer; taken out of use");
        return;
    };
    let is_held = note_report(context, engine, cause, &report, now);
    if cause == CheckCause::Retest {
        let mut fleet = context.fleet().borrow_mut();
        fleet.started(engine, started);
        fleet.finished(engine, started, CallResult::Answered, now);
    }
    tracing::info!(
        %engine,
        %cause,
        is_held,
        fill = report.fill(),
        running = report.running,
        slowness = report.slowness,
        "engine checked"
    );
}

/// Takes in an engine's report; `false` if it is left out of new chains for its layers.
fn note_report<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    cause: CheckCause,
    report: &EngineReport,
    now: Instant,
) -> bool
where
    Time: Clock,
{
    let is_crowded =
        report.fill() >= CROWDED_FILL || believed_fill(context, engine, now) >= CROWDED_FILL;
    let is_leaving = cause == CheckCause::Rejection && !is_crowded;
    // The first report of an engine may still show it without requests.
    let fill = if cause == CheckCause::Rejection && is_crowded {
        1.0
    } else {
        report.fill()
    };
    context.book().set_fill(engine, fill, now);
    let mut fleet = context.fleet().borrow_mut();
    let registered = fleet.record(engine).and_then(|record| record.layers);
    // Some reports leave the layers out.
    let is_held = !is_leaving && (report.layers.is_none() || registered == report.layers);
    if is_held {
        fleet.trust_layers(engine);
    } else {
        fleet.doubt_layers(engine, now);
    }
    is_held
}

/// Share of an engine's memory that this instance takes for committed; 0 if it cannot tell.
pub(crate) fn believed_fill<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    engine: &EndpointId,
    now: Instant,
) -> f64
where
    Time: Clock,
{
    let scale = context.book().scale(context.instances(), now);
    let work = context.book().work(engine, scale, now);
    let Some(table) = context.table() else {
        return 0.0;
    };
    let fleet = context.fleet().borrow();
    let service = fleet.record(engine).map(|record| &record.service);
    let rule = service.and_then(|service| table.service(service));
    let profile = rule.and_then(|rule| rule.engine.as_ref());
    let room = profile.and_then(|profile| fleet.token_room(engine, profile));
    room.map_or(0.0, |room| work.tokens / room.max(1.0))
}
