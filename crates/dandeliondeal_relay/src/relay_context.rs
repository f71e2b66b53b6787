//! State shared by all requests of a router.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_config::{RouterSettings, SecretText};
use dandeliondeal_http::{BodyMemory, ConnectionPool, PoolSettings};
use dandeliondeal_layout::{LayoutPlanner, LayoutSettings};
use dandeliondeal_limit::{EndpointRates, RunTimes};
use dandeliondeal_peer::PeerSettings;
use dandeliondeal_quarantine::{CrashTable, HeldRuns};
use dandeliondeal_route::RouteTable;
use dandeliondeal_types::{Clock, EndpointId, ServiceId, StoreEra};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, watch};

use crate::crash_watch::ProcessChecks;
use crate::engine_calls::ReportCache;
use crate::engine_check::EngineChecks;
use crate::engine_survey::EngineSurvey;
use crate::first_engine_health::FirstEngineHealth;
use crate::first_reads::FirstReads;
use crate::fleet_view::FleetView;
use crate::instance_registry::PeerInstance;
use crate::link_monitor::LinkMonitor;
use crate::load_tracker::LoadTracker;
use crate::loss_board::LossBoard;
use crate::process_pause::ProcessPause;
use crate::process_watch::{ProcessWatch, WatchCause};
use crate::relay_error::RelayError;
use crate::relay_lifecycle::{LifecycleTable, lifecycle_table};
use crate::relay_metrics::RelayMetrics;
use crate::repeat_allowance::RepeatAllowance;
use crate::request_admission::RequestAdmission;
use crate::silence_watch::SilenceWatch;

/// Part of the process's memory that bodies may take while they are read, as a divisor.
///
/// The buffers of bodies grow to twice their content.
const BODY_MEMORY_DIVISOR: usize = 8;

/// Progress of a shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum StopPhase {
    /// The process serves requests.
    Running,
    /// The process has been asked to stop, and open requests may finish.
    Draining,
    /// The grace period ends; requests without a response get a final one.
    Ending,
    /// The process exits; requests that are still open are cut off.
    Stopped,
}

/// State shared by all requests of a router; clones share the state.
#[derive(Debug)]
pub struct RelayContext<Time, Dialect> {
    shared: Rc<SharedState<Time, Dialect>>,
}

#[derive(Debug)]
struct SharedState<Time, Dialect> {
    settings: RouterSettings,
    clock: Time,
    dialect: Dialect,
    table: RefCell<Option<Arc<RouteTable>>>,
    first_reads: watch::Sender<FirstReads>,
    store_eras: watch::Sender<StoreEra>,
    fleet: RefCell<FleetView>,
    pool: RefCell<ConnectionPool<Time>>,
    repeats: RepeatAllowance,
    body_memory: BodyMemory,
    random: RefCell<StdRng>,
    tracker: LoadTracker,
    silences: SilenceWatch,
    report_cache: ReportCache,
    engine_checks: EngineChecks,
    survey: EngineSurvey,
    first_engines: FirstEngineHealth,
    crashes: RefCell<CrashTable>,
    held_runs: RefCell<HeldRuns>,
    process_checks: ProcessChecks,
    process_watch: ProcessWatch,
    links: LinkMonitor,
    losses: LossBoard,
    peer_secret: SecretText,
    rates: RefCell<EndpointRates>,
    urgent_report: Notify,
    metrics: RelayMetrics,
    lifecycle_table: Arc<LifecycleTable>,
    planner: LayoutPlanner,
    instance_count: Cell<usize>,
    peers: RefCell<Rc<Vec<PeerInstance>>>,
    stop_phase: watch::Sender<StopPhase>,
    /// Time at which requests without a response get a final one, once the process has been asked to
    /// stop.
    exit_at: Cell<Option<Instant>>,
    run_times: RefCell<RunTimes>,
    holds_lease: Cell<bool>,
    lease_holder_seen: Cell<Option<Instant>>,
    admission: RequestAdmission,
    pauses: ProcessPause,
}

impl<Time, Dialect> Clone for RelayContext<Time, Dialect> {
    fn clone(&self) -> Self {
        Self {
            shared: Rc::clone(&self.shared),
        }
    }
}

