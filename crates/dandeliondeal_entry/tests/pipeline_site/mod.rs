//! Engine stand-ins on real sockets, a sheet that lists them, and generations that use them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_entry::engine_http::EngineHttp;
use dandeliondeal_entry::engine_use::EngineUse;
use dandeliondeal_entry::entry_metrics::EntryMetrics;
use dandeliondeal_entry::generation::{GenerationContext, GenerationRequest, generate};
use dandeliondeal_entry::http_pool::HttpPool;
use dandeliondeal_entry::log_budget::LogBudget;
use dandeliondeal_entry::route_table::RouteTable;
use dandeliondeal_entry::shared_monitor::SharedMonitor;
use dandeliondeal_pipeline::SessionSettings;
use dandeliondeal_standin::{EngineSettings, EngineStandin, FaultChange, reference_answer};
use dandeliondeal_types::sheet_model::{
    AcceleratorEntry, EndpointEntry, EndpointTarget, ModelEntry,
};
use dandeliondeal_types::{LayerRange, RouteError, SheetModel, SystemClock, Token};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::JoinHandle;

pub const LAYERS: u32 = 8;
pub const MODEL: &str = "model-a";
pub const PROMPT: [Token; 6] = [104, 101, 108, 108, 111, 33];
/// Maximum time that a test waits for anything.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Engine stand-ins, and the context in which generations use them.
pub struct PipelineSite {
    pub engines: Vec<EngineStandin>,
    pub context: GenerationContext<EngineHttp, SystemClock>,
}

/// A running generation, and the tokens received from it.
pub struct RunningGeneration {
    pub received: Vec<u64>,
    receiver: UnboundedReceiver<Token>,
    end: JoinHandle<Result<(), RouteError>>,
    id: Arc<str>,
    max_tokens: usize,
}

fn endpoint_entry(engine: &EngineStandin, range: LayerRange) -> EndpointEntry {
    EndpointEntry {
        address: engine.address(),
        target: EndpointTarget::Layers {
            model: MODEL.into(),
            range,
        },
        accelerator: "fast".into(),
        failure_domain: "didube".into(),
        region: "tbilisi".into(),
        checks_fencing: true,
        capacity: 64,
    }
}

impl PipelineSite {
    /// Starts one engine for each range; earlier ones are preferred where ranges are equal.
    pub fn start(ranges: &[(u32, u32)]) -> Self {
        let mut sheet = SheetModel {
            revision: 1,
            ..SheetModel::default()
        };
        let model = ModelEntry {
            layers: LAYERS,
            context_tokens: 4_096,
            version: "1".into(),
        };
        sheet.models.insert(MODEL.into(), model);
        let mut engines = Vec::new();
        for (index, (start, end)) in ranges.iter().enumerate() {
            let range = LayerRange::new(*start, *end);
            let engine = EngineStandin::start(EngineSettings {
                range,
                layers: LAYERS,
                layer_microseconds: 300,
                ..EngineSettings::default()
            })
            .unwrap();
            // Each engine is slightly slower than the one before, so that plans are deterministic.
            let kind = format!("kind-{index}");
            let accelerator = AcceleratorEntry {
                layer_nanoseconds: 300_000 + 1_000 * index as u64,
            };
            sheet.accelerators.insert(kind.as_str().into(), accelerator);
            let entry = EndpointEntry {
                accelerator: kind.into(),
                ..endpoint_entry(&engine, range)
            };
            sheet.endpoints.insert(format!("e{index}").into(), entry);
            engines.push(engine);
        }
        Self {
            engines,
            context: generation_context(sheet),
        }
    }

    /// Starts a repeatable generation with a time limit of [`WAIT_LIMIT`].
    pub fn generate(&self, max_tokens: usize) -> RunningGeneration {
        self.generate_within(max_tokens, WAIT_LIMIT, true)
    }

    /// Starts a generation with a deadline.
    pub fn generate_within(
        &self,
        max_tokens: usize,
        time_limit: Duration,
        repeatable: bool,
    ) -> RunningGeneration {
        self.generate_as("request-1", max_tokens, time_limit, repeatable)
    }

    /// Starts a generation with a request id and a deadline.
    pub fn generate_as(
        &self,
        id: &str,
        max_tokens: usize,
        time_limit: Duration,
        repeatable: bool,
    ) -> RunningGeneration {
        let (sender, receiver) = unbounded_channel();
        let context = self.context.clone();
        let id: Arc<str> = id.into();
        let request = GenerationRequest {
            id: id.clone(),
            model: MODEL.into(),
            failure_domains: Vec::new(),
            prompt: PROMPT.into(),
            max_tokens: u32::try_from(max_tokens).unwrap(),
            priority: 0,
            repeatable,
            deadline: Instant::now() + time_limit,
        };
        let end = actix_rt::spawn(async move { generate(&context, &request, &sender).await });
        RunningGeneration {
            received: Vec::new(),
            receiver,
            end,
            id,
            max_tokens,
        }
    }

