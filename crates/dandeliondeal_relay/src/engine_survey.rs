//! Finds slow engines of graded services before requests wait for them.
//!
//! A slow engine answers everything, only late, so neither failures nor silences show it. The hub of
//! each failure domain asks the engines of its domain for their reports, about once a second each,
//! and the load reports tell all instances which engines are slow. Chains then avoid them.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use dandeliondeal_types::{Clock, EndpointId};

use crate::dialect::FleetDialect;
use crate::endpoint_backoff::backed_off_endpoints;
use crate::hub_selection::HubSelector;
use crate::relay_context::RelayContext;

/// Time in which a hub asks each engine of its failure domain once.
const SURVEY_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a found slowness is reported: two surveys and a lost call.
const FINDING_MAX_AGE: Duration = Duration::from_millis(2_500);
/// Factor on an engine's usual times from which other instances are told of it.
const MIN_SLOWNESS: f64 = 1.25;
/// Highest factor that is accepted from another instance.
const MAX_SLOWNESS: f64 = 1_000.0;

/// Slow engines and the factors on their usual times.
pub type SlowEngines = BTreeMap<EndpointId, f64>;

/// Slowness that this instance found in reports of engines.
#[derive(Debug, Default)]
pub struct EngineSurvey {
    findings: RefCell<HashMap<EndpointId, (f64, Instant)>>,
}

impl EngineSurvey {
    /// Records the factor on its usual times that an engine reported.
    pub fn record(&self, engine: &EndpointId, slowness: f64, now: Instant) {
        let mut findings = self.findings.borrow_mut();
        if slowness >= MIN_SLOWNESS {
            let finding = (slowness, now);
            findings.insert(EndpointId::clone(engine), finding);
        } else {
            findings.remove(engine);
        }
    }

    /// Returns the engines that recently were slow.
    pub fn slow_engines(&self, now: Instant) -> SlowEngines {
        let mut findings = self.findings.borrow_mut();
        findings.retain(|_, (_, at)| now.saturating_duration_since(*at) < FINDING_MAX_AGE);
        let engines = findings.iter();
        engines
            .map(|(engine, (slowness, _))| (EndpointId::clone(engine), *slowness))
            .collect()
    }
}

/// Adds slow engines to a total; the highest factor counts.
pub fn add_slow_engines(total: &mut SlowEngines, other: &SlowEngines) {
    for (engine, slowness) in other {
        let slowest = total.entry(EndpointId::clone(engine)).or_insert(*slowness);
        *slowest = slowest.max(*slowness);
    }
}

/// Applies what all instances found, so that chains avoid slow engines.
pub(crate) fn apply_slow_engines<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    slow_engines: &SlowEngines,
) where
    Time: Clock,
{
    let now = context.now();
    let mut fleet = context.fleet().borrow_mut();
    for (engine, slowness) in slow_engines {
        if (MIN_SLOWNESS..=MAX_SLOWNESS).contains(slowness) {
            fleet.set_slowness(engine, *slowness, now);
        }
    }
}

/// Asks the engines of this failure domain for reports while this instance is its hub, until the
/// task is dropped.
pub(crate) async fn run_survey<Time, Dialect>(
    context: RelayContext<Time, Dialect>,
    hubs: HubSelector<Time, Dialect>,
) where
    Time: Clock,
    Dialect: FleetDialect,
{
    loop {
        let engines = engines_to_ask(&context, &hubs);
        if engines.is_empty() {
            actix_rt::time::sleep(SURVEY_INTERVAL).await;
            continue;
        }
        let count = u32::try_from(engines.len()).unwrap_or(u32::MAX);
        for engine in engines {
            actix_rt::time::sleep(context.jitter(SURVEY_INTERVAL / count)).await;
            let context = context.clone();
            actix_rt::spawn(async move { ask_engine(&context, &engine).await });
        }
    }
}

/// Returns the engines that this instance has to ask; none if it is not the hub of its failure
/// domain or cannot reach its engines.
fn engines_to_ask<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    hubs: &HubSelector<Time, Dialect>,
) -> Vec<EndpointId>
where
    Time: Clock,
{
    let own = &context.settings().instance;
    let is_hub = hubs
        .hub_of(&own.failure_domain)
        .is_some_and(|hub| hub.id == own.id);
    if !is_hub || context.links().has_lost() {
        return Vec::new();
    }
    let admission = context.admission();
    let paused = backed_off_endpoints(context);
    let fleet = context.fleet().borrow();
    let engines = fleet.records().filter(|record| {
        record.failure_domain == own.failure_domain
            && record.layers.is_some_and(|layers| !layers.is_empty())
            && admission.is_graded(&record.service)
            && fleet.is_usable(&record.id)
            && !paused.contains(&record.id)
    });
    engines
        .map(|record| EndpointId::clone(&record.id))
        .collect()
}

async fn ask_engine<Time, Dialect>(context: &RelayContext<Time, Dialect>, engine: &EndpointId)
where
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
    // A missing report is not evidence: the checks of engines decide on failures.
    let report = context.report_cache().fetch(context, engine, address).await;
    if let Some(report) = report {
        let survey = context.survey();
        survey.record(engine, report.slowness, context.now());
    }
}
