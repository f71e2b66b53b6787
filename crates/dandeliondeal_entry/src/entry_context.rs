//! State that the components of one entry instance share on its arbiter.

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

use crate::admission::{AdmissionBounds, AdmissionController};
use crate::claim_coordinator::ClaimCoordinator;
use crate::claim_rpc::PeerClaimLink;
use crate::drain_state::DrainMachine;
use crate::engine_use::EngineUse;
use crate::entry_metrics::EntryMetrics;
use crate::http_pool::HttpPool;
use crate::log_budget::LogBudget;
use crate::request_id::request_id;
use crate::request_registry::{RequestEvent, RequestRegistry, RequestState};
use crate::route_table::RouteTable;
use crate::shared_monitor::SharedMonitor;
use crate::table_cell::TableCell;

/// Reason why an instance cannot start.
#[derive(Debug, Display, Error, From)]
pub enum EntryError {
    /// A chart is invalid.
    #[display("state chart: {_0}")]
    Chart(ChartError),
    /// Two metrics have the same name.
    #[display("metrics: {_0}")]
    Metrics(prometheus::Error),
    /// An address cannot be bound.
    #[display("listen: {_0}")]
    Listen(std::io::Error),
}

/// Claim coordinator of an entry instance.
pub type EntryClaims<ClockSource> =
    ClaimCoordinator<PlatformClient<ClockSource>, ClockSource, PeerClaimLink>;

/// Shared state of an entry instance; clones share it.
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
    admission: AdmissionController<ClockSource>,
    pool: HttpPool,
    monitor: SharedMonitor<ClockSource>,
    retry_budget: RefCell<RetryBudget>,
    engine_use: EngineUse,
    log_budget: LogBudget,
    platform: PlatformClient<ClockSource>,
    claims: EntryClaims<ClockSource>,
    drain: RefCell<DrainMachine>,
    readiness: RefCell<Option<ReadinessGate>>,
    /// Number of entry instances that share endpoints and limits.
    instance_count: Cell<u32>,
    last_request_number: Cell<u64>,
}

