//! Conflicts of the moves of many instances after the loss of four engines, without a network.

use std::collections::HashMap;

use dandeliondeal_layout::{ChainGraph, ChainQuery, EngineChain, EngineNode};
use dandeliondeal_relay::move_order::move_factor;
use dandeliondeal_types::{EndpointId, LayerRange};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const INSTANCES: usize = 88;
const STREAMS: usize = 180;
/// Layer ranges of the model, layers of each, and engines that hold it.
const RANGES: usize = 11;
const RANGE_LAYERS: u32 = 4;
const REPLICAS: usize = 9;
/// Tokens of a stream, and of an engine's memory.
const PROMPT_TOKENS: f64 = 760.0;
const OUTPUT_TOKENS: f64 = 138.0;
const CAPACITY: f64 = 60_000.0;
/// Maximum committed share in the choice of a chain for a move, as in `select_chain`.
const MAX_COMMITTED_SHARE: f64 = 1.25;

/// Stream whose chain has a lost engine.
struct MovedStream {
    id: String,
    instance: usize,
    chain: Vec<usize>,
    lost: usize,
}

/// Fleet after the loss, with what all instances know and what is committed.
struct MoveFleet {
    lost: [usize; 4],
    /// Committed tokens by engine as in the news of 0.3 s ago.
    known: Vec<f64>,
    committed: Vec<f64>,
    /// Tokens that the moves of each instance have reserved.
    reserved: Vec<HashMap<usize, f64>>,
}

fn engine_id(engine: usize) -> EndpointId {
    format!("engine-{engine}").into()
}

fn engine_index(id: &str) -> usize {
    let index = id.strip_prefix("engine-").expect("an engine");
    index.parse().expect("an index")
}

impl MoveFleet {
    /// Creates a fleet whose engines are filled to `fill` on average.
    ///
    /// A tenth of the running requests change in 0.3 s, which moves the fill by up to 3%.
    fn new(fill: f64, random: &mut StdRng) -> Self {
        let engines = 0..RANGES * REPLICAS;
        let known = engines.map(|_| CAPACITY * (fill + random.random_range(-0.1..0.1)));
        let known: Vec<f64> = known.collect();
        let committed = known
            .iter()
            .map(|tokens| tokens + CAPACITY * random.random_range(-0.03..0.03));
        Self {
            lost: [2, 5, 7, 9].map(|range| range * REPLICAS),
            committed: committed.collect(),
            known,
            reserved: vec![HashMap::new(); INSTANCES],
        }
    }

    fn select(
        &self,
        stream: &MovedStream,
        key: &str,
        refused: Option<usize>,
    ) -> Option<EngineChain> {
        let nodes = (0..RANGES * REPLICAS).filter(|engine| {
            !self.lost.contains(engine) && (refused != Some(*engine) || *engine == stream.chain[0])
        });
        let nodes = nodes.map(|engine| {
            let from = u32::try_from(engine / REPLICAS).expect("a range") * RANGE_LAYERS;
            let own = self.reserved[stream.instance].get(&engine);
            EngineNode {
                id: engine_id(engine),
                address: "127.0.0.1:1".parse().expect("an address"),
                failure_domain: ["a", "b", "c"][engine % 3].into(),
                range: LayerRange::new(from, from + RANGE_LAYERS),
                step_seconds: 0.003,
                prompt_token_seconds: 0.000_05,
                token_capacity: CAPACITY,
                committed_tokens: self.known[engine] + own.copied().unwrap_or(0.0),
                running_requests: 40.0,
                slowness: 1.0,
            }
        });
        let layers = u32::try_from(RANGES).expect("a count") * RANGE_LAYERS;
        let mut graph = ChainGraph::new(layers, nodes.collect());
        graph.scale_each(|node| {
            move_factor(key, &node.id, node.committed_tokens, node.token_capacity)
        });
        let kept = stream.chain.iter().filter(|hop| **hop != stream.lost);
        graph.find(&ChainQuery {
            required_first: Some(engine_id(stream.chain[0])),
            reused_engines: kept.copied().map(engine_id).collect(),
            keeps_crossings: true,
            prompt_tokens: PROMPT_TOKENS,
            output_tokens: OUTPUT_TOKENS,
            prompt_crossing_seconds: 0.01,
            link_utilisation: 0.3,
            token_crossing_seconds: 0.000_75,
            max_running_requests: 110.0,
            max_memory_fill: MAX_COMMITTED_SHARE,
        })
    }

    /// Orders a move; returns the engine without room, if any.
    fn order(&mut self, stream: &MovedStream, chain: &EngineChain) -> Option<usize> {
        let engines = chain.hops.iter().map(|hop| engine_index(&hop.id));
        let added: Vec<usize> = engines.filter(|hop| !stream.chain.contains(hop)).collect();
        let tokens = PROMPT_TOKENS + OUTPUT_TOKENS;
        let mut full = added.iter().copied();
        if let Some(full) = full.find(|engine| self.committed[*engine] + tokens > CAPACITY) {
            return Some(full);
        }
        for engine in added {
            self.committed[engine] += tokens;
            let reserved = &mut self.reserved[stream.instance];
            *reserved.entry(engine).or_default() += tokens;
        }
        None
    }
}

/// Returns the moves that met a conflict on their first try, and on their last one.
fn count_conflicts(fill: f64, seed: u64) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = MoveFleet::new(fill, &mut random);
    let streams = (0..STREAMS).map(|index| {
        let lost = fleet.lost[index % fleet.lost.len()];
        let chain = (0..RANGES).map(|range| {
            if lost / REPLICAS == range {
                lost
            } else {
                range * REPLICAS + random.random_range(1..REPLICAS)
            }
        });
        MovedStream {
            id: format!("stream-{seed}-{index}"),
            chain: chain.collect(),
            instance: random.random_range(0..INSTANCES),
            lost,
        }
    });
    let mut streams: Vec<MovedStream> = streams.collect();
    streams.shuffle(&mut random);
    let (mut first, mut last) = (0, 0);
    for stream in &streams {
        let chain = fleet.select(stream, &stream.id, None);
        let refused = chain.map_or(Some(None), |chain| fleet.order(stream, &chain).map(Some));
        let Some(refused) = refused else {
            continue;
        };
        first += 1;
        let key = format!("{}/retry", stream.id);
        let chain = fleet.select(stream, &key, refused);
        let is_moved = chain.is_some_and(|chain| fleet.order(stream, &chain).is_none());
        last += usize::from(!is_moved);
    }
    (first, last)
}

/// Guards against instances that all move their streams to the same spare engines.
#[test]
fn four_engines() {
    for fill in [0.5, 0.7, 0.8, 0.85] {
        for seed in 0..4 {
            let (first, last) = count_conflicts(fill, seed);
            println!(
                "fill {fill}: {first} of {STREAMS} conflicts on the first try, {last} on the last"
            );
            assert!(last * 10 < STREAMS, "{last} of {STREAMS}");
        }
    }
}
