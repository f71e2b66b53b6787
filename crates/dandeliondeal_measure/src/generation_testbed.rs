//! A testbed that runs generations on stand-in engines, with a selectable plan policy.

use std::cell::Cell;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_entry::engine_http::EngineHttp;
use dandeliondeal_entry::engine_use::EngineUse;
use dandeliondeal_entry::http_pool::HttpPool;
use dandeliondeal_entry::load_poll;
use dandeliondeal_entry::log_budget::LogBudget;
use dandeliondeal_entry::planning_view::PlanningView;
use dandeliondeal_entry::route_table::RouteTable;
use dandeliondeal_entry::session_driver::{ChainSource, SessionDriver};
use dandeliondeal_entry::shared_monitor::SharedMonitor;
use dandeliondeal_entry::table_cell::TableCell;
use dandeliondeal_entry::watched_engine::WatchedEngine;
use dandeliondeal_pipeline::{
    PlanChain, PlanQuery, PlanStage, SessionMachine, SessionSettings, SessionSpec,
};
use dandeliondeal_standin::{EngineSettings, EngineStandin, reference_answer};
use dandeliondeal_types::sheet_model::{AcceleratorEntry, EndpointTarget};
use dandeliondeal_types::{
    EndpointId, FailureDomain, LayerRange, ModelId, RequestId, RouteError, SystemClock, Token,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::JoinHandle;

use crate::MeasureError;
use crate::engine_setup::{MODEL_LAYERS, engine_settings, engine_sheet};

/// Memory for the input logs of all sessions in bytes.
const INPUT_LOG_BYTES: u64 = 16 * 1024 * 1024;
/// Time after which a generation fails.
const GENERATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Seed of the monitor's random samples.
const MONITOR_SEED: u64 = 1;

/// How the planner chooses the chain of engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanPolicy {
    /// The chain with the lowest predicted cost.
    Cheapest,
    /// For each stage, the first engine by name that holds the next layer.
    FirstFit,
    /// For each stage, a random engine that holds the next layer.
    Random,
}

/// Settings of one engine of a testbed.
#[derive(Clone, Copy, Debug)]
pub struct TestbedEngine {
    /// Layers that the engine holds.
    pub range: LayerRange,
    /// Time of one layer in microseconds.
    pub layer_microseconds: u64,
    /// Maximum number of concurrent steps, or 0 for no limit.
    pub max_concurrent_steps: usize,
}

/// Stand-in engines and the components of the router that run generations.
#[derive(Debug)]
pub struct GenerationTestbed {
    /// Engines and their layers; the engine at index 0 is `engine-1`.
    pub engines: Vec<(EngineStandin, LayerRange)>,
    /// Settings of all sessions.
    pub settings: SessionSettings,
    table: Arc<RouteTable>,
    engine: WatchedEngine<EngineHttp, SystemClock>,
    monitor: SharedMonitor<SystemClock>,
    usage: EngineUse,
    budget: LogBudget,
    generation_count: Cell<u64>,
}

/// A running generation.
#[derive(Debug)]
pub struct GenerationHandle {
    /// Request id of the generation.
    pub id: RequestId,
    /// Receiver of the tokens as they are generated.
    pub tokens: UnboundedReceiver<Token>,
    /// Task that runs the generation.
    pub task: JoinHandle<Result<(), RouteError>>,
}

/// Plans chains by a [`PlanPolicy`].
#[derive(Debug)]
struct PolicyPlanner {
    table: Arc<RouteTable>,
    monitor: SharedMonitor<SystemClock>,
    usage: EngineUse,
    policy: PlanPolicy,
    /// Selects among chains of equal cost, or seeds the random policy.
    tie_breaker: u64,
}

impl GenerationTestbed {
    /// Starts the engines and installs a sheet with them.
    ///
    /// # Errors
    ///
    /// Returns an error if an engine cannot be started or the health chart is invalid.
    pub fn start(
        measurement: &'static str,
        engines: &[TestbedEngine],
        settings: SessionSettings,
    ) -> Result<Self, MeasureError> {
        let mut started_engines = Vec::new();
        for engine in engines {
            let engine_settings = EngineSettings {
                max_concurrent_steps: engine.max_concurrent_steps,
                ..engine_settings(engine.range, engine.layer_microseconds)
            };
            let standin = EngineStandin::start(engine_settings)
                .map_err(|error| MeasureError::new(measurement, error.to_string()))?;
            started_engines.push((standin, engine.range));
        }
        let mut sheet = engine_sheet(&started_engines);
        for (engine, entry) in engines.iter().zip(sheet.endpoints.values_mut()) {
            entry.accelerator = format!("{} us", engine.layer_microseconds).into();
            let accelerator = AcceleratorEntry {
                layer_nanoseconds: engine.layer_microseconds * 1_000,
            };
            sheet
                .accelerators
                .insert(Arc::clone(&entry.accelerator), accelerator);
        }
        let cell = TableCell::default();
        cell.install(RouteTable::new(Arc::new(sheet)));
        let table = cell.current();
        let monitor =
            SharedMonitor::new("rig".into(), "domain-a".into(), MONITOR_SEED, SystemClock)
                .map_err(|error| MeasureError::new(measurement, error.to_string()))?;
        monitor.install(&table.sheet);
        let pool = HttpPool::new(Duration::from_millis(500));
        actix_rt::spawn(load_poll::poll_loads(
            monitor.downgrade(),
            pool.clone(),
            cell,
            SystemClock,
        ));
        let engine = EngineHttp::new(pool, Arc::clone(&table));
        Ok(Self {
            engines: started_engines,
            settings,
            engine: WatchedEngine::new(engine, monitor.clone()),
            monitor,
            table,
            usage: EngineUse::default(),
            budget: LogBudget::new(INPUT_LOG_BYTES),
            generation_count: Cell::new(0),
        })
    }