impl<ClockSource> EntryContext<ClockSource>
where
    ClockSource: Clock,
{
    /// Creates the state of an instance that starts now.
    ///
    /// # Errors
    ///
    /// Returns an error if a chart or a metric is invalid.
    pub fn new(settings: EntrySettings, clock: ClockSource) -> Result<Self, EntryError> {
        let incarnation = unix_time(clock.wall_time()).as_micros();
        let incarnation = u64::try_from(incarnation).unwrap_or(u64::MAX);
        let platform =
            PlatformClient::new(platform_settings(&settings, incarnation), clock.clone());
        let claims = ClaimCoordinator::new(
            platform.with_class(CallClass::Claims),
            PeerClaimLink::new(PeerSettings {
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
            admission: AdmissionController::new(admission_bounds(&settings), clock.clone()),
            pool: HttpPool::new(settings.requests.connect_time),
            monitor: SharedMonitor::new(
                Arc::clone(&settings.instance.id),
                Arc::clone(&settings.instance.failure_domain),
                xxh3_64(settings.instance.id.as_bytes()),
                clock.clone(),
            )?,
            retry_budget: RefCell::new(RetryBudget::new(RetrySettings::default())),
            engine_use: EngineUse::default(),
            log_budget: LogBudget::new(settings.limits.recovery_bytes),
            drain: RefCell::new(DrainMachine::new()?),
            readiness: RefCell::new(None),
            instance_count: Cell::new(1),
            last_request_number: Cell::new(0),
            clock,
            settings,
        };
        Ok(Self {
            inner: Rc::new(inner),
        })
    }

    /// Returns the clock.
    pub fn clock(&self) -> &ClockSource {
        &self.inner.clock
    }

    /// Returns the settings of the process.
    pub fn settings(&self) -> &EntrySettings {
        &self.inner.settings
    }

    /// Returns the incarnation of this process: its start time in microseconds since 1970.
    pub fn incarnation(&self) -> Incarnation {
        self.inner.incarnation
    }

    /// Returns the cell with the route table in force.
    pub fn table(&self) -> &TableCell {
        &self.inner.table
    }

    /// Returns the readiness gate; `None` until the rollout of revisions has started.
    pub fn readiness(&self) -> &RefCell<Option<ReadinessGate>> {
        &self.inner.readiness
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.inner.metrics
    }

    /// Returns the admission control that every request passes before its dispatch.
    pub fn admission(&self) -> &AdmissionController<ClockSource> {
        &self.inner.admission
    }

    /// Puts a sheet in force if its revision is higher; returns whether it did.
    pub fn install(&self, sheet: Arc<SheetModel>) -> bool {
        let table = RouteTable::new(sheet);
        let sheet = Arc::clone(&table.sheet);
        let is_newer = self.inner.table.install(table);
        if is_newer {
            self.inner.monitor.install(&sheet);
            self.inner
                .admission
                .install(&sheet, self.inner.instance_count.get());
        }
        is_newer
    }

    /// Sets the number of entry instances that share endpoints and limits.
    pub fn set_instance_count(&self, instance_count: u32) {
        let instance_count = instance_count.max(1);
        if self.inner.instance_count.replace(instance_count) != instance_count {
            let table = self.inner.table.current();
            self.inner.monitor.set_instance_count(instance_count);
            self.inner.admission.install(&table.sheet, instance_count);
        }
    }

    /// Returns the monitor of endpoint health and load.
    pub fn monitor(&self) -> &SharedMonitor<ClockSource> {
        &self.inner.monitor
    }

    /// Returns the retry budget for calls to plain services.
    pub fn retry_budget(&self) -> &RefCell<RetryBudget> {
        &self.inner.retry_budget
    }

    /// Returns the pool of connections to endpoints.
    pub fn pool(&self) -> &HttpPool {
        &self.inner.pool
    }

    /// Returns the session counts of this instance at the engines.
    pub fn engine_use(&self) -> &EngineUse {
        &self.inner.engine_use
    }

    /// Returns the memory budget for inputs that sessions store for recovery.
    pub fn log_budget(&self) -> &LogBudget {
        &self.inner.log_budget
    }

    /// Returns the platform client.
    pub fn platform(&self) -> &PlatformClient<ClockSource> {
        &self.inner.platform
    }

    /// Returns the claim coordinator for non-repeatable requests.
    pub fn claims(&self) -> &EntryClaims<ClockSource> {
        &self.inner.claims
    }

    /// Returns the state machine of the planned stop.
    pub fn drain(&self) -> &RefCell<DrainMachine> {
        &self.inner.drain
    }

    /// Returns the registry of this instance's requests.
    pub fn registry(&self) -> &RefCell<RequestRegistry> {
        &self.inner.registry
    }

    /// Registers a new request and returns its id, which contains the claim shard if it has a key.
    pub fn register_request(&self, organisation: &OrganisationId, key: Option<&str>) -> RequestId {
        let shard = key.map(|key| {
            let claim_key = ClaimKey {
                organisation: Arc::clone(organisation),
                key: key.into(),
            };
            claim_key.shard(self.inner.claims.settings().shards)
        });
        let id = self.next_id(shard);
        self.inner.registry.borrow_mut().register(&id, organisation);
        self.inner.metrics.open_requests.inc();
        id
    }

    /// Returns a new id for a request that is not registered, since no part of it can run.
    pub fn untracked_id(&self) -> RequestId {
        self.next_id(None)
    }

    fn next_id(&self, shard: Option<ShardIndex>) -> RequestId {
        let number = self.inner.last_request_number.get() + 1;
        self.inner.last_request_number.set(number);
        let instance = &self.inner.settings.instance.id;
        request_id(instance, self.inner.incarnation, number, shard)
    }

    /// Applies an event to a request, and counts the outcome when the request gets one.
    pub fn apply(&self, id: &RequestId, event: RequestEvent) {
        let applied = self.inner.registry.borrow_mut().apply(id, event);
        match applied {
            Ok(Some(RequestState::Answered)) => self.count_outcome(Outcome::Answered),
            Ok(Some(RequestState::NotRun)) => self.count_outcome(Outcome::NotRun),
            Ok(Some(RequestState::InDoubt)) => self.count_outcome(Outcome::InDoubt),
            Ok(_) => {}
            Err(error) => tracing::error!(request = &**id, %error, "chart refused request event"),
        }
    }

    /// Applies an event to a request if it has no outcome yet.
    pub fn apply_if_open(&self, id: &RequestId, event: RequestEvent) {
        if self.inner.registry.borrow().is_open(id) {
            self.apply(id, event);
        }
    }

    /// Returns the current Unix time in seconds, for replies to callers.
    pub fn unix_seconds(&self) -> u64 {
        unix_time(self.inner.clock.wall_time()).as_secs()
    }

    fn count_outcome(&self, outcome: Outcome) {
        self.inner.metrics.open_requests.dec();
        self.inner.metrics.count_outcome(outcome);
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