impl<Time, Dialect> RelayContext<Time, Dialect>
where
    Time: Clock,
{
    /// Creates the context; `seed` has to differ between processes.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError`] if a state chart or a metric is invalid.
    pub fn new(
        settings: RouterSettings,
        clock: Time,
        dialect: Dialect,
        seed: u64,
    ) -> Result<Self, RelayError> {
        let fleet = FleetView::new(&settings.instance.id)?;
        let pool = ConnectionPool::new(PoolSettings::default(), clock.clone());
        let repeats = RepeatAllowance::new(clock.now());
        let memory_bytes = settings.machine.memory_mb.saturating_mul(1024 * 1024);
        let memory_bytes = usize::try_from(memory_bytes).unwrap_or(usize::MAX);
        let body_memory = BodyMemory::new(memory_bytes / BODY_MEMORY_DIVISOR);
        let shared = SharedState {
            settings,
            clock,
            dialect,
            table: RefCell::default(),
            first_reads: watch::Sender::default(),
            store_eras: watch::Sender::default(),
            fleet: RefCell::new(fleet),
            pool: RefCell::new(pool),
            repeats,
            body_memory,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            tracker: LoadTracker::default(),
            silences: SilenceWatch::default(),
            report_cache: ReportCache::default(),
            engine_checks: EngineChecks::default(),
            survey: EngineSurvey::default(),
            first_engines: FirstEngineHealth::default(),
            crashes: RefCell::default(),
            held_runs: RefCell::default(),
            process_checks: ProcessChecks::default(),
            process_watch: ProcessWatch::default(),
            links: LinkMonitor::default(),
            losses: LossBoard::default(),
            peer_secret: PeerSettings::default().secret,
            rates: RefCell::default(),
            urgent_report: Notify::new(),
            metrics: RelayMetrics::new()?,
            lifecycle_table: lifecycle_table()?,
            planner: LayoutPlanner::new(LayoutSettings::default()),
            instance_count: Cell::new(0),
            peers: RefCell::default(),
            stop_phase: watch::Sender::new(StopPhase::Running),
            exit_at: Cell::new(None),
            run_times: RefCell::default(),
            holds_lease: Cell::new(false),
            lease_holder_seen: Cell::new(None),
            admission: RequestAdmission::default(),
            pauses: ProcessPause::default(),
        };
        Ok(Self {
            shared: Rc::new(shared),
        })
    }

    /// Returns the settings.
    pub fn settings(&self) -> &RouterSettings {
        &self.shared.settings
    }

    /// Returns the clock.
    pub fn clock(&self) -> &Time {
        &self.shared.clock
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    /// Returns the deployment's dialect.
    pub fn dialect(&self) -> &Dialect {
        &self.shared.dialect
    }

    /// Returns the active configuration; `None` until one has been read.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.shared.table.borrow().clone()
    }

    /// Activates a configuration unless it is not newer than the active one.
    pub fn set_table(&self, table: RouteTable) -> bool {
        let active_version = self.table().map_or(0, |active| active.version());
        if table.version() <= active_version {
            return false;
        }
        self.fleet().borrow_mut().set_services(&table, self.now());
        let mode = self.settings().grading.mode;
        self.admission().set_services(&table, mode, self.now());
        let is_known = |service: &ServiceId| table.service(service).is_some();
        self.run_times().borrow_mut().retain(is_known);
        let has_graded_model = table
            .services()
            .any(|rule| rule.engine.is_some() && self.admission().is_graded(&rule.id));
        self.losses().set_shared(has_graded_model);
        let version = i64::try_from(table.version()).unwrap_or(i64::MAX);
        self.shared.metrics.config_version.set(version);
        self.shared.table.replace(Some(Arc::new(table)));
        let first_reads = &self.shared.first_reads;
        first_reads.send_modify(|reads| reads.has_config = true);
        true
    }

    /// Returns what this process has read from the store.
    pub(crate) fn first_reads(&self) -> &watch::Sender<FirstReads> {
        &self.shared.first_reads
    }

    /// Returns the era of the store's content.
    pub(crate) fn store_eras(&self) -> &watch::Sender<StoreEra> {
        &self.shared.store_eras
    }

    /// Returns the endpoints.
    pub fn fleet(&self) -> &RefCell<FleetView> {
        &self.shared.fleet
    }

    /// Returns the admission to graded services.
    pub fn admission(&self) -> &RequestAdmission {
        &self.shared.admission
    }

    /// Returns the pool of idle connections.
    pub fn pool(&self) -> &RefCell<ConnectionPool<Time>> {
        &self.shared.pool
    }

    /// Returns the load of the engines.
    pub fn tracker(&self) -> &LoadTracker {
        &self.shared.tracker
    }

    /// Returns the evidence on silent streams.
    pub fn silences(&self) -> &SilenceWatch {
        &self.shared.silences
    }

    /// Returns the cache of engine reports.
    pub fn report_cache(&self) -> &ReportCache {
        &self.shared.report_cache
    }

    /// Returns the state of the engine checks.
    pub fn engine_checks(&self) -> &EngineChecks {
        &self.shared.engine_checks
    }

    /// Returns the slowness that engines reported.
    pub fn survey(&self) -> &EngineSurvey {
        &self.shared.survey
    }

    /// Returns the outcomes of attempts at the first engines of chains.
    pub fn first_engines(&self) -> &FirstEngineHealth {
        &self.shared.first_engines
    }

    /// Returns the checks whether processes have ended.
    pub fn process_checks(&self) -> &ProcessChecks {
        &self.shared.process_checks
    }

    /// Takes an engine that failed out of use, and finds out whether its process ended under requests.
    pub(crate) fn mark_failed(&self, engine: &EndpointId) {
        let now = self.now();
        self.fleet().borrow_mut().mark_failed(engine, now);
        self.process_watch().add(engine, WatchCause::Failure);
    }

    /// Returns the endpoints whose processes are watched.
    pub fn process_watch(&self) -> &ProcessWatch {
        &self.shared.process_watch
    }

    /// Returns the secret that instances share.
    pub fn peer_secret(&self) -> &SecretText {
        &self.shared.peer_secret
    }

    /// Returns the links to the endpoints.
    pub fn links(&self) -> &LinkMonitor {
        &self.shared.links
    }

    /// Returns the losses of engines that are known.
    pub fn losses(&self) -> &LossBoard {
        &self.shared.losses
    }

    /// Returns what is known of crashes under requests.
    pub fn crashes(&self) -> &RefCell<CrashTable> {
        &self.shared.crashes
    }

    /// Returns the requests that processes hold.
    pub fn held_runs(&self) -> &RefCell<HeldRuns> {
        &self.shared.held_runs
    }

    /// Returns the request limits that endpoints state.
    pub fn rates(&self) -> &RefCell<EndpointRates> {
        self.check_pause();
        &self.shared.rates
    }

    /// Returns the request limits without a look at the clock.
    pub(crate) fn unchecked_rates(&self) -> &RefCell<EndpointRates> {
        &self.shared.rates
    }

    /// Returns the pauses of this process.
    pub(crate) fn pauses(&self) -> &ProcessPause {
        &self.shared.pauses
    }

    /// Asks for a report to the other instances before the next regular one.
    pub fn request_report(&self) {
        self.shared.urgent_report.notify_one();
    }

    /// Waits until a report is asked for.
    pub async fn wait_for_report_request(&self) {
        self.shared.urgent_report.notified().await;
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &RelayMetrics {
        &self.shared.metrics
    }

    /// Returns the state table of a relayed request.
    pub fn lifecycle_table(&self) -> &Arc<LifecycleTable> {
        &self.shared.lifecycle_table
    }

    /// Returns the layout planner.
    pub fn planner(&self) -> &LayoutPlanner {
        &self.shared.planner
    }

    /// Returns the number of instances that share the repeat budget and the load; at least 1.
    pub fn instance_count(&self) -> usize {
        self.shared.instance_count.get().max(1)
    }

    /// Returns the registered instances.
    pub fn peers(&self) -> Rc<Vec<PeerInstance>> {
        Rc::clone(&self.shared.peers.borrow())
    }

    /// Sets the registered instances.
    pub fn set_peers(&self, peers: Vec<PeerInstance>) {
        let instance_count = peers.len();
        self.shared.peers.replace(Rc::new(peers));
        self.shared.instance_count.set(instance_count.max(1));
        self.fleet()
            .borrow_mut()
            .set_instance_count(instance_count.max(1));
        self.pauses().record_count();
        self.share_slack();
    }

    /// Returns the number of registered instances; `None` until they are counted since the start or the
    /// last pause.
    pub(crate) fn counted_instances(&self) -> Option<usize> {
        let instance_count = self.shared.instance_count.get();
        (instance_count > 0 && self.pauses().is_counted()).then_some(instance_count)
    }

    /// Returns the memory for bodies of responses that are being read.
    pub fn body_memory(&self) -> &BodyMemory {
        &self.shared.body_memory
    }

    /// Returns the repeat budgets.
    pub(crate) fn repeats(&self) -> &RepeatAllowance {
        &self.shared.repeats
    }

    /// Returns whether the process has been asked to stop.
    pub fn is_stopping(&self) -> bool {
        *self.shared.stop_phase.borrow() >= StopPhase::Draining
    }

    /// Records that the process has been asked to stop; requests without a response get a final one
    /// at `exit_at`.
    pub fn request_stop(&self, exit_at: Instant) {
        self.shared.exit_at.set(Some(exit_at));
        self.shared.stop_phase.send_replace(StopPhase::Draining);
    }

    /// Returns the time until requests without a response get a final one; `None` if the process has
    /// not been asked to stop.
    pub fn time_until_exit(&self) -> Option<Duration> {
        let exit_at = self.shared.exit_at.get()?;
        Some(exit_at.saturating_duration_since(self.now()))
    }

    /// Returns the times that requests of each service take.
    pub fn run_times(&self) -> &RefCell<RunTimes> {
        &self.shared.run_times
    }

    /// Ends the open requests that have no response yet, because the grace period is over; returns
    /// `false` if that was requested before.
    pub fn request_final_responses(&self) -> bool {
        self.shared.stop_phase.send_replace(StopPhase::Ending) != StopPhase::Ending
    }

    /// Records that the process exits, which cuts off requests that are still open.
    pub fn record_exit(&self) {
        self.shared.stop_phase.send_replace(StopPhase::Stopped);
    }

    /// Returns whether the process exits.
    pub fn is_exiting(&self) -> bool {
        *self.shared.stop_phase.borrow() == StopPhase::Stopped
    }

    /// Waits until requests without a response have to be ended.
    pub async fn wait_for_final_responses(&self) {
        let mut stop_phase = self.shared.stop_phase.subscribe();
        // The sender lives as long as this context, so the wait does not fail.
        drop(
            stop_phase
                .wait_for(|phase| *phase >= StopPhase::Ending)
                .await,
        );
    }

    /// Returns whether this instance holds the layout lease.
    pub fn holds_lease(&self) -> bool {
        self.shared.holds_lease.get()
    }

    /// Sets whether this instance holds the layout lease.
    pub fn set_holds_lease(&self, holds_lease: bool) {
        self.shared.holds_lease.set(holds_lease);
    }

    /// Records that some instance reported at `at` that it holds the layout lease.
    pub fn record_lease_holder(&self, at: Instant) {
        self.shared.lease_holder_seen.set(Some(at));
    }

    /// Returns the last time at which an instance is known to have held the layout lease.
    pub fn lease_holder_seen(&self) -> Option<Instant> {
        self.shared.lease_holder_seen.get()
    }

    /// Calls `draw` with the random number generator.
    pub fn with_rng<Result, Draw>(&self, draw: Draw) -> Result
    where
        Draw: FnOnce(&mut StdRng) -> Result,
    {
        draw(&mut self.shared.random.borrow_mut())
    }

    /// Returns `base` times a random factor from 0.5 to 1.5.
    pub fn jitter(&self, base: Duration) -> Duration {
        let factor = self.with_rng(|random| random.random_range(0.5..1.5));
        base.mul_f64(factor)
    }
}
