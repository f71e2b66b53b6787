//! Chooses endpoints by load, and gives up one that failed.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::{Duration, Instant};

use dandeliondeal::balance::{
    BoardSettings, CallResult, EndpointBoard, EndpointProfile, FailureSignal,
};
use dandeliondeal::types::EndpointId;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn profile(id: &str) -> EndpointProfile {
    EndpointProfile {
        id: id.into(),
        group: "draft".into(),
        accelerator: "a10".into(),
        capacity: 4,
        link_delay: Duration::ZERO,
        service_time: Duration::from_millis(100),
    }
}

fn show(what: &str, board: &EndpointBoard, now: Instant) {
    // The seed is passed in, so that every run chooses alike.
    let mut random = StdRng::seed_from_u64(1);
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for _ in 0..300 {
        if let Some(endpoint) = board.choose("draft", true, &mut random, now) {
            *counts.entry(endpoint).or_default() += 1;
        }
    }
    println!("{what}: {counts:?}");
}

fn main() -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let mut board = EndpointBoard::new("entry-1".into(), BoardSettings::default())?;
    board.replace(["left", "middle", "right"].map(profile), start);
    // A new endpoint gets little work at first; time is passed in, so nobody waits here.
    let now = start + Duration::from_secs(10);
    board.tick(now);
    show("idle", &board, now);

    let left: EndpointId = "left".into();
    for _ in 0..4 {
        board.started(&left, now);
    }
    show("`left` has four calls", &board, now);

    // One refused connection may be chance; a few in a row take the endpoint out of service.
    let right: EndpointId = "right".into();
    for _ in 0..3 {
        board.started(&right, now);
        let result = CallResult::Failed(FailureSignal::Refused);
        board.finished(&right, now, result, now);
        println!("`right` refused a call: {:?}", board.state(&right));
    }
    show("without `right`", &board, now);
    Ok(())
}
