//! Chooses the chain for one request.

use dandeliondeal_layout::{ChainQuery, EngineChain, EngineProfile};
use dandeliondeal_types::{Clock, EndpointId};
use rand::Rng;

use crate::dialect::CallerFacts;
use crate::relay_context::RelayContext;

/// Seconds that a change of failure domain adds to each token, on the way and back.
const CROSSING_STEP: f64 = 0.000_75;
/// Requests that one engine runs at once without getting much slower.
const RUN_LIMIT: f64 = 110.0;
/// Share of an engine's memory that may be committed. Requests rarely reach their full size all
/// at once, so that commitments of all of the memory leave a quarter of it free.
const FILL_LIMIT: f64 = 1.1;
/// The same for a request that runs and has lost an engine: it has waited already, and its memory
/// at the engine that is lost comes free.
const MOVE_FILL_LIMIT: f64 = 1.25;
/// Answers are about as long as callers estimate in the middle, and often longer.
const HINT_FACTOR: f64 = 1.2;
/// Factors on the times of engines, drawn for each request. What is known of the load of others is
/// some 300 ms old, in which a tenth of the running requests change.
const SPREAD: std::ops::Range<f64> = 0.6..1.4;

/// What one request asks of a chain.
#[derive(Clone, Copy, Debug)]
pub struct ChainDemand {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer, as far as they can be told.
    pub answer: f64,
}

impl ChainDemand {
    /// The demand of a request at engines of a profile.
    pub fn new(facts: &CallerFacts, profile: &EngineProfile) -> Self {
        let limit = f64::from(facts.answer_limit.max(1));
        let usual = f64::from(profile.usual_answer);
        let hint = facts.answer_hint.map(|hint| f64::from(hint) * HINT_FACTOR);
        Self {
            prompt: facts.prompt_tokens,
            answer: hint.unwrap_or(usual).min(limit),
        }
    }

    /// Tokens that the request will have taken by its end.
    pub fn tokens(&self) -> f64 {
        f64::from(self.prompt) + self.answer
    }
}

/// Which engines a chain may have.
#[derive(Clone, Copy, Debug)]
pub struct ChainLimits<'request> {
    /// The chain that runs the request now, whose first engine and sound others are kept.
    pub moved: Option<&'request EngineChain>,
    /// Engines that are left out.
    pub avoided: &'request [EndpointId],
}

/// The cheapest chain for a request, or for one that is moved off its chain.
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
    let book = context.book();
    let draw = context.random(Rng::random::<f64>);
    let kept = limits.moved.map(|chain| &*chain.hops).unwrap_or_default();
    let kept: Vec<EndpointId> = kept.iter().map(|hop| EndpointId::clone(&hop.id)).collect();
    let first = kept.first().cloned();
    let mut avoided = limits.avoided.to_vec();
    let failing = context.firsts().failing(draw, now).into_iter();
    avoided.extend(failing.filter(|engine| first.as_ref() != Some(engine)));
    let mut graph = fleet.graph(service, profile, book, instances, &avoided, now);
    context.random(|random| graph.spread(|| random.random_range(SPREAD)));
    let crossing = profile.crossing_time(demand.prompt).as_secs_f64();
    let query = ChainQuery {
        first,
        kept,
        prompt: f64::from(demand.prompt),
        answer: demand.answer,
        crossing,
        crossing_load: book.crossing_load(book.scale(instances, now), now),
        crossing_step: CROSSING_STEP,
        run_limit: RUN_LIMIT,
        fill_limit: if limits.moved.is_some() {
            MOVE_FILL_LIMIT
        } else {
            FILL_LIMIT
        },
    };
    let chain = graph.find(&query)?;
    // The prompt crosses on the way, not back.
    let crossings = f64::from(chain.crossings.div_ceil(2));
    book.cross(crossing * crossings, now);
    Some(chain)
}
