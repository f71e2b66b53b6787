//! Selects the chain of engines for one request.

use dandeliondeal_layout::{ChainQuery, EngineChain, EngineProfile};
use dandeliondeal_types::{Clock, EndpointId};
use rand::Rng;

use crate::dialect::CallerFacts;
use crate::endpoint_backoff::backed_off_endpoints;
use crate::move_order::move_factor;
use crate::relay_context::RelayContext;

/// Seconds that each change of failure domain adds per token, in either direction.
const CROSSING_SECONDS_PER_TOKEN: f64 = 0.000_75;
/// Number of requests that one engine runs at the same time without a large slowdown.
const MAX_RUNNING_REQUESTS: f64 = 110.0;
/// Maximum share of an engine's memory that may be committed to requests.
///
/// Requests rarely reach their full size at the same time: with all memory committed, a quarter of
/// it is still free.
const MAX_COMMITTED_SHARE: f64 = 1.1;
/// Maximum committed share when a running request replaces a failed engine.
///
/// It is higher because the request has already waited, and its memory at the failed engine is
/// released.
const MAX_COMMITTED_SHARE_ON_MOVE: f64 = 1.25;
/// Factor on the caller's estimate of the output length, which is often too low.
///
/// The estimate is about right at the median, but actual lengths vary widely.
const OUTPUT_HINT_FACTOR: f64 = 1.2;
/// Range of the random factor on each engine's times, drawn at each chain selection.
///
/// The known load of other instances is about 300 ms old, and a tenth of the running requests
/// change in that time, so requests are spread over several engines.
const ENGINE_TIME_FACTORS: std::ops::Range<f64> = 0.6..1.4;

/// Utilisation of the links between failure domains that the moves after a loss are expected to add.
const MOVE_LINK_LOAD: f64 = 0.3;
/// Utilisation up to which it is added; above 0.4 no request crosses domains at all.
const MAX_MOVE_LINK_LOAD: f64 = 0.35;

/// Resources that one request needs from a chain.
#[derive(Clone, Copy, Debug)]
pub struct ChainDemand {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub output_tokens: f64,
}

impl ChainDemand {
    /// Estimates the demand of a request on engines with the given profile.
    pub fn new(facts: &CallerFacts, profile: &EngineProfile) -> Self {
        let output_limit = f64::from(facts.max_output_tokens.max(1));
        let typical_output = f64::from(profile.mean_output_tokens);
        let hinted_output = facts
            .output_tokens_hint
            .map(|tokens| f64::from(tokens) * OUTPUT_HINT_FACTOR);
        Self {
            prompt_tokens: facts.prompt_tokens,
            output_tokens: hinted_output.unwrap_or(typical_output).min(output_limit),
        }
    }

    /// Returns the total number of tokens that the request will use.
    pub fn tokens(&self) -> f64 {
        f64::from(self.prompt_tokens) + self.output_tokens
    }
}

/// Restrictions on the engines of a chain.
#[derive(Clone, Copy, Debug)]
pub struct ChainConstraints<'request> {
    /// Chain that runs the request now. Its first engine stays, and its other usable engines are
    /// preferred.
    pub current_chain: Option<&'request EngineChain>,
    /// Engines that the chain must not use.
    pub excluded: &'request [EndpointId],
    /// Key by which a move is spread over the engines with room; `None` for a random choice.
    pub spread_key: Option<&'request str>,
}

/// Returns the utilisation of the links between failure domains that a search counts with.
///
/// After a loss all instances move streams within tens of milliseconds. Each prompt that is sent to
/// another domain takes tens of milliseconds of a shared link, and the tokens of all streams that
/// cross it wait behind them.
fn expected_link_load(current: f64, is_move: bool) -> f64 {
    if is_move {
        current.max((current + MOVE_LINK_LOAD).min(MAX_MOVE_LINK_LOAD))
    } else {
        current
    }
}

/// Selects the cheapest chain for a new request, or for one that moves to another chain.
pub fn select_chain<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &str,
    profile: &EngineProfile,
    demand: ChainDemand,
    constraints: ChainConstraints<'_>,
) -> Option<EngineChain>
where
    Time: Clock,
{
    let now = context.now();
    let fleet = context.fleet().borrow();
    let instance_count = context.instance_count();
    let tracker = context.tracker();
    let probe_draw = context.with_rng(Rng::random::<f64>);
    let current_hops = constraints
        .current_chain
        .map(|chain| &*chain.hops)
        .unwrap_or_default();
    let current_engines: Vec<EndpointId> = current_hops
        .iter()
        .map(|hop| EndpointId::clone(&hop.id))
        .collect();
    let first_engine = current_engines.first().cloned();
    let mut excluded = constraints.excluded.to_vec();
    let failing = context
        .first_engines()
        .failing_engines(probe_draw, now)
        .into_iter();
    excluded.extend(failing.filter(|engine| first_engine.as_ref() != Some(engine)));
    if first_engine.is_none() {
        excluded.extend(context.rates().borrow().full_endpoints(now));
    }
    // Engines of the current chain go on with the request.
    let backed_off = backed_off_endpoints(context).into_iter();
    excluded.extend(backed_off.filter(|engine| !current_engines.contains(engine)));
    let mut graph = fleet.chain_graph(service, profile, tracker, instance_count, &excluded, now);
    if let Some(key) = constraints.spread_key {
        graph.scale_each(|node| {
            move_factor(key, &node.id, node.committed_tokens, node.token_capacity)
        });
    } else {
        context.with_rng(|random| graph.scale_costs(|| random.random_range(ENGINE_TIME_FACTORS)));
    }
    let crossing_seconds = profile.crossing_time(demand.prompt_tokens).as_secs_f64();
    let link_load = tracker.link_utilisation(tracker.fleet_ratio(instance_count, now), now);
    let query = ChainQuery {
        required_first: first_engine,
        reused_engines: current_engines,
        keeps_crossings: constraints.spread_key.is_some(),
        prompt_tokens: f64::from(demand.prompt_tokens),
        output_tokens: demand.output_tokens,
        prompt_crossing_seconds: crossing_seconds,
        link_utilisation: expected_link_load(link_load, constraints.spread_key.is_some()),
        token_crossing_seconds: CROSSING_SECONDS_PER_TOKEN,
        max_running_requests: MAX_RUNNING_REQUESTS,
        max_memory_fill: if constraints.current_chain.is_some() {
            MAX_COMMITTED_SHARE_ON_MOVE
        } else {
            MAX_COMMITTED_SHARE
        },
    };
    let chain = graph.find(&query)?;
    // The prompt crosses failure domains only on the way forward, not back.
    let forward_crossings = f64::from(chain.crossings.div_ceil(2));
    tracker.record_crossing(crossing_seconds * forward_crossings, now);
    Some(chain)
}
