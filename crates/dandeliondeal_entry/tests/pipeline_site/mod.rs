//! Stand-in engines on real sockets, a sheet that names them, and generations through them.

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
/// Longest time that a test waits for anything.
const PATIENCE: Duration = Duration::from_secs(20);

pub struct PipelineSite {
    pub engines: Vec<EngineStandin>,
    pub site: GenerationContext<EngineHttp, SystemClock>,
}

/// A generation that runs, and the tokens that came out of it.
pub struct RunningText {
    pub text: Vec<u64>,
    tokens: UnboundedReceiver<Token>,
    end: JoinHandle<Result<(), RouteError>>,
    id: Arc<str>,
    max_tokens: usize,
}

fn endpoint(engine: &EngineStandin, range: LayerRange) -> EndpointEntry {
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
            // Each engine is a little slower than the one before, so that plans are known.
            let kind = format!("kind-{index}");
            let accelerator = AcceleratorEntry {
                layer_nanoseconds: 300_000 + 1_000 * index as u64,
            };
            sheet.accelerators.insert(kind.as_str().into(), accelerator);
            let entry = EndpointEntry {
                accelerator: kind.into(),
                ..endpoint(&engine, range)
            };
            sheet.endpoints.insert(format!("e{index}").into(), entry);
            engines.push(engine);
        }
        Self {
            engines,
            site: generation_site(sheet),
        }
    }

    pub fn run(&self, max_tokens: usize) -> RunningText {
        self.run_for(max_tokens, PATIENCE, true)
    }

    pub fn run_for(&self, max_tokens: usize, time: Duration, repeatable: bool) -> RunningText {
        self.run_as("request-1", max_tokens, time, repeatable)
    }

    pub fn run_as(
        &self,
        id: &str,
        max_tokens: usize,
        time: Duration,
        repeatable: bool,
    ) -> RunningText {
        let (sender, tokens) = unbounded_channel();
        let site = self.site.clone();
        let id: Arc<str> = id.into();
        let request = GenerationRequest {
            id: id.clone(),
            model: MODEL.into(),
            failure_domains: Vec::new(),
            prompt: PROMPT.into(),
            max_tokens: u32::try_from(max_tokens).unwrap(),
            priority: 0,
            repeatable,
            deadline: Instant::now() + time,
        };
        let end = actix_rt::spawn(async move { generate(&site, &request, &sender).await });
        RunningText {
            text: Vec::new(),
            tokens,
            end,
            id,
            max_tokens,
        }
    }

    /// Changes the faults of one engine.
    pub fn fault(&self, index: usize, change: FaultChange) {
        self.engines[index].set_faults(change);
    }

    /// Recoveries that took a way, over all requests.
    pub fn recoveries(&self, way: &str) -> u64 {
        let text = String::from_utf8(self.site.metrics.render().unwrap()).unwrap();
        let name = format!("dandeliondeal_recoveries_total{{way=\"{way}\"}} ");
        let line = text.lines().find_map(|line| line.strip_prefix(&name));
        line.map_or(0, |number| number.parse().unwrap())
    }

    /// Positions that an engine ran, in any lineage.
    pub fn positions_run(&self, index: usize) -> usize {
        self.engines[index].ledger().len()
    }

    /// Waits until no engine has a session.
    pub async fn await_no_sessions(&self) {
        let start = Instant::now();
        while self.engines.iter().any(|engine| engine.session_count() > 0) {
            assert!(start.elapsed() < PATIENCE, "sessions are left");
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Each layer once in order in each lineage, every layer for every position of the answer.
    pub fn check_ledger(&self, text: &RunningText) {
        let mut runs = BTreeSet::new();
        let mut covered = BTreeSet::new();
        for engine in &self.engines {
            let mut before: Option<(u32, u64)> = None;
            for entry in engine.ledger() {
                assert_eq!(entry.request, text.id);
                for layer in entry.start..entry.end {
                    let is_first = runs.insert((entry.lineage, entry.position, layer));
                    assert!(is_first, "{entry:?} ran twice");
                    covered.insert((entry.position, layer));
                }
                let is_next = before.is_none_or(|(lineage, position)| {
                    lineage < entry.lineage
                        || (lineage == entry.lineage && position + 1 == entry.position)
                });
                assert!(is_next, "{entry:?} after {before:?}");
                before = Some((entry.lineage, entry.position));
            }
        }
        let positions = (PROMPT.len() + text.max_tokens - 1) as u64;
        for position in 0..positions {
            for layer in 0..LAYERS {
                assert!(covered.contains(&(position, layer)), "{position} {layer}");
            }
        }
    }
}

fn generation_site(sheet: SheetModel) -> GenerationContext<EngineHttp, SystemClock> {
    let table = Arc::new(RouteTable::new(Arc::new(sheet)));
    let pool = HttpPool::new(Duration::from_millis(500));
    let monitor = SharedMonitor::new("entry-1".into(), "didube".into(), 1, SystemClock)
        .expect("a sound chart");
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
        home: "didube".into(),
        metrics: EntryMetrics::new().unwrap(),
    }
}

impl RunningText {
    /// Waits until `count` tokens have come.
    pub async fn reach(&mut self, count: usize) {
        while self.text.len() < count {
            let token = actix_rt::time::timeout(PATIENCE, self.tokens.recv());
            let token = token.await.expect("a token in time").expect("a token");
            self.text.push(u64::from(token));
        }
    }

    /// Waits for the end; the text must be that of an undisturbed run.
    pub async fn finish(&mut self) {
        let end = self.end().await;
        assert!(end.is_ok(), "{end:?} after {} tokens", self.text.len());
        assert_eq!(self.text, self.reference());
    }

    /// Waits for the end, whatever it is.
    pub async fn end(&mut self) -> Result<(), RouteError> {
        let end = actix_rt::time::timeout(PATIENCE, &mut self.end);
        let end = end.await.expect("an end in time").expect("no panic");
        while let Ok(token) = self.tokens.try_recv() {
            self.text.push(u64::from(token));
        }
        end
    }

    /// The caller goes away.
    pub fn leave(&mut self) {
        self.tokens.close();
    }

    pub fn reference(&self) -> Vec<u64> {
        let prompt: Vec<u64> = PROMPT.iter().map(|token| u64::from(*token)).collect();
        reference_answer(MODEL, LAYERS, &prompt, self.max_tokens)
    }
}
