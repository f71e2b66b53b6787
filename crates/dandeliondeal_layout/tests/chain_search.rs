//! Tests the search for engine chains under load.

use dandeliondeal_layout::{ChainGraph, ChainQuery, EngineNode};
use dandeliondeal_types::LayerRange;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn node(id: &str, domain: &str, start: u32, end: u32) -> EngineNode {
    EngineNode {
        id: id.into(),
        address: ([127, 0, 0, 1], 8000).into(),
        failure_domain: domain.into(),
        range: LayerRange::new(start, end),
        step_seconds: 0.001,
        prompt_token_seconds: 0.000_01,
        token_capacity: 60_000.0,
        committed_tokens: 0.0,
        running_requests: 0.0,
        slowness: 1.0,
    }
}

fn query() -> ChainQuery {
    ChainQuery {
        required_first: None,
        reused_engines: Vec::new(),
        keeps_crossings: false,
        prompt_tokens: 800.0,
        output_tokens: 200.0,
        prompt_crossing_seconds: 0.01,
        link_utilisation: 0.0,
        token_crossing_seconds: 0.000_75,
        max_running_requests: 100.0,
        max_memory_fill: 1.0,
    }
}

fn found_ids(graph: &ChainGraph) -> Vec<String> {
    let chain = graph.find(&query());
    let hops = chain.into_iter().flat_map(|chain| chain.hops);
    hops.map(|hop| hop.id.to_string()).collect()
}

#[test]
fn same_domain() {
    let graph = ChainGraph::new(
        8,
        vec![
            node("a", "one", 0, 4),
            node("b", "two", 4, 8),
            node("c", "one", 4, 8),
        ],
    );
    assert_eq!(found_ids(&graph), ["a", "c"]);
}

#[test]
fn cross_domain_chain() {
    let graph = ChainGraph::new(8, vec![node("a", "one", 0, 4), node("b", "two", 4, 8)]);
    let chain = graph.find(&query()).expect("a chain over two domains");
    assert_eq!(chain.crossings, 2);
}

#[test]
fn saturated_link() {
    let graph = ChainGraph::new(8, vec![node("a", "one", 0, 4), node("b", "two", 4, 8)]);
    let query = ChainQuery {
        link_utilisation: 0.9,
        ..query()
    };
    assert!(graph.find(&query).is_none());
}

#[test]
fn avoids_loaded_engine() {
    let mut busy = node("b", "one", 4, 8);
    busy.running_requests = 90.0;
    let graph = ChainGraph::new(
        8,
        vec![node("a", "one", 0, 4), busy, node("c", "one", 4, 8)],
    );
    assert_eq!(found_ids(&graph), ["a", "c"]);
}

#[test]
fn reuses_cached_engines() {
    // One engine of a running request is lost. The remaining engines keep their KV cache, so the
    // new chain has to reuse them although their memory is full.
    let full_node = |id: &str, start, end| {
        let mut node = node(id, "one", start, end);
        node.committed_tokens = 60_000.0;
        node
    };
    let graph = ChainGraph::new(
        12,
        vec![
            full_node("a", 0, 4),
            full_node("b", 4, 8),
            node("idle", "one", 4, 8),
            node("c", "one", 8, 12),
        ],
    );
    let query = ChainQuery {
        required_first: Some("a".into()),
        reused_engines: vec!["a".into(), "b".into()],
        ..query()
    };
    let chain = graph.find(&query).expect("a chain");
    let ids: Vec<&str> = chain.hops.iter().map(|hop| &*hop.id).collect();
    assert_eq!(ids, ["a", "b", "c"]);
}

// Guards against a move that sends the prompt to other engines because the chain crosses domains.
#[test]
fn kept_crossing() {
    let graph = ChainGraph::new(
        16,
        vec![
            node("a", "one", 0, 4),
            node("b", "two", 4, 8),
            node("other-b", "one", 4, 8),
            node("c", "one", 8, 12),
            node("d", "one", 12, 16),
        ],
    );
    let found = |keeps_crossings| {
        let query = ChainQuery {
            required_first: Some("a".into()),
            reused_engines: vec!["a".into(), "b".into(), "c".into()],
            keeps_crossings,
            link_utilisation: 0.1,
            ..query()
        };
        let chain = graph.find(&query).expect("a chain");
        chain.hops[1].id.to_string()
    };
    assert_eq!(found(false), "other-b");
    assert_eq!(found(true), "b");
}

#[test]
fn avoids_slow_engine() {
    let mut slow = node("b", "one", 4, 8);
    slow.slowness = 5.0;
    let graph = ChainGraph::new(
        8,
        vec![node("a", "one", 0, 4), slow, node("c", "one", 4, 8)],
    );
    assert_eq!(found_ids(&graph), ["a", "c"]);
}

#[test]
fn full_engine() {
    let mut full = node("b", "one", 4, 8);
    full.committed_tokens = 59_500.0;
    let graph = ChainGraph::new(8, vec![node("a", "one", 0, 4), full]);
    assert!(graph.find(&query()).is_none());
    assert!(graph.has_chain());
}

#[test]
fn missing_layer() {
    let graph = ChainGraph::new(8, vec![node("a", "one", 0, 4), node("b", "one", 5, 8)]);
    assert!(graph.find(&query()).is_none());
    assert!(!graph.has_chain());
}

#[test]
fn every_layer_once() {
    let mut random = StdRng::seed_from_u64(7);
    for _ in 0..2_000 {
        let layers = random.random_range(1..=12);
        let nodes = (0..random.random_range(1..=14)).map(|index| {
            let start = random.random_range(0..layers);
            let end = random.random_range(start + 1..=layers);
            let domain = ["one", "two", "three"][random.random_range(0..3)];
            let mut node = node(&format!("e{index}"), domain, start, end);
            node.running_requests = random.random_range(0.0..120.0);
            node.committed_tokens = random.random_range(0.0..70_000.0);
            node
        });
        let graph = ChainGraph::new(layers, nodes.collect());
        let Some(chain) = graph.find(&query()) else {
            continue;
        };
        let mut next_layer = 0;
        for hop in &chain.hops {
            assert_eq!(hop.range.start, next_layer);
            next_layer = hop.range.end;
        }
        assert_eq!(next_layer, layers);
        let mut unique_ids: Vec<&str> = chain.hops.iter().map(|hop| &*hop.id).collect();
        unique_ids.sort_unstable();
        unique_ids.dedup();
        assert_eq!(unique_ids.len(), chain.hops.len());
    }
}
