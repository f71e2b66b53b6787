//! Selects the chain of engines for one request.

use dandeliondeal_layout::{ChainQuery, EngineChain, EngineProfile};
use dandeliondeal_types::{Clock, EndpointId};
use rand::Rng;

use crate::dialect::CallerFacts;
use crate::relay_context::RelayContext;

/// Seconds that each change of failure domain adds per token, in either direction.
const CROSSING_STEP: f64 = 0.000_75;
/// Number of requests that one engine runs at the same time without a large slowdown.
const RUN_LIMIT: f64 = 110.0;
/// Maximum share of an engine's memory that may be committed to requests.
///
/// Requests rarely reach their full size at the same time: with all memory committed, a quarter of
/// it is still free.
const FILL_LIMIT: f64 = 1.1;
/// Maximum committed share when a running request replaces a failed engine.
///
/// It is higher because the request has already waited, and its memory at the failed engine is
/// released.
const MOVE_FILL_LIMIT: f64 = 1.25;
/// Factor on the caller's estimate of the output length, which is often too low.
///
/// The estimate is about right at the median, but actual lengths vary widely.
const HINT_FACTOR: f64 = 1.2;
/// Range of the random factor on each engine's times, drawn anew for each request.
///
/// The known load of other instances is about 300 ms old, and a tenth of the running requests
/// change in that time, so requests are spread over several engines.
const SPREAD: std::ops::Range<f64> = 0.6..1.4;

/// Resources that one request needs from a chain.
#[derive(Clone, Copy, Debug)]
pub struct ChainDemand {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Expected number of output tokens.
    pub answer: f64,
}

impl ChainDemand {
    /// Estimates the demand of a request on engines with the given profile.
    pub fn new(facts: &CallerFacts, profile: &EngineProfile) -> Self {
        let limit = f64::from(facts.answer_limit.max(1));
        let usual = f64::from(profile.usual_answer);
        let hint = facts.answer_hint.map(|hint| f64::from(hint) * HINT_FACTOR);
        Self {
            prompt: facts.prompt_tokens,
            answer: hint.unwrap_or(usual).min(limit),
        }
    }

    /// Returns the total number of tokens that the request will use.
    pub fn tokens(&self) -> f64 {
        f64::from(self.prompt) + self.answer
    }
}

/// Restrictions on the engines of a chain.
#[derive(Clone, Copy, Debug)]
pub struct ChainLimits<'request> {
    /// Chain that runs the request now. Its first engine stays, and its other usable engines are
    /// preferred.
    pub moved: Option<&'request EngineChain>,
    /// Engines that the chain must not use.
    pub avoided: &'request [EndpointId],
}

/// Selects the cheapest chain for a new request, or for one that moves to another chain.
pub fn choose_chain<Time, Dialect>(
    context: &RelayContext<Time, Dialect>,
    service: &str,
    profile: &EngineProfile,
    demand: ChainDemand,
    limits: ChainLimits<'_>,
) -> Option<EngineChain>
where
    Time: Clock,
{
    let now = context.now();
    let fleet = context.fleet().borrow();
    let instances = context.instances();
    let tracker = context.load_tracker();
    let draw = context.random(Rng::random::<f64>);
    let kept = limits.moved.map(|chain| &*chain.hops).unwrap_or_default();
    let kept: Vec<EndpointId> = kept.iter().map(|hop| EndpointId::clone(&hop.id)).collect();
    let first = kept.first().cloned();
    let mut avoided = limits.avoided.to_vec();
    let failing = context
        .first_engine_health()
        .failing_engines(draw, now)
        .into_iter();
    avoided.extend(failing.filter(|engine| first.as_ref() != Some(engine)));
    let mut graph = fleet.chain_graph(service, profile, tracker, instances, &avoided, now);
    context.random(|random| graph.spread(|| random.random_range(SPREAD)));
    let crossing = profile.crossing_time(demand.prompt).as_secs_f64();
    let query = ChainQuery {
        first,
        kept,
        prompt: f64::from(demand.prompt),
        answer: demand.answer,
        crossing,
        crossing_load: tracker.crossing_load(tracker.fleet_ratio(instances, now), now),
        crossing_step: CROSSING_STEP,
        run_limit: RUN_LIMIT,
        fill_limit: if limits.moved.is_some() {
            MOVE_FILL_LIMIT
        } else {
            FILL_LIMIT
        },
    };
    let chain = graph.find(&query)?;
    // The prompt crosses failure domains only on the way forward, not back.
    let crossings = f64::from(chain.crossings.div_ceil(2));
    tracker.record_crossing(crossing * crossings, now);
    Some(chain)
}
