//! Generations through stand-in engines, with a choice of planners.

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
use crate::site::{SITE_LAYERS, engine_settings, site_sheet};

/// Memory for logged inputs in bytes.
const LOG_BYTES: u64 = 16 * 1024 * 1024;
/// Deadline of each generation.
const DEADLINE: Duration = Duration::from_secs(30);

/// Seed of the monitor's samples.
const BOARD_SEED: u64 = 1;

/// How chains are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanPolicy {
    /// The cheapest chain.
    Cheapest,
    /// The first engine in order of name that goes on.
    FirstFit,
    /// Any engine that goes on.
    Random,
}

/// One engine of a rig.
#[derive(Clone, Copy, Debug)]
pub struct RigEngine {
    /// Layers that it holds.
    pub range: LayerRange,
    /// Time of one layer, in microseconds.
    pub layer_microseconds: u64,
    /// Steps that it runs at once; 0 for any number.
    pub step_slots: usize,
}

/// Stand-in engines and what generations need.
#[derive(Debug)]
pub struct GenerationRig {
    /// The engines; the one at index 0 is `engine-1`.
    pub engines: Vec<(EngineStandin, LayerRange)>,
    /// Bounds of sessions.
    pub settings: SessionSettings,
    table: Arc<RouteTable>,
    engine: WatchedEngine<EngineHttp, SystemClock>,
    monitor: SharedMonitor<SystemClock>,
    usage: EngineUse,
    budget: LogBudget,
    number: Cell<u64>,
}

/// A generation that runs.
#[derive(Debug)]
pub struct RigText {
    /// Its request id.
    pub id: RequestId,
    /// Its tokens as they come.
    pub tokens: UnboundedReceiver<Token>,
    /// Its end.
    pub end: JoinHandle<Result<(), RouteError>>,
}

#[derive(Debug)]
struct RigChains {
    table: Arc<RouteTable>,
    monitor: SharedMonitor<SystemClock>,
    usage: EngineUse,
    policy: PlanPolicy,
    spread: u64,
}

impl GenerationRig {
    /// Starts the engines.
    ///
    /// # Errors
    ///
    /// Says which engine cannot listen.
    pub fn start(
        measurement: &'static str,
        engines: &[RigEngine],
        settings: SessionSettings,
    ) -> Result<Self, MeasureError> {
        let mut running = Vec::new();
        for engine in engines {
            let engine_settings = EngineSettings {
                step_slots: engine.step_slots,
                ..engine_settings(engine.range, engine.layer_microseconds)
            };
            let standin = EngineStandin::start(engine_settings)
                .map_err(|error| MeasureError::new(measurement, error.to_string()))?;
            running.push((standin, engine.range));
        }
        let mut sheet = site_sheet(&running);
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
        let monitor = SharedMonitor::new("rig".into(), "domain-a".into(), BOARD_SEED, SystemClock)
            .map_err(|error| MeasureError::new(measurement, error.to_string()))?;
        monitor.install(&table.sheet);
        let pool = HttpPool::new(Duration::from_millis(500));
        actix_rt::spawn(load_poll::run(
            monitor.downgrade(),
            pool.clone(),
            cell,
            SystemClock,
        ));
        let engine = EngineHttp::new(pool, Arc::clone(&table));
        Ok(Self {
            engines: running,
            settings,
            engine: WatchedEngine::new(engine, monitor.clone()),
            monitor,
            table,
            usage: EngineUse::default(),
            budget: LogBudget::new(LOG_BYTES),
            number: Cell::new(0),
        })
    }

    /// Starts a generation.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the session chart.
    pub fn generate(
        &self,
        measurement: &'static str,
        policy: PlanPolicy,
        prompt: &[Token],
        max_tokens: usize,
    ) -> Result<RigText, MeasureError> {
        let number = self.number.get() + 1;
        self.number.set(number);
        let id: RequestId = format!("rig-{number}").into();
        let spec = SessionSpec {
            request: Arc::clone(&id),
            model: "model-a".into(),
            layers: SITE_LAYERS,
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
            chains: RigChains {
                table: Arc::clone(&self.table),
                monitor: self.monitor.clone(),
                usage: self.usage.clone(),
                policy,
                spread: number,
            },
            clock: SystemClock,
            machine,
            request: Arc::clone(&id),
            deadline: Instant::now() + DEADLINE,
            hold: self.usage.hold(),
            share: self.budget.share(),
            recorder: None,
        };
        let (sender, tokens) = unbounded_channel();
        let end = actix_rt::spawn(async move { driver.run(&sender).await });
        Ok(RigText { id, tokens, end })
    }

    /// Indexes of the engines that have a session of a request, in order of layers.
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

    /// The undisturbed answer.
    pub fn reference(&self, prompt: &[Token], count: usize) -> Vec<u64> {
        let prompt: Vec<u64> = prompt.iter().map(|token| u64::from(*token)).collect();
        reference_answer("model-a", SITE_LAYERS, &prompt, count)
    }
}

impl ChainSource for RigChains {
    fn plan(&self, range: LayerRange, avoid: &[EndpointId]) -> Option<PlanChain> {
        match self.policy {
            PlanPolicy::Cheapest => self.cheapest(range, avoid),
            PlanPolicy::FirstFit => self.walk(range, avoid, None),
            PlanPolicy::Random => {
                self.walk(range, avoid, Some(SmallRng::seed_from_u64(self.spread)))
            }
        }
    }

    fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        self.usage.is_leaving(endpoint)
    }
}

impl RigChains {
    fn cheapest(&self, range: LayerRange, avoid: &[EndpointId]) -> Option<PlanChain> {
        let model: ModelId = "model-a".into();
        let home: FailureDomain = "domain-a".into();
        let query = PlanQuery {
            model: &model,
            range,
            domains: &[],
            home: &home,
            avoid,
            spread: self.spread,
        };
        let plans = &self.table.plans;
        let sampled = self.monitor.with_view(true, |monitor| {
            plans.plan(&query, &PlanningView::new(&self.usage, monitor))
        });
        sampled.or_else(|| {
            self.monitor.with_full_view(true, |monitor| {
                plans.plan(&query, &PlanningView::new(&self.usage, monitor))
            })
        })
    }

    /// Goes from layer to layer with the first or a random engine that holds the next one.
    fn walk(
        &self,
        range: LayerRange,
        avoid: &[EndpointId],
        mut random: Option<SmallRng>,
    ) -> Option<PlanChain> {
        let mut stages: Vec<PlanStage> = Vec::new();
        let mut next = range.start;
        while next < range.end {
            let sheet = &self.table.sheet;
            let fits: Vec<(&EndpointId, LayerRange)> = sheet
                .endpoints
                .iter()
                .filter(|(endpoint, _)| !avoid.contains(endpoint))
                .filter_map(|(endpoint, entry)| Some((endpoint, layers(&entry.target)?)))
                .filter(|(_, held)| held.start <= next && next < held.end)
                .collect();
            let chosen = match &mut random {
                None => fits.first(),
                Some(random) => fits.choose(random),
            };
            let (endpoint, held) = chosen?;
            let end = held.end.min(range.end);
            stages.push(PlanStage {
                endpoint: Arc::clone(endpoint),
                range: LayerRange::new(next, end),
            });
            next = end;
        }
        Some(PlanChain {
            stages,
            cost: Duration::ZERO,
        })
    }
}

fn layers(target: &EndpointTarget) -> Option<LayerRange> {
    match target {
        EndpointTarget::Layers { range, .. } => Some(*range),
        EndpointTarget::Service { .. } => None,
    }
}
