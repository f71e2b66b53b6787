//! What the parts of one entry instance share on its arbiter.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use dandeliondeal_balance::{RetryBudget, RetrySettings};
use dandeliondeal_chart::ChartError;
use dandeliondeal_claim::{ClaimKey, ClaimSettings, ShardIndex};
use dandeliondeal_config::{EntrySettings, ReadinessGate};
use dandeliondeal_peer::PeerSettings;
use dandeliondeal_store::{CallClass, PlatformClient, PlatformSettings};
use dandeliondeal_types::{Clock, Incarnation, OrganisationId, Outcome, RequestId, SheetModel};
use derive_more::{Display, Error, From};
use xxhash_rust::xxh3::xxh3_64;

use crate::admission::{AdmissionBounds, AdmissionGate};
use crate::claim_coordinator::ClaimCoordinator;
use crate::claim_rpc::ClaimPeers;
use crate::drain_state::DrainMachine;
use crate::engine_use::EngineUse;
use crate::entry_metrics::EntryMetrics;
use crate::http_pool::HttpPool;
use crate::log_budget::LogBudget;
use crate::request_id::request_id;
use crate::request_life::{RequestEvent, RequestRegistry, RequestState};
use crate::route_table::RouteTable;
use crate::shared_monitor::SharedMonitor;
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

/// The claims of an entry instance.
pub type EntryClaims<ClockSource> =
    ClaimCoordinator<PlatformClient<ClockSource>, ClockSource, ClaimPeers>;

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
    admission: AdmissionGate<ClockSource>,
    pool: HttpPool,
    monitor: SharedMonitor<ClockSource>,
    retries: RefCell<RetryBudget>,
    engines: EngineUse,
    budget: LogBudget,
    platform: PlatformClient<ClockSource>,
    claims: EntryClaims<ClockSource>,
    drain: RefCell<DrainMachine>,
    readiness: RefCell<Option<ReadinessGate>>,
    /// Entry instances that share endpoints and limits.
    instances: Cell<u32>,
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
        let incarnation = u64::try_from(incarnation).unwrap_or(u64::MAX);
        let platform =
            PlatformClient::new(platform_settings(&settings, incarnation), clock.clone());
        let claims = ClaimCoordinator::new(
            platform.with_class(CallClass::Claims),
            ClaimPeers::new(PeerSettings {
                secret: settings.secrets.peer.clone(),
                timeout: settings.membership.heartbeat_timeout,
                ..PeerSettings::default()
            }),
            clock.clone(),
            claim_settings(&settings, incarnation),
        );
        let inner = ContextInner {
            incarnation,
            platform,
            claims,
            table: TableCell::default(),
            registry: RefCell::new(RequestRegistry::new()?),
            metrics: EntryMetrics::new()?,
            admission: AdmissionGate::new(admission_bounds(&settings), clock.clone()),
            pool: HttpPool::new(settings.requests.connect_time),
            monitor: SharedMonitor::new(
                Arc::clone(&settings.instance.id),
                Arc::clone(&settings.instance.failure_domain),
                xxh3_64(settings.instance.id.as_bytes()),
                clock.clone(),
            )?,
            retries: RefCell::new(RetryBudget::new(RetrySettings::default())),
            engines: EngineUse::default(),
            budget: LogBudget::new(settings.limits.recovery_bytes),
            drain: RefCell::new(DrainMachine::new()?),
            readiness: RefCell::new(None),
            instances: Cell::new(1),
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

    /// The gate of readiness; `None` while nobody follows the accepted revision.
    pub fn readiness(&self) -> &RefCell<Option<ReadinessGate>> {
        &self.inner.readiness
    }

    /// The metrics.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.inner.metrics
    }

    /// The gate that every request passes before it is dispatched.
    pub fn admission(&self) -> &AdmissionGate<ClockSource> {
        &self.inner.admission
    }

    /// Puts a sheet in force if its revision is higher, and tells whether it did.
    pub fn install(&self, sheet: Arc<SheetModel>) -> bool {
        let table = RouteTable::new(sheet);
        let sheet = Arc::clone(&table.sheet);
        let is_newer = self.inner.table.install(table);
        if is_newer {
            self.inner.monitor.install(&sheet);
            self.inner
                .admission
                .install(&sheet, self.inner.instances.get());
        }
        is_newer
    }

    /// Notes how many entry instances share endpoints and limits.
    pub fn set_instances(&self, instances: u32) {
        let instances = instances.max(1);
        if self.inner.instances.replace(instances) != instances {
            let table = self.inner.table.current();
            self.inner.monitor.set_instances(instances);
            self.inner.admission.install(&table.sheet, instances);
        }
    }

    /// Health and load of the endpoints.
    pub fn monitor(&self) -> &SharedMonitor<ClockSource> {
        &self.inner.monitor
    }

    /// Retries of calls of plain services that this instance may make.
    pub fn retries(&self) -> &RefCell<RetryBudget> {
        &self.inner.retries
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

    /// The platform.
    pub fn platform(&self) -> &PlatformClient<ClockSource> {
        &self.inner.platform
    }

    /// The claims of non-repeatable requests.
    pub fn claims(&self) -> &EntryClaims<ClockSource> {
        &self.inner.claims
    }

    /// The chart of the planned stop.
    pub fn drain(&self) -> &RefCell<DrainMachine> {
        &self.inner.drain
    }

    /// The requests of this instance.
    pub fn registry(&self) -> &RefCell<RequestRegistry> {
        &self.inner.registry
    }

    /// Enters a new request and returns its id; a keyed one's id names the shard of its claim.
    pub fn receive(&self, organisation: &OrganisationId, key: Option<&str>) -> RequestId {
        let shard = key.map(|key| {
            let claim_key = ClaimKey {
                organisation: Arc::clone(organisation),
                key: key.into(),
            };
            claim_key.shard(self.inner.claims.settings().shards)
        });
        let id = self.next_id(shard);
        self.inner.registry.borrow_mut().receive(&id, organisation);
        self.inner.metrics.open_requests.inc();
        id
    }

    /// A new id for a request of which no state is kept, since nothing of it can run.
    pub fn passing_id(&self) -> RequestId {
        self.next_id(None)
    }

    fn next_id(&self, shard: Option<ShardIndex>) -> RequestId {
        let number = self.inner.next_request.get() + 1;
        self.inner.next_request.set(number);
        let instance = &self.inner.settings.instance.id;
        request_id(instance, self.inner.incarnation, number, shard)
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

fn platform_settings(settings: &EntrySettings, seed: u64) -> PlatformSettings {
    PlatformSettings {
        address: settings.platform.address,
        call_timeout: settings.platform.timeout,
        seed,
        ..PlatformSettings::default()
    }
}

fn claim_settings(settings: &EntrySettings, incarnation: Incarnation) -> ClaimSettings {
    ClaimSettings {
        instance: Arc::clone(&settings.instance.id),
        incarnation,
        shards: ShardIndex::try_from(settings.claims.shards).unwrap_or(ShardIndex::MAX),
        retention: settings.claims.retention,
        answer_bytes: usize::try_from(settings.claims.answer_bytes).unwrap_or(usize::MAX),
        ..ClaimSettings::default()
    }
}

fn admission_bounds(settings: &EntrySettings) -> AdmissionBounds {
    let queued = usize::try_from(settings.limits.queued_requests);
    AdmissionBounds {
        organisation_requests: settings.limits.organisation_requests,
        queued_requests: queued.unwrap_or(usize::MAX),
    }
}

fn unix_time(wall: SystemTime) -> Duration {
    wall.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