    /// Starts a generation.
    ///
    /// # Errors
    ///
    /// Returns an error if the session chart is invalid.
    pub fn generate(
        &self,
        measurement: &'static str,
        policy: PlanPolicy,
        prompt: &[Token],
        max_tokens: usize,
    ) -> Result<GenerationHandle, MeasureError> {
        let number = self.generation_count.get() + 1;
        self.generation_count.set(number);
        let id: RequestId = format!("rig-{number}").into();
        let spec = SessionSpec {
            request: Arc::clone(&id),
            model: "model-a".into(),
            layers: MODEL_LAYERS,
            prompt: prompt.into(),
            max_tokens,
            end_token: None,
            priority: 0,
            repeatable: true,
        };
        let machine = SessionMachine::new(spec, self.settings.clone())
            .map_err(|error| MeasureError::new(measurement, error.to_string()))?;
        let mut driver = SessionDriver {
            engine: self.engine.clone(),
            chains: PolicyPlanner {
                table: Arc::clone(&self.table),
                monitor: self.monitor.clone(),
                usage: self.usage.clone(),
                policy,
                tie_breaker: number,
            },
            clock: SystemClock,
            machine,
            request: Arc::clone(&id),
            deadline: Instant::now() + GENERATION_TIMEOUT,
            engine_use: self.usage.new_guard(),
            log_share: self.budget.new_share(),
            recorder: None,
        };
        let (sender, tokens) = unbounded_channel();
        let task = actix_rt::spawn(async move { driver.run(&sender).await });
        Ok(GenerationHandle { id, tokens, task })
    }

    /// Returns the indexes of the engines that have a session of a request, sorted by layer.
    pub fn stages(&self, id: &RequestId) -> Vec<usize> {
        let mut stages: Vec<(u32, usize)> = self
            .engines
            .iter()
            .enumerate()
            .filter_map(|(index, (engine, _))| {
                engine.session(id).map(|status| (status.range.start, index))
            })
            .collect();
        stages.sort_unstable();
        stages.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns the correct answer to a prompt.
    pub fn expected_answer(&self, prompt: &[Token], count: usize) -> Vec<u64> {
        let prompt: Vec<u64> = prompt.iter().map(|token| u64::from(*token)).collect();
        reference_answer("model-a", MODEL_LAYERS, &prompt, count)
    }
}

impl ChainSource for PolicyPlanner {
    fn plan(&self, range: LayerRange, avoid: &[EndpointId]) -> Option<PlanChain> {
        match self.policy {
            PlanPolicy::Cheapest => self.cheapest_chain(range, avoid),
            PlanPolicy::FirstFit => self.greedy_chain(range, avoid, None),
            PlanPolicy::Random => self.greedy_chain(
                range,
                avoid,
                Some(SmallRng::seed_from_u64(self.tie_breaker)),
            ),
        }
    }

    fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        self.usage.is_leaving(endpoint)
    }
}

impl PolicyPlanner {
    fn cheapest_chain(&self, range: LayerRange, avoid: &[EndpointId]) -> Option<PlanChain> {
        let model: ModelId = "model-a".into();
        let instance_domain: FailureDomain = "domain-a".into();
        let query = PlanQuery {
            model: &model,
            range,
            failure_domains: &[],
            instance_domain: &instance_domain,
            avoid,
            tie_breaker: self.tie_breaker,
        };
        let plans = &self.table.plans;
        let sampled_chain = self.monitor.with_view(true, |monitor| {
            plans.plan(&query, &PlanningView::new(&self.usage, monitor))
        });
        sampled_chain.or_else(|| {
            self.monitor.with_full_view(true, |monitor| {
                plans.plan(&query, &PlanningView::new(&self.usage, monitor))
            })
        })
    }

    /// Builds a chain stage by stage.
    ///
    /// Each stage uses the first engine that holds the next layer, or a random one if `random` is
    /// set.
    fn greedy_chain(
        &self,
        range: LayerRange,
        avoid: &[EndpointId],
        mut random: Option<SmallRng>,
    ) -> Option<PlanChain> {
        let mut stages: Vec<PlanStage> = Vec::new();
        let mut next_layer = range.start;
        while next_layer < range.end {
            let sheet = &self.table.sheet;
            let candidates: Vec<(&EndpointId, LayerRange)> = sheet
                .endpoints
                .iter()
                .filter(|(endpoint, _)| !avoid.contains(endpoint))
                .filter_map(|(endpoint, entry)| Some((endpoint, target_layers(&entry.target)?)))
                .filter(|(_, held_range)| {
                    held_range.start <= next_layer && next_layer < held_range.end
                })
                .collect();
            let chosen = match &mut random {
                None => candidates.first(),
                Some(random) => candidates.choose(random),
            };
            let (endpoint, held_range) = chosen?;
            let end = held_range.end.min(range.end);
            stages.push(PlanStage {
                endpoint: Arc::clone(endpoint),
                range: LayerRange::new(next_layer, end),
            });
            next_layer = end;
        }
        Some(PlanChain {
            stages,
            cost: Duration::ZERO,
        })
    }
}

/// Returns the layers of an engine's target, or `None` for a service.
fn target_layers(target: &EndpointTarget) -> Option<LayerRange> {
    match target {
        EndpointTarget::Layers { range, .. } => Some(*range),
        EndpointTarget::Service { .. } => None,
    }
}
