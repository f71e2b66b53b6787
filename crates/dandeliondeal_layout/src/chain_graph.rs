//! Finds the cheapest chain of engines for one request.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use dandeliondeal_types::{EndpointId, FailureDomain, LayerRange};

/// An engine that holds layers, with its speed and its load.
#[derive(Clone, Debug)]
pub struct EngineNode {
    /// Endpoint id of the engine.
    pub id: EndpointId,
    /// Address on which the engine serves.
    pub address: SocketAddr,
    /// Failure domain of the engine.
    pub failure_domain: FailureDomain,
    /// The layers that the engine holds.
    pub range: LayerRange,
    /// Seconds for one decode step through its layers.
    pub step_seconds: f64,
    /// Seconds to process one prompt token through its layers.
    pub prompt_token_seconds: f64,
    /// Number of tokens whose KV cache fits in its memory.
    pub token_capacity: f64,
    /// Tokens that running requests will occupy by the time they finish, as far as this instance
    /// knows.
    pub committed_tokens: f64,
    /// Number of requests running on the engine, as far as this instance knows.
    pub running_requests: f64,
    /// Multiplier on its durations; 1 for an engine that runs at full speed.
    pub slowness: f64,
}

/// The requirements of one request for a chain.
#[derive(Clone, Debug, Default)]
pub struct ChainQuery {
    /// Engine that has to come first, if a running request is bound to it.
    pub required_first: Option<EndpointId>,
    /// Engines that already hold the request's KV cache and do not process the prompt again.
    pub reused_engines: Vec<EndpointId>,
    /// Whether a change of failure domain between two reused engines costs nothing.
    pub keeps_crossings: bool,
    /// Number of prompt tokens to process.
    pub prompt_tokens: f64,
    /// Number of output tokens to generate.
    pub output_tokens: f64,
    /// Seconds to send the prompt to another failure domain.
    pub prompt_crossing_seconds: f64,
    /// Utilisation of the links between failure domains, from 0 to 1.
    pub link_utilisation: f64,
    /// Seconds that each change of failure domain adds to each token.
    pub token_crossing_seconds: f64,
    /// Number of requests that one engine can run at once without a significant slowdown.
    pub max_running_requests: f64,
    /// Maximum fraction of an engine's memory that may be committed; may exceed 1.
    pub max_memory_fill: f64,
}

/// One engine of a chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChainHop {
    /// Endpoint id of the engine.
    pub id: EndpointId,
    /// Address on which the engine serves.
    pub address: SocketAddr,
    /// The layers that the engine runs.
    pub range: LayerRange,
}

/// A sequence of engines that together run every layer once and in order.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChain {
    /// The engines, in the order of their layers.
    pub hops: Vec<ChainHop>,
    /// Load-weighted duration of the whole request: prompt, answer and link crossings, in seconds.
    pub cost: f64,
    /// Number of changes of failure domain along the chain, including the return to the first
    /// engine.
    pub crossings: u32,
}

impl EngineChain {
    /// Returns whether an engine is part of the chain.
    pub fn contains_engine(&self, engine: &str) -> bool {
        self.hops.iter().any(|hop| *hop.id == *engine)
    }
}

/// Load at which the cost of an engine would become infinite. It lies above 1 so that a fully
/// loaded engine still has a finite cost.
const INFINITE_COST_LOAD: f64 = 1.1;
/// Link utilisation above which no further request crosses between failure domains. Transfers are
/// sent one after another, so each further one delays all others.
pub(crate) const MAX_LINK_UTILISATION: f64 = 0.4;
/// Minimum number of prompt and of output tokens in a cost, so that tiny requests still avoid
/// loaded engines.
const MIN_COST_TOKENS: f64 = 16.0;

/// Graph of the engines that hold layers, indexed by the first layer of their range.
#[derive(Debug, Default)]
pub struct ChainGraph {
    nodes: Vec<EngineNode>,
    /// Indices into `nodes` by the first layer of the node's range.
    nodes_by_start: BTreeMap<u32, Vec<usize>>,
    layers: u32,
}