    /// Changes the injected faults of one engine.
    pub fn set_fault(&self, index: usize, change: FaultChange) {
        self.engines[index].set_faults(change);
    }

    /// Returns the number of recoveries with the metric label `way`, over all requests.
    pub fn recoveries(&self, way: &str) -> u64 {
        let metrics = String::from_utf8(self.context.metrics.render().unwrap()).unwrap();
        let name = format!("dandeliondeal_recoveries_total{{way=\"{way}\"}} ");
        let line = metrics.lines().find_map(|line| line.strip_prefix(&name));
        line.map_or(0, |count| count.parse().unwrap())
    }

    /// Returns the number of positions that an engine ran, over all lineages.
    pub fn positions_run(&self, index: usize) -> usize {
        self.engines[index].ledger().len()
    }

    /// Waits until no engine has a session.
    pub async fn wait_for_no_sessions(&self) {
        let start = Instant::now();
        while self.engines.iter().any(|engine| engine.session_count() > 0) {
            assert!(start.elapsed() < WAIT_LIMIT, "engines still have sessions");
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Asserts that each lineage ran a layer at most once per position, with positions in order,
    /// and that every layer ran for every position of the answer.
    pub fn check_ledger(&self, generation: &RunningGeneration) {
        let mut runs = BTreeSet::new();
        let mut covered = BTreeSet::new();
        for engine in &self.engines {
            let mut previous: Option<(u32, u64)> = None;
            for entry in engine.ledger() {
                assert_eq!(entry.request, generation.id);
                for layer in entry.start..entry.end {
                    let is_first = runs.insert((entry.lineage, entry.position, layer));
                    assert!(is_first, "{entry:?} ran twice");
                    covered.insert((entry.position, layer));
                }
                let is_next = previous.is_none_or(|(lineage, position)| {
                    lineage < entry.lineage
                        || (lineage == entry.lineage && position + 1 == entry.position)
                });
                assert!(is_next, "{entry:?} after {previous:?}");
                previous = Some((entry.lineage, entry.position));
            }
        }
        let positions = (PROMPT.len() + generation.max_tokens - 1) as u64;
        for position in 0..positions {
            for layer in 0..LAYERS {
                assert!(
                    covered.contains(&(position, layer)),
                    "layer {layer} did not run for position {position}"
                );
            }
        }
    }
}

fn generation_context(sheet: SheetModel) -> GenerationContext<EngineHttp, SystemClock> {
    let table = Arc::new(RouteTable::new(Arc::new(sheet)));
    let pool = HttpPool::new(Duration::from_millis(500));
    let monitor = SharedMonitor::new("entry-1".into(), "didube".into(), 1, SystemClock)
        .expect("a valid state chart");
    monitor.install(&table.sheet);
    GenerationContext {
        engine: EngineHttp::new(pool, Arc::clone(&table)),
        clock: SystemClock,
        table,
        engine_use: EngineUse::default(),
        monitor,
        log_budget: LogBudget::new(1_000_000),
        settings: SessionSettings {
            leave_grace: Duration::ZERO,
            ..SessionSettings::default()
        },
        instance_domain: "didube".into(),
        metrics: EntryMetrics::new().unwrap(),
    }
}

impl RunningGeneration {
    /// Waits until `count` tokens have been received.
    pub async fn wait_for_tokens(&mut self, count: usize) {
        while self.received.len() < count {
            let token = actix_rt::time::timeout(WAIT_LIMIT, self.receiver.recv());
            let token = token.await.expect("a token in time").expect("a token");
            self.received.push(u64::from(token));
        }
    }

    /// Waits for the end, and asserts that the tokens equal those of a run without faults.
    pub async fn finish(&mut self) {
        let end = self.wait_for_end().await;
        assert!(end.is_ok(), "{end:?} after {} tokens", self.received.len());
        assert_eq!(self.received, self.reference());
    }

    /// Waits for the end and returns its result.
    pub async fn wait_for_end(&mut self) -> Result<(), RouteError> {
        let end = actix_rt::time::timeout(WAIT_LIMIT, &mut self.end);
        let end = end.await.expect("an end in time").expect("no panic");
        while let Ok(token) = self.receiver.try_recv() {
            self.received.push(u64::from(token));
        }
        end
    }

    /// Closes the token channel, as happens when the caller disconnects.
    pub fn disconnect_caller(&mut self) {
        self.receiver.close();
    }

    /// Returns the tokens of a run without faults.
    pub fn reference(&self) -> Vec<u64> {
        let prompt: Vec<u64> = PROMPT.iter().map(|token| u64::from(*token)).collect();
        reference_answer(MODEL, LAYERS, &prompt, self.max_tokens)
    }
}
