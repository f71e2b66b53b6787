//! What the parts of one entry instance share on its arbiter.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use dandeliondeal_chart::ChartError;
use dandeliondeal_config::EntrySettings;
use dandeliondeal_types::{Clock, Incarnation, OrganisationId, Outcome, RequestId};
use derive_more::{Display, Error, From};

use crate::admission::AdmissionGate;
use crate::drain_state::DrainMachine;
use crate::engine_use::EngineUse;
use crate::entry_metrics::EntryMetrics;
use crate::http_pool::HttpPool;
use crate::log_budget::LogBudget;
use crate::request_life::{RequestEvent, RequestRegistry, RequestState};
use crate::table_cell::TableCell;

/// Why an instance cannot start.
#[derive(Debug, Display, Error, From)]
pub enum EntryError {
    /// A chart is wrong.
    #[display("state chart: {_0}")]
    Chart(ChartError),
    /// Two metrics have one name.
    #[display("metrics: {_0}")]
    Metrics(prometheus::Error),
    /// An address cannot be bound.
    #[display("listen: {_0}")]
    Listen(std::io::Error),
}

/// The shared state of an entry instance; clones share it.
#[derive(Clone, Debug)]
pub struct EntryContext<ClockSource> {
    inner: Rc<ContextInner<ClockSource>>,
}

#[derive(Debug)]
struct ContextInner<ClockSource> {
    clock: ClockSource,
    settings: EntrySettings,
    incarnation: Incarnation,
    table: TableCell,
    registry: RefCell<RequestRegistry>,
    metrics: EntryMetrics,
    admission: AdmissionGate,
    pool: HttpPool,
    engines: EngineUse,
    budget: LogBudget,
    drain: RefCell<DrainMachine>,
    next_request: Cell<u64>,
}

impl<ClockSource> EntryContext<ClockSource>
where
    ClockSource: Clock,
{
    /// Makes the state of an instance that starts now.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a chart or a metric.
    pub fn new(settings: EntrySettings, clock: ClockSource) -> Result<Self, EntryError> {
        let incarnation = unix_time(clock.wall()).as_micros();
        let inner = ContextInner {
            incarnation: u64::try_from(incarnation).unwrap_or(u64::MAX),
            table: TableCell::default(),
            registry: RefCell::new(RequestRegistry::new()?),
            metrics: EntryMetrics::new()?,
            admission: AdmissionGate::new(settings.limits.organisation_requests),
            pool: HttpPool::new(settings.requests.connect_time),
            engines: EngineUse::default(),
            budget: LogBudget::new(settings.limits.recovery_bytes),
            drain: RefCell::new(DrainMachine::new()?),
            next_request: Cell::new(0),
            clock,
            settings,
        };
        Ok(Self {
            inner: Rc::new(inner),
        })
    }

    /// The clock.
    pub fn clock(&self) -> &ClockSource {
        &self.inner.clock
    }

    /// The settings of the process.
    pub fn settings(&self) -> &EntrySettings {
        &self.inner.settings
    }

    /// Process start count of this instance.
    pub fn incarnation(&self) -> Incarnation {
        self.inner.incarnation
    }

    /// The route table in force.
    pub fn table(&self) -> &TableCell {
        &self.inner.table
    }

    /// The metrics.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.inner.metrics
    }

    /// The gate that every request passes before it is dispatched.
    pub fn admission(&self) -> &AdmissionGate {
        &self.inner.admission
    }

    /// Connections to endpoints.
    pub fn pool(&self) -> &HttpPool {
        &self.inner.pool
    }

    /// Sessions of this instance at the engines.
    pub fn engines(&self) -> &EngineUse {
        &self.inner.engines
    }

    /// Memory for the inputs that sessions keep for recovery.
    pub fn budget(&self) -> &LogBudget {
        &self.inner.budget
    }

    /// The chart of the planned stop.
    pub fn drain(&self) -> &RefCell<DrainMachine> {
        &self.inner.drain
    }

    /// The requests of this instance.
    pub fn registry(&self) -> &RefCell<RequestRegistry> {
        &self.inner.registry
    }

    /// Enters a new request and returns its id.
    pub fn receive(&self, organisation: &OrganisationId) -> RequestId {
        let number = self.inner.next_request.get() + 1;
        self.inner.next_request.set(number);
        let instance = &self.inner.settings.instance.id;
        let id: RequestId = format!("{instance}-{:x}-{number}", self.inner.incarnation).into();
        self.inner.registry.borrow_mut().receive(&id, organisation);
        self.inner.metrics.open_requests.inc();
        id
    }

    /// Applies an event to a request and counts its outcome once it has one.
    pub fn apply(&self, id: &RequestId, event: RequestEvent) {
        let applied = self.inner.registry.borrow_mut().apply(id, event);
        match applied {
            Ok(Some(RequestState::Answered)) => self.count(Outcome::Answered),
            Ok(Some(RequestState::NotRun)) => self.count(Outcome::NotRun),
            Ok(Some(RequestState::InDoubt)) => self.count(Outcome::InDoubt),
            Ok(_) => {}
            Err(error) => tracing::error!(request = &**id, %error, "request event refused"),
        }
    }

    /// Applies an event to a request that has no outcome yet; one that has is left as it is.
    pub fn end_open(&self, id: &RequestId, event: RequestEvent) {
        if self.inner.registry.borrow().is_open(id) {
            self.apply(id, event);
        }
    }

    /// Time of day in seconds since 1970, for what callers read.
    pub fn unix_seconds(&self) -> u64 {
        unix_time(self.inner.clock.wall()).as_secs()
    }

    fn count(&self, outcome: Outcome) {
        self.inner.metrics.open_requests.dec();
        self.inner.metrics.ended(outcome);
    }
}

fn unix_time(wall: SystemTime) -> Duration {
    wall.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