/// The cheapest partial chain that ends at one engine.
#[derive(Clone, Copy)]
struct PathEnd {
    cost: f64,
    crossings: u32,
    /// Index of the previous engine.
    previous: Option<usize>,
}

impl ChainGraph {
    /// Builds the graph of the engines that run a model of `layers` layers.
    ///
    /// Engines whose range is empty or extends beyond the model take no part in chains.
    pub fn new(layers: u32, nodes: Vec<EngineNode>) -> Self {
        let mut nodes_by_start: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for (index, node) in nodes.iter().enumerate() {
            if !node.range.is_empty() && node.range.end <= layers {
                nodes_by_start
                    .entry(node.range.start)
                    .or_default()
                    .push(index);
            }
        }
        Self {
            nodes,
            nodes_by_start,
            layers,
        }
    }

    /// Multiplies each engine's durations by a factor, such as a random one.
    ///
    /// Instances with the same load data would all choose the same chain until they learn of one
    /// another's choices. Random factors for each request distribute their choices.
    pub fn scale_costs<Factor>(&mut self, mut next_factor: Factor)
    where
        Factor: FnMut() -> f64,
    {
        for node in &mut self.nodes {
            node.slowness *= next_factor();
        }
    }

    /// Multiplies each engine's durations by the factor that `factor_of` returns for it.
    pub fn scale_each<Factor>(&mut self, mut factor_of: Factor)
    where
        Factor: FnMut(&EngineNode) -> f64,
    {
        for node in &mut self.nodes {
            node.slowness *= factor_of(node);
        }
    }

    /// Returns the engines of the graph.
    pub fn nodes(&self) -> &[EngineNode] {
        &self.nodes
    }

