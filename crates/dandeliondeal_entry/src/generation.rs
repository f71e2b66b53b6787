//! Runs one generation: the session core between engines, planning and the caller.

use std::sync::Arc;
use std::time::Instant;

use dandeliondeal_pipeline::{
    PlanChain, PlanQuery, SessionCount, SessionMachine, SessionSettings, SessionSpec,
};
use dandeliondeal_types::{
    Clock, EndpointId, EndpointView, EngineClient, ErrorKind, FailureDomain, LayerRange, ModelId,
    RequestId, RequestStep, RouteError, Token,
};
use tokio::sync::mpsc::UnboundedSender;

use crate::engine_use::EngineUse;
use crate::entry_metrics::EntryMetrics;
use crate::log_budget::LogBudget;
use crate::planning_view::PlanningView;
use crate::route_table::RouteTable;
use crate::session_driver::{ChainSource, SessionDriver};
use crate::session_recorder::SessionRecorder;
use crate::shared_monitor::SharedMonitor;

/// What to generate.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// The request.
    pub id: RequestId,
    /// Model to run.
    pub model: ModelId,
    /// Failure domains that stages may use; empty means all.
    pub domains: Vec<FailureDomain>,
    /// Tokens of the prompt.
    pub prompt: Arc<[Token]>,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Priority, 0 the lowest.
    pub priority: u8,
    /// Whether the caller's leaving ends it.
    pub repeatable: bool,
    /// When the wait is over.
    pub deadline: Instant,
}

/// What a generation runs with.
#[derive(Clone, Debug)]
pub struct GenerationSite<Engine, ClockSource> {
    /// The engines.
    pub engine: Engine,
    /// The clock.
    pub clock: ClockSource,
    /// The route table that the request keeps.
    pub table: Arc<RouteTable>,
    /// Sessions at the engines.
    pub engines: EngineUse,
    /// Health and load of the engines.
    pub monitor: SharedMonitor<ClockSource>,
    /// Memory for logged inputs.
    pub budget: LogBudget,
    /// Bounds of a session.
    pub settings: SessionSettings,
    /// Failure domain of this instance.
    pub home: FailureDomain,
    /// The metrics.
    pub metrics: EntryMetrics,
}

/// Plans chains for one request.
#[derive(Debug)]
struct RequestChains<'site, Engine, ClockSource> {
    site: &'site GenerationSite<Engine, ClockSource>,
    request: &'site GenerationRequest,
}

impl<Engine, ClockSource> ChainSource for RequestChains<'_, Engine, ClockSource>
where
    Engine: std::fmt::Debug,
    ClockSource: Clock,
{
    fn plan(&self, range: LayerRange, avoid: &[EndpointId]) -> Option<PlanChain> {
        let site = self.site;
        let query = PlanQuery {
            model: &self.request.model,
            range,
            domains: &self.request.domains,
            home: &site.home,
            avoid,
            spread: spread(&self.request.id),
        };
        let start = site.clock.now();
        let plans = &site.table.plans;
        let chain = site.monitor.with_view(self.request.repeatable, |monitor| {
            plans.plan(&query, &PlanningView::new(&site.engines, monitor))
        });
        // The few engines that were sampled may all be among those to avoid.
        let chain = chain.or_else(|| {
            site.monitor
                .with_whole_view(self.request.repeatable, |monitor| {
                    plans.plan(&query, &PlanningView::new(&site.engines, monitor))
                })
        });
        let time = site.clock.now().duration_since(start);
        site.metrics.part(RequestStep::Planning, time);
        chain
    }

    fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        !self.site.engines.is_usable(endpoint)
    }
}

/// Generates the answer and sends its tokens in order.
///
/// # Errors
///
/// Why the request was given up, with its outcome; the caller's leaving is one of the reasons.
pub async fn generate<Engine, ClockSource>(
    site: &GenerationSite<Engine, ClockSource>,
    request: &GenerationRequest,
    tokens: &UnboundedSender<Token>,
) -> Result<(), RouteError>
where
    Engine: EngineClient,
    ClockSource: Clock,
{
    let spec = session_spec(site, request);
    let recorder = SessionRecorder::start(&spec, &site.settings, site.clock.now());
    let machine = SessionMachine::new(spec, site.settings.clone()).map_err(|error| {
        RouteError::new(
            ErrorKind::Overloaded,
            RequestStep::Planning,
            error.to_string(),
        )
    })?;
    let mut driver = SessionDriver {
        engine: site.engine.clone(),
        chains: RequestChains { site, request },
        clock: site.clock.clone(),
        machine,
        request: Arc::clone(&request.id),
        deadline: request.deadline,
        hold: site.engines.hold(),
        share: site.budget.share(),
        recorder,
    };
    let end = driver.run(tokens).await;
    record(&site.metrics, &driver.machine.count());
    end
}

fn session_spec<Engine, ClockSource>(
    site: &GenerationSite<Engine, ClockSource>,
    request: &GenerationRequest,
) -> SessionSpec {
    let model = site.table.sheet.models.get(&request.model);
    SessionSpec {
        request: Arc::clone(&request.id),
        model: Arc::clone(&request.model),
        layers: model.map_or(0, |entry| entry.layers),
        prompt: Arc::clone(&request.prompt),
        max_tokens: usize::try_from(request.max_tokens).unwrap_or(usize::MAX),
        end_token: None,
        priority: request.priority,
        repeatable: request.repeatable,
    }
}

/// Chooses among chains of equal cost.
fn spread(id: &RequestId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

fn record(metrics: &EntryMetrics, count: &SessionCount) {
    let ways = [
        ("resume", count.resumed),
        ("import", count.imported),
        ("feed", count.fed),
        ("rerun", count.rerun),
        ("restart", count.restarted),
    ];
    for (way, number) in ways {
        metrics.recovered(way, number);
    }
    let reasons = [
        ("crossed", count.crossed),
        ("stale", count.stale),
        ("bad", count.bad),
    ];
    for (reason, number) in reasons {
        metrics.dropped(reason, number);
    }
}
