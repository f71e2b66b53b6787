//! Runs one generation: connects the session state machine to engines, planning and the caller.

use std::sync::Arc;
use std::time::Instant;

use dandeliondeal_pipeline::{
    PlanChain, PlanQuery, SessionCounters, SessionMachine, SessionSettings, SessionSpec,
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

/// Input and constraints of one generation.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Model to run.
    pub model: ModelId,
    /// Failure domains that stages may use; empty allows all.
    pub failure_domains: Vec<FailureDomain>,
    /// Tokens of the prompt.
    pub prompt: Arc<[Token]>,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Priority; 0 is the lowest.
    pub priority: u8,
    /// Whether the request may run more than once; if so, it ends when the caller disconnects.
    pub repeatable: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Shared state that a generation uses.
#[derive(Clone, Debug)]
pub struct GenerationContext<Engine, ClockSource> {
    /// Client for the engines.
    pub engine: Engine,
    /// Clock.
    pub clock: ClockSource,
    /// Route table that the request uses until its end.
    pub table: Arc<RouteTable>,
    /// Session counts of this instance at the engines.
    pub engine_use: EngineUse,
    /// Monitor of engine health and load.
    pub monitor: SharedMonitor<ClockSource>,
    /// Memory budget for logged inputs.
    pub log_budget: LogBudget,
    /// Limits and timeouts of a session.
    pub settings: SessionSettings,
    /// Failure domain of this instance.
    pub instance_domain: FailureDomain,
    /// Metrics of the instance.
    pub metrics: EntryMetrics,
}

/// Plans chains for one request.
#[derive(Debug)]
struct RequestPlanner<'context, Engine, ClockSource> {
    context: &'context GenerationContext<Engine, ClockSource>,
    request: &'context GenerationRequest,
}

impl<Engine, ClockSource> ChainSource for RequestPlanner<'_, Engine, ClockSource>
where
    Engine: std::fmt::Debug,
    ClockSource: Clock,
{
    fn plan(&self, range: LayerRange, avoid: &[EndpointId]) -> Option<PlanChain> {
        let context = self.context;
        let query = PlanQuery {
            model: &self.request.model,
            range,
            failure_domains: &self.request.failure_domains,
            instance_domain: &context.instance_domain,
            avoid,
            tie_breaker: tie_breaker_hash(&self.request.id),
        };
        let start = context.clock.now();
        let plans = &context.table.plans;
        let chain = context
            .monitor
            .with_view(self.request.repeatable, |monitor| {
                plans.plan(&query, &PlanningView::new(&context.engine_use, monitor))
            });
        // All of the few sampled engines may be among those to avoid.
        let chain = chain.or_else(|| {
            context
                .monitor
                .with_full_view(self.request.repeatable, |monitor| {
                    plans.plan(&query, &PlanningView::new(&context.engine_use, monitor))
                })
        });
        let time = context.clock.now().duration_since(start);
        context.metrics.observe_part(RequestStep::Planning, time);
        chain
    }

    fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        !self.context.engine_use.is_usable(endpoint)
    }
}

/// Generates the answer and sends its tokens in order.
///
/// # Errors
///
/// Returns the reason why the request was abandoned, with its outcome. One such reason is that the
/// caller disconnected.
pub async fn generate<Engine, ClockSource>(
    context: &GenerationContext<Engine, ClockSource>,
    request: &GenerationRequest,
    tokens: &UnboundedSender<Token>,
) -> Result<(), RouteError>
where
    Engine: EngineClient,
    ClockSource: Clock,
{
    let spec = session_spec(context, request);
    let recorder = SessionRecorder::start(&spec, &context.settings, context.clock.now());
    let machine = SessionMachine::new(spec, context.settings.clone()).map_err(|error| {
        RouteError::new(
            ErrorKind::Overloaded,
            RequestStep::Planning,
            error.to_string(),
        )
    })?;
    let mut driver = SessionDriver {
        engine: context.engine.clone(),
        chains: RequestPlanner { context, request },
        clock: context.clock.clone(),
        machine,
        request: Arc::clone(&request.id),
        deadline: request.deadline,
        engine_use: context.engine_use.new_guard(),
        log_share: context.log_budget.new_share(),
        recorder,
    };
    let result = driver.run(tokens).await;
    record_counters(&context.metrics, &driver.machine.counters());
    result
}

fn session_spec<Engine, ClockSource>(
    context: &GenerationContext<Engine, ClockSource>,
    request: &GenerationRequest,
) -> SessionSpec {
    let model = context.table.sheet.models.get(&request.model);
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

/// Returns a hash that selects among chains of equal cost.
fn tie_breaker_hash(id: &RequestId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

fn record_counters(metrics: &EntryMetrics, counters: &SessionCounters) {
    let ways = [
        ("resume", counters.resumed),
        ("import", counters.imported),
        ("feed", counters.replayed),
        ("rerun", counters.rerun),
        ("restart", counters.restarted),
    ];
    for (way, count) in ways {
        metrics.count_recoveries(way, count);
    }
    let reasons = [
        ("crossed", counters.other_request),
        ("stale", counters.stale),
        ("bad", counters.invalid),
    ];
    for (reason, count) in reasons {
        metrics.count_dropped(reason, count);
    }
}
