//! Load of engines from own requests and from the engines' reports.

use std::time::{Duration, Instant};

use dandeliondeal_layout::{ChainHop, EngineChain};
use dandeliondeal_relay::LoadBook;
use dandeliondeal_types::{EndpointId, LayerRange};

fn chain() -> EngineChain {
    let hop = |id: &str, start, end| ChainHop {
        id: id.into(),
        address: ([127, 0, 0, 1], 8000).into(),
        range: LayerRange::new(start, end),
    };
    EngineChain {
        hops: vec![hop("first", 0, 4), hop("second", 4, 8)],
        cost: 1.0,
        crossings: 0,
    }
}

#[test]
fn tickets_given_back() {
    let book = LoadBook::default();
    let ticket = book.enter(&chain(), 900.0);
    assert!((book.own("second").tokens - 900.0).abs() < 0.1);
    drop(ticket);
    assert!(book.own("second").running < 0.1);
}

#[test]
fn stated_load() {
    let now = Instant::now();
    let book = LoadBook::default();
    let _own = book.enter(&chain(), 1_000.0);
    let first = EndpointId::from("first");
    book.state(&first, 30, now);
    let _later = book.enter(&chain(), 1_000.0);
    let work = book.work("first", 9.0, now);
    assert!((work.running - 31.0).abs() < 0.1);
    assert!((work.tokens - 31_000.0).abs() < 1.0);
}

#[test]
fn old_statement() {
    let now = Instant::now();
    let book = LoadBook::default();
    let _own = book.enter(&chain(), 1_000.0);
    book.state(&EndpointId::from("first"), 30, now);
    let later = now + Duration::from_secs(5);
    assert!((book.work("first", 3.0, later).running - 3.0).abs() < 0.1);
}

#[test]
fn scale_from_statements() {
    let now = Instant::now();
    let book = LoadBook::default();
    assert!((book.scale(9, now) - 9.0).abs() < 0.1);
    let _first = book.enter(&chain(), 1_000.0);
    let _second = book.enter(&chain(), 1_000.0);
    book.state(&EndpointId::from("first"), 10, now);
    assert!((book.scale(9, now) - 5.0).abs() < 0.1);
    assert!((book.scale(3, now) - 3.0).abs() < 0.1);
}
