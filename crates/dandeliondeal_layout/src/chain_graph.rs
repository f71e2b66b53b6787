//! The cheapest chain of engines for one request.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use dandeliondeal_types::{EndpointId, FailureDomain, LayerRange};

/// An engine that holds layers, with its times and its load.
#[derive(Clone, Debug)]
pub struct EngineNode {
    /// The engine.
    pub id: EndpointId,
    /// Where it serves.
    pub address: SocketAddr,
    /// Failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// The layers it holds.
    pub range: LayerRange,
    /// Seconds of one token step through its layers.
    pub step: f64,
    /// Seconds to read one prompt token through its layers.
    pub read: f64,
    /// Tokens for which it has memory.
    pub room: f64,
    /// Tokens that running requests will have taken by their end, as far as is known.
    pub committed: f64,
    /// Requests that run through it, as far as is known.
    pub running: f64,
    /// Factor on its times: 1 for an engine in good order.
    pub slowness: f64,
}

/// What a chain is asked for.
#[derive(Clone, Debug, Default)]
pub struct ChainQuery {
    /// The first engine, where a running request has to keep it.
    pub first: Option<EndpointId>,
    /// Engines that hold the request's memory already and read nothing again.
    pub kept: Vec<EndpointId>,
    /// Tokens to read.
    pub prompt: f64,
    /// Tokens to write.
    pub answer: f64,
    /// Seconds that sending the prompt to another failure domain takes.
    pub crossing: f64,
    /// Share of the links between failure domains that is taken, from 0 to 1.
    pub crossing_load: f64,
    /// Seconds that each token takes longer for each change of failure domain.
    pub crossing_step: f64,
    /// Requests that one engine runs at once without getting much slower.
    pub run_limit: f64,
    /// Share of an engine's memory that may be committed, from 0 to 1.
    pub fill_limit: f64,
}

/// One engine of a chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChainHop {
    /// The engine.
    pub id: EndpointId,
    /// Where it serves.
    pub address: SocketAddr,
    /// The layers it runs.
    pub range: LayerRange,
}

/// Engines that together run every layer once and in order.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChain {
    /// The engines in the order of their layers.
    pub hops: Vec<ChainHop>,
    /// Seconds until the first token and for each further one, weighed by load.
    pub cost: f64,
    /// Changes of failure domain on the way and back.
    pub crossings: u32,
}

impl EngineChain {
    /// Whether an engine is part of the chain.
    pub fn passes(&self, engine: &str) -> bool {
        self.hops.iter().any(|hop| *hop.id == *engine)
    }
}

/// Room that is left above a full engine in the weight of its load; keeps the weight finite.
const FULL_MARGIN: f64 = 1.1;
/// Share of the links above which no further request crosses: transfers pass one after another,
/// so that each further one delays all.
const CROSSING_LIMIT: f64 = 0.4;
/// Fewest prompt and answer tokens in a cost, so that tiny requests still avoid loaded engines.
const LEAST_TOKENS: f64 = 16.0;

/// The engines that hold layers, by the first layer of their range.
#[derive(Debug, Default)]
pub struct ChainGraph {
    nodes: Vec<EngineNode>,
    by_start: BTreeMap<u32, Vec<usize>>,
    layers: u32,
}

#[derive(Clone, Copy)]
struct PathEnd {
    cost: f64,
    crossings: u32,
    before: Option<usize>,
}

impl ChainGraph {
    /// Arranges the engines of a model of `layers` layers.
    pub fn new(layers: u32, nodes: Vec<EngineNode>) -> Self {
        let mut by_start: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for (index, node) in nodes.iter().enumerate() {
            if !node.range.is_empty() && node.range.end <= layers {
                by_start.entry(node.range.start).or_default().push(index);
            }
        }
        Self {
            nodes,
            by_start,
            layers,
        }
    }

    /// Multiplies each engine's times by a factor, such as a random one.
    ///
    /// Instances that know the same load would all choose the same chain until they hear of one
    /// another's choices; factors drawn for each request spread them.
    pub fn spread<Draw>(&mut self, mut draw: Draw)
    where
        Draw: FnMut() -> f64,
    {
        for node in &mut self.nodes {
            node.slowness *= draw();
        }
    }

    /// The engines.
    pub fn nodes(&self) -> &[EngineNode] {
        &self.nodes
    }

