//! The endpoint monitor of one instance, shared by its requests.

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_balance::{
    CallResult, EndpointMonitor, EndpointProfile, FailureSignal, HealthState, LoadReport,
    MonitorSettings, MonitorView, WholeView,
};
use dandeliondeal_chart::{ChartError, ChartLabel};
use dandeliondeal_types::sheet_model::{EndpointEntry, EndpointTarget};
use dandeliondeal_types::{
    Clock, EndpointId, ErrorKind, FailureDomain, InstanceId, RouteError, SheetModel,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One-way delay of a link that the sheet does not name, between failure domains.
const DEFAULT_DELAY: Duration = Duration::from_millis(1);
/// Time of a call of a plain service until it is measured.
const SERVICE_TIME: Duration = Duration::from_millis(100);

/// An [`EndpointMonitor`] with its clock and source of chance; clones share it.
#[derive(Clone, Debug)]
pub struct SharedMonitor<ClockSource> {
    monitor: Rc<RefCell<EndpointMonitor>>,
    random: Rc<RefCell<SmallRng>>,
    clock: ClockSource,
    home: FailureDomain,
}

/// Reaches the monitor as long as it exists.
#[derive(Clone, Debug)]
pub struct WeakBoard(Weak<RefCell<EndpointMonitor>>);

/// An open call; dropped without an end it counts as cancelled.
#[derive(Debug)]
pub struct BoardCall<ClockSource>
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
    /// Makes an empty monitor for an instance in failure domain `home`.
    ///
    /// # Errors
    ///
    /// [`ChartError`] if the health chart is unsound.
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

    /// Takes the endpoints of a sheet.
    pub fn install(&self, sheet: &SheetModel) {
        let profiles = sheet
            .endpoints
            .iter()
            .map(|(id, entry)| profile(sheet, &self.home, id, entry));
        self.monitor
            .borrow_mut()
            .replace(profiles, self.clock.now());
    }

    /// Notes how many entry instances share the endpoints.
    pub fn set_instances(&self, instances: u32) {
        let instances = usize::try_from(instances).unwrap_or(usize::MAX);
        self.monitor.borrow_mut().set_instances(instances);
    }

    /// Endpoints of a group to try in this order, at most `count`.
    pub fn candidates(&self, group: &str, is_repeatable: bool, count: usize) -> Vec<EndpointId> {
        let mut random = self.random.borrow_mut();
        let monitor = self.monitor.borrow();
        let mut candidates = monitor.ranked(group, is_repeatable, &mut *random, self.clock.now());
        candidates.truncate(count);
        candidates
    }

    /// Asks the monitor as one request's planner sees it.
    pub fn with_view<Ask, Answer>(&self, is_repeatable: bool, ask: Ask) -> Answer
    where
        Ask: FnOnce(&MonitorView<'_>) -> Answer,
    {
        let seed = self.random.borrow_mut().random();
        let monitor = self.monitor.borrow();
        ask(&monitor.view(is_repeatable, seed, self.clock.now()))
    }

    /// Asks the monitor about every usable endpoint, not only about sampled ones.
    pub fn with_whole_view<Ask, Answer>(&self, is_repeatable: bool, ask: Ask) -> Answer
    where
        Ask: FnOnce(&WholeView<'_>) -> Answer,
    {
        let monitor = self.monitor.borrow();
        ask(&monitor.whole_view(is_repeatable, self.clock.now()))
    }

    /// Notes the start of a call.
    pub fn start(&self, endpoint: &EndpointId) -> BoardCall<ClockSource> {
        let started = self.clock.now();
        self.monitor.borrow_mut().started(endpoint, started);
        BoardCall {
            monitor: self.clone(),
            endpoint: Arc::clone(endpoint),
            started,
            is_open: true,
        }
    }

    /// Notes what the instance list says of an endpoint.
    pub fn listed(&self, endpoint: &EndpointId, is_leaving: bool) {
        let now = self.clock.now();
        self.monitor.borrow_mut().listed(endpoint, is_leaving, now);
    }

    /// Health of an endpoint.
    pub fn state(&self, endpoint: &EndpointId) -> Option<HealthState> {
        self.monitor.borrow().state(endpoint)
    }

    /// Number of endpoints in each state of health.
    pub fn counts(&self) -> Vec<(HealthState, usize)> {
        let monitor = self.monitor.borrow();
        let count = |state| monitor.states().filter(|known| known.1 == state).count();
        HealthState::ALL
            .iter()
            .map(|&state| (state, count(state)))
            .collect()
    }

    /// A reference that does not keep the monitor.
    pub fn downgrade(&self) -> WeakBoard {
        WeakBoard(Rc::downgrade(&self.monitor))
    }

    fn finish(&self, endpoint: &EndpointId, started: Instant, result: CallResult) {
        let now = self.clock.now();
        let mut monitor = self.monitor.borrow_mut();
        monitor.finished(endpoint, started, result, now);
    }
}

impl WeakBoard {
    /// Moves on what only time moves; `None` once the monitor is gone.
    pub fn tick(&self, now: Instant) -> Option<()> {
        self.0.upgrade()?.borrow_mut().tick(now);
        Some(())
    }

    /// The endpoints whose load to ask for next.
    pub fn report_targets(&self, count: usize, now: Instant) -> Vec<EndpointId> {
        self.0.upgrade().map_or_else(Vec::new, |monitor| {
            monitor.borrow_mut().report_targets(count, now)
        })
    }

    /// Takes in a report.
    pub fn reported(&self, endpoint: &EndpointId, report: LoadReport) {
        if let Some(monitor) = self.0.upgrade() {
            monitor.borrow_mut().reported(endpoint, report);
        }
    }
}

impl<ClockSource> BoardCall<ClockSource>
where
    ClockSource: Clock,
{
    /// Notes the end of the call.
    pub fn end<Answer>(mut self, result: &Result<Answer, RouteError>) {
        let result = match result {
            Ok(_) => CallResult::Answered,
            Err(error) => failure(error.kind()),
        };
        self.close(result);
    }

    /// Notes that the endpoint answered that it is full.
    pub fn end_busy(mut self) {
        self.close(CallResult::Failed(FailureSignal::Busy));
    }

    fn close(&mut self, result: CallResult) {
        if std::mem::replace(&mut self.is_open, false) {
            self.monitor.finish(&self.endpoint, self.started, result);
        }
    }
}

impl<ClockSource> Drop for BoardCall<ClockSource>
where
    ClockSource: Clock,
{
    fn drop(&mut self) {
        self.close(CallResult::Cancelled);
    }
}

/// The group of the replicas of a service.
pub fn service_group(service: &str) -> Arc<str> {
    format!("service {service}").into()
}

/// What an error says of the endpoint at which it arose.
fn failure(kind: ErrorKind) -> CallResult {
    match kind {
        ErrorKind::Refused => CallResult::Failed(FailureSignal::Refused),
        ErrorKind::NoAnswer | ErrorKind::Deadline => CallResult::Failed(FailureSignal::NoAnswer),
        ErrorKind::BadAnswer => CallResult::Failed(FailureSignal::BadAnswer),
        ErrorKind::Overloaded => CallResult::Failed(FailureSignal::Busy),
        ErrorKind::Leaving => CallResult::Failed(FailureSignal::Leaving),
        // The endpoint answered; that it does not have the session does not make it worse.
        ErrorKind::Gone => CallResult::Answered,
        _ => CallResult::Cancelled,
    }
}

fn profile(
    sheet: &SheetModel,
    home: &FailureDomain,
    id: &EndpointId,
    entry: &EndpointEntry,
) -> EndpointProfile {
    let (group, service_time) = match &entry.target {
        EndpointTarget::Service { service } => (service_group(service), SERVICE_TIME),
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
    let joins = |from: &FailureDomain, to: &FailureDomain| from == home && to == domain;
    let link = sheet
        .links
        .iter()
        .find(|link| joins(&link.from, &link.to) || joins(&link.to, &link.from));
    link.map_or(DEFAULT_DELAY, |link| {
        Duration::from_micros(link.delay_microseconds)
    })
}
