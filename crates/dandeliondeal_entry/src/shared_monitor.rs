//! Endpoint monitor of one instance, shared by its requests.

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_balance::{
    CallResult, EndpointMonitor, EndpointProfile, FailureSignal, FullView, HealthState, LoadReport,
    MonitorSettings, SampledView,
};
use dandeliondeal_chart::{ChartError, ChartLabel};
use dandeliondeal_types::sheet_model::{EndpointEntry, EndpointTarget};
use dandeliondeal_types::{
    Clock, EndpointId, ErrorKind, FailureDomain, InstanceId, RouteError, SheetModel,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One-way delay of a link between failure domains that is not in the sheet.
const DEFAULT_DELAY: Duration = Duration::from_millis(1);
/// Assumed duration of a call to a plain service until it is measured.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);

/// An [`EndpointMonitor`] with its clock and random number generator; clones share it.
#[derive(Clone, Debug)]
pub struct SharedMonitor<ClockSource> {
    monitor: Rc<RefCell<EndpointMonitor>>,
    random: Rc<RefCell<SmallRng>>,
    clock: ClockSource,
    home: FailureDomain,
}

/// Weak reference to the monitor.
#[derive(Clone, Debug)]
pub struct WeakMonitor(Weak<RefCell<EndpointMonitor>>);

/// An open call in the monitor; it counts as cancelled if dropped without a result.
#[derive(Debug)]
pub struct MonitoredCall<ClockSource>
where
    ClockSource: Clock,
{
    monitor: SharedMonitor<ClockSource>,
    endpoint: EndpointId,
    started: Instant,
    is_open: bool,
}

impl<ClockSource> SharedMonitor<ClockSource>
where
    ClockSource: Clock,
{
    /// Creates an empty monitor for an instance in failure domain `home`.
    ///
    /// # Errors
    ///
    /// Returns [`ChartError`] if the health chart is invalid.
    pub fn new(
        instance: InstanceId,
        home: FailureDomain,
        seed: u64,
        clock: ClockSource,
    ) -> Result<Self, ChartError> {
        let monitor = EndpointMonitor::new(instance, MonitorSettings::default())?;
        Ok(Self {
            monitor: Rc::new(RefCell::new(monitor)),
            random: Rc::new(RefCell::new(SmallRng::seed_from_u64(seed))),
            clock,
            home,
        })
    }

    /// Replaces the endpoints with those of a sheet.
    pub fn install(&self, sheet: &SheetModel) {
        let profiles = sheet
            .endpoints
            .iter()
            .map(|(id, entry)| endpoint_profile(sheet, &self.home, id, entry));
        self.monitor
            .borrow_mut()
            .replace(profiles, self.clock.now());
    }

    /// Sets the number of entry instances that share the endpoints.
    pub fn set_instance_count(&self, instance_count: u32) {
        let instance_count = usize::try_from(instance_count).unwrap_or(usize::MAX);
        self.monitor.borrow_mut().set_instance_count(instance_count);
    }

    /// Returns up to `count` endpoints of a group, in the order in which to try them.
    pub fn candidates(&self, group: &str, is_repeatable: bool, count: usize) -> Vec<EndpointId> {
        let mut random = self.random.borrow_mut();
        let monitor = self.monitor.borrow();
        let mut candidates =
            monitor.sample_ranked(group, is_repeatable, &mut *random, self.clock.now());
        candidates.truncate(count);
        candidates
    }

    /// Runs a query on the monitor as the planner of one request sees it, with sampled endpoints.
    pub fn with_view<Query, Answer>(&self, is_repeatable: bool, query: Query) -> Answer
    where
        Query: FnOnce(&SampledView<'_>) -> Answer,
    {
        let seed = self.random.borrow_mut().random();
        let monitor = self.monitor.borrow();
        query(&monitor.view(is_repeatable, seed, self.clock.now()))
    }

    /// Runs a query on the monitor with all usable endpoints instead of sampled ones.
    pub fn with_full_view<Query, Answer>(&self, is_repeatable: bool, query: Query) -> Answer
    where
        Query: FnOnce(&FullView<'_>) -> Answer,
    {
        let monitor = self.monitor.borrow();
        query(&monitor.full_view(is_repeatable, self.clock.now()))
    }

    /// Records the start of a call.
    pub fn start(&self, endpoint: &EndpointId) -> MonitoredCall<ClockSource> {
        let started = self.clock.now();
        self.monitor.borrow_mut().record_start(endpoint, started);
        MonitoredCall {
            monitor: self.clone(),
            endpoint: Arc::clone(endpoint),
            started,
            is_open: true,
        }
    }

    /// Sets whether the instance list shows an endpoint as leaving.
    pub fn set_leaving(&self, endpoint: &EndpointId, is_leaving: bool) {
        let now = self.clock.now();
        self.monitor
            .borrow_mut()
            .record_listing(endpoint, is_leaving, now);
    }

    /// Returns the health of an endpoint.
    pub fn state(&self, endpoint: &EndpointId) -> Option<HealthState> {
        self.monitor.borrow().state(endpoint)
    }

    /// Returns the number of endpoints in each health state.
    pub fn counts(&self) -> Vec<(HealthState, usize)> {
        let monitor = self.monitor.borrow();
        let count = |state| monitor.states().filter(|entry| entry.1 == state).count();
        HealthState::ALL
            .iter()
            .map(|&state| (state, count(state)))
            .collect()
    }

    /// Returns a weak reference to the monitor.
    pub fn downgrade(&self) -> WeakMonitor {
        WeakMonitor(Rc::downgrade(&self.monitor))
    }

    fn finish(&self, endpoint: &EndpointId, started: Instant, result: CallResult) {
        let now = self.clock.now();
        let mut monitor = self.monitor.borrow_mut();
        monitor.record_finish(endpoint, started, result, now);
    }
}

impl WeakMonitor {
    /// Applies time-based changes; returns `None` if the monitor was dropped.
    pub fn tick(&self, now: Instant) -> Option<()> {
        self.0.upgrade()?.borrow_mut().tick(now);
        Some(())
    }

    /// Returns the endpoints whose load to poll next.
    pub fn report_targets(&self, count: usize, now: Instant) -> Vec<EndpointId> {
        self.0.upgrade().map_or_else(Vec::new, |monitor| {
            monitor.borrow_mut().report_targets(count, now)
        })
    }

    /// Applies a load report.
    pub fn apply_report(&self, endpoint: &EndpointId, report: LoadReport) {
        if let Some(monitor) = self.0.upgrade() {
            monitor.borrow_mut().record_report(endpoint, report);
        }
    }
}

impl<ClockSource> MonitoredCall<ClockSource>
where
    ClockSource: Clock,
{
    /// Records the end of the call.
    pub fn end<Answer>(mut self, result: &Result<Answer, RouteError>) {
        let result = match result {
            Ok(_) => CallResult::Answered,
            Err(error) => call_result(error.kind()),
        };
        self.close(result);
    }

    /// Records that the endpoint answered that it has no free capacity.
    pub fn end_busy(mut self) {
        self.close(CallResult::Failed(FailureSignal::Busy));
    }

    fn close(&mut self, result: CallResult) {
        if std::mem::replace(&mut self.is_open, false) {
            self.monitor.finish(&self.endpoint, self.started, result);
        }
    }
}

impl<ClockSource> Drop for MonitoredCall<ClockSource>
where
    ClockSource: Clock,
{
    fn drop(&mut self) {
        self.close(CallResult::Cancelled);
    }
}

/// Returns the group name for the replicas of a service.
pub fn service_group(service: &str) -> Arc<str> {
    format!("service {service}").into()
}

/// Returns what an error means for the health of the endpoint that caused it.
fn call_result(kind: ErrorKind) -> CallResult {
    match kind {
        ErrorKind::Refused => CallResult::Failed(FailureSignal::Refused),
        ErrorKind::NoAnswer | ErrorKind::Deadline => CallResult::Failed(FailureSignal::NoAnswer),
        ErrorKind::BadAnswer => CallResult::Failed(FailureSignal::BadAnswer),
        ErrorKind::Overloaded => CallResult::Failed(FailureSignal::Busy),
        ErrorKind::Leaving => CallResult::Failed(FailureSignal::Leaving),
        // The endpoint answered; a missing session does not affect its health.
        ErrorKind::Gone => CallResult::Answered,
        _ => CallResult::Cancelled,
    }
}

fn endpoint_profile(
    sheet: &SheetModel,
    home: &FailureDomain,
    id: &EndpointId,
    entry: &EndpointEntry,
) -> EndpointProfile {
    let (group, service_time) = match &entry.target {
        EndpointTarget::Service { service } => (service_group(service), DEFAULT_SERVICE_TIME),
        EndpointTarget::Layers { model, range } => {
            let kind = sheet.accelerators.get(&entry.accelerator);
            let layer = kind.map_or(0, |kind| kind.layer_nanoseconds);
            let time = Duration::from_nanos(layer * u64::from(range.len()));
            (format!("layers {model} {range}").into(), time)
        }
    };
    EndpointProfile {
        id: Arc::clone(id),
        group,
        accelerator: Arc::clone(&entry.accelerator),
        capacity: entry.capacity,
        link_delay: link_delay(sheet, home, &entry.failure_domain),
        service_time,
    }
}

fn link_delay(sheet: &SheetModel, home: &FailureDomain, domain: &FailureDomain) -> Duration {
    if home == domain {
        return Duration::ZERO;
    }
    let connects = |from: &FailureDomain, to: &FailureDomain| from == home && to == domain;
    let link = sheet
        .links
        .iter()
        .find(|link| connects(&link.from, &link.to) || connects(&link.to, &link.from));
    link.map_or(DEFAULT_DELAY, |link| {
        Duration::from_micros(link.delay_microseconds)
    })
}