    /// Returns the cheapest chain whose engines all have memory for the request, if there is one.
    pub fn find(&self, query: &ChainQuery) -> Option<EngineChain> {
        let starts = self.nodes_by_start.get(&0)?;
        let mut domains: Vec<&str> = starts
            .iter()
            .map(|index| &*self.nodes[*index].failure_domain)
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let chains = domains
            .into_iter()
            .filter_map(|domain| self.find_from_domain(domain, query));
        chains.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    /// Returns whether the engines form at least one chain, regardless of their load.
    pub fn has_chain(&self) -> bool {
        let mut reached_layers = std::collections::BTreeSet::from([0]);
        while let Some(layer) = reached_layers.pop_first() {
            if layer == self.layers {
                return true;
            }
            for index in self.nodes_by_start.get(&layer).into_iter().flatten() {
                reached_layers.insert(self.nodes[*index].range.end);
            }
        }
        false
    }

    /// Returns the cheapest chain whose first engine is in `domain`.
    ///
    /// The cost includes the return of each generated token to the first engine.
    fn find_from_domain(&self, domain: &str, query: &ChainQuery) -> Option<EngineChain> {
        let mut path_ends: HashMap<usize, PathEnd> = HashMap::new();
        let mut nodes_by_end: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for (start, indices) in &self.nodes_by_start {
            for index in indices {
                let node = &self.nodes[*index];
                let Some(added_cost) = node_cost(node, query) else {
                    continue;
                };
                let prefix = if *start == 0 {
                    let is_allowed = query
                        .required_first
                        .as_ref()
                        .is_none_or(|first| *first == node.id);
                    (is_allowed && *node.failure_domain == *domain).then_some(PathEnd {
                        cost: 0.0,
                        crossings: 0,
                        previous: None,
                    })
                } else {
                    self.cheapest_prefix(nodes_by_end.get(start), node, &path_ends, query)
                };
                if let Some(prefix) = prefix {
                    let path_end = PathEnd {
                        cost: prefix.cost + added_cost,
                        ..prefix
                    };
                    path_ends.insert(*index, path_end);
                    nodes_by_end.entry(node.range.end).or_default().push(*index);
                }
            }
        }
        let last_nodes = nodes_by_end.get(&self.layers)?;
        let complete_path = |index: &usize| {
            let path_end = path_ends.get(index)?;
            let is_crossing = *self.nodes[*index].failure_domain != *domain;
            // Only the generated tokens return to the first engine, not the prompt.
            let return_cost = if is_crossing {
                query.output_tokens
                    * (query.token_crossing_seconds
                        + query.prompt_crossing_seconds * query.link_utilisation)
            } else {
                0.0
            };
            Some((
                path_end.cost + return_cost,
                path_end.crossings + u32::from(is_crossing),
                *index,
            ))
        };
        let (cost, crossings, index) = last_nodes
            .iter()
            .filter_map(complete_path)
            .min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(EngineChain {
            hops: self.trace_hops(index, &path_ends),
            cost,
            crossings,
        })
    }

    /// Returns the cheapest of the paths ending at `previous_nodes`, plus the crossing to `node`.
    fn cheapest_prefix(
        &self,
        previous_nodes: Option<&Vec<usize>>,
        node: &EngineNode,
        path_ends: &HashMap<usize, PathEnd>,
        query: &ChainQuery,
    ) -> Option<PathEnd> {
        let prefixes = previous_nodes?.iter().filter_map(|index| {
            let path_end = path_ends.get(index)?;
            // Between two engines that hold the request's KV cache no prompt is sent again.
            let is_kept = query.keeps_crossings
                && [&self.nodes[*index], node]
                    .into_iter()
                    .all(|node| query.reused_engines.contains(&node.id));
            let is_crossing = !is_kept && self.nodes[*index].failure_domain != node.failure_domain;
            if is_crossing && query.link_utilisation > MAX_LINK_UTILISATION {
                return None;
            }
            let crossing_cost = if is_crossing {
                // Each token waits behind the prompts that are being sent over the link.
                let link_wait = query.prompt_crossing_seconds * query.link_utilisation;
                query.prompt_crossing_seconds
                    + link_wait
                    + query.output_tokens * (query.token_crossing_seconds + link_wait)
            } else {
                0.0
            };
            Some(PathEnd {
                cost: path_end.cost + crossing_cost,
                crossings: path_end.crossings + u32::from(is_crossing),
                previous: Some(*index),
            })
        });
        prefixes.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    /// Returns the hops of the path that ends at the node with index `last_node`.
    fn trace_hops(&self, last_node: usize, path_ends: &HashMap<usize, PathEnd>) -> Vec<ChainHop> {
        let mut hops = Vec::new();
        let mut current = Some(last_node);
        while let Some(index) = current {
            let node = &self.nodes[index];
            hops.push(ChainHop {
                id: EndpointId::clone(&node.id),
                address: node.address,
                range: node.range,
            });
            current = path_ends.get(&index).and_then(|path_end| path_end.previous);
        }
        hops.reverse();
        hops
    }
}

/// Returns the load-weighted seconds that a request takes on an engine.
///
/// Returns `None` if the engine lacks memory for the request. An engine that already holds the
/// request's KV cache costs nothing.
fn node_cost(node: &EngineNode, query: &ChainQuery) -> Option<f64> {
    if query.reused_engines.contains(&node.id) {
        return Some(0.0);
    }
    let tokens = query.prompt_tokens + query.output_tokens;
    let memory_load = (node.committed_tokens + tokens) / node.token_capacity.max(1.0);
    if memory_load > query.max_memory_fill {
        return None;
    }
    let request_load = node.running_requests / query.max_running_requests.max(1.0);
    let load = memory_load.max(request_load).min(1.0);
    let seconds = node.prompt_token_seconds * query.prompt_tokens.max(MIN_COST_TOKENS)
        + node.step_seconds * query.output_tokens.max(MIN_COST_TOKENS);
    Some(seconds * node.slowness / (INFINITE_COST_LOAD - load))
}