    /// The cheapest chain of engines with room for the request; `None` if there is none.
    pub fn find(&self, query: &ChainQuery) -> Option<EngineChain> {
        let starts = self.by_start.get(&0)?;
        let mut domains: Vec<&str> = starts
            .iter()
            .map(|index| &*self.nodes[*index].failure_domain)
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let chains = domains
            .into_iter()
            .filter_map(|domain| self.find_from(domain, query));
        chains.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    /// Whether the engines form any chain at all, whatever their load.
    pub fn is_complete(&self) -> bool {
        let mut reached = std::collections::BTreeSet::from([0]);
        while let Some(at) = reached.pop_first() {
            if at == self.layers {
                return true;
            }
            for index in self.by_start.get(&at).into_iter().flatten() {
                reached.insert(self.nodes[*index].range.end);
            }
        }
        false
    }

    /// The cheapest chain whose first engine is in `domain`; tokens return to the first engine.
    fn find_from(&self, domain: &str, query: &ChainQuery) -> Option<EngineChain> {
        let mut ends: HashMap<usize, PathEnd> = HashMap::new();
        let mut arrivals: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for (start, indices) in &self.by_start {
            for index in indices {
                let node = &self.nodes[*index];
                let Some(weight) = node_cost(node, query) else {
                    continue;
                };
                let entry = if *start == 0 {
                    let is_allowed = query.first.as_ref().is_none_or(|first| *first == node.id);
                    (is_allowed && *node.failure_domain == *domain).then_some(PathEnd {
                        cost: 0.0,
                        crossings: 0,
                        before: None,
                    })
                } else {
                    self.best_before(arrivals.get(start), node, &ends, query)
                };
                if let Some(entry) = entry {
                    let end = PathEnd {
                        cost: entry.cost + weight,
                        ..entry
                    };
                    ends.insert(*index, end);
                    arrivals.entry(node.range.end).or_default().push(*index);
                }
            }
        }
        let last = arrivals.get(&self.layers)?;
        let finish = |index: &usize| {
            let end = ends.get(index)?;
            let is_away = *self.nodes[*index].failure_domain != *domain;
            // Only tokens return, not the prompt.
            let back = if is_away {
                query.answer * (query.crossing_step + query.crossing * query.crossing_load)
            } else {
                0.0
            };
            Some((end.cost + back, end.crossings + u32::from(is_away), *index))
        };
        let (cost, crossings, index) = last
            .iter()
            .filter_map(finish)
            .min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(EngineChain {
            hops: self.hops_to(index, &ends),
            cost,
            crossings,
        })
    }

    fn best_before(
        &self,
        before: Option<&Vec<usize>>,
        node: &EngineNode,
        ends: &HashMap<usize, PathEnd>,
        query: &ChainQuery,
    ) -> Option<PathEnd> {
        let entries = before?.iter().filter_map(|index| {
            let end = ends.get(index)?;
            let is_crossing = self.nodes[*index].failure_domain != node.failure_domain;
            if is_crossing && query.crossing_load > CROSSING_LIMIT {
                return None;
            }
            let crossing = if is_crossing {
                // Each token waits behind the prompts that are on the link.
                let wait = query.crossing * query.crossing_load;
                query.crossing + wait + query.answer * (query.crossing_step + wait)
            } else {
                0.0
            };
            Some(PathEnd {
                cost: end.cost + crossing,
                crossings: end.crossings + u32::from(is_crossing),
                before: Some(*index),
            })
        });
        entries.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    fn hops_to(&self, last: usize, ends: &HashMap<usize, PathEnd>) -> Vec<ChainHop> {
        let mut hops = Vec::new();
        let mut next = Some(last);
        while let Some(index) = next {
            let node = &self.nodes[index];
            hops.push(ChainHop {
                id: EndpointId::clone(&node.id),
                address: node.address,
                range: node.range,
            });
            next = ends.get(&index).and_then(|end| end.before);
        }
        hops.reverse();
        hops
    }
}

/// Seconds that the request spends in an engine, weighed by its load; `None` without room.
fn node_cost(node: &EngineNode, query: &ChainQuery) -> Option<f64> {
    if query.kept.contains(&node.id) {
        return Some(0.0);
    }
    let tokens = query.prompt + query.answer;
    let fill = (node.committed + tokens) / node.room.max(1.0);
    if fill > query.fill_limit {
        return None;
    }
    let crowd = node.running / query.run_limit.max(1.0);
    let load = fill.max(crowd).min(1.0);
    let time =
        node.read * query.prompt.max(LEAST_TOKENS) + node.step * query.answer.max(LEAST_TOKENS);
    Some(time * node.slowness / (FULL_MARGIN - load))
}
