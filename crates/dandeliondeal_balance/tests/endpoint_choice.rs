//! Choice between endpoints by load, reports and subsets.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_balance::stable_subset::stable_subset;
use dandeliondeal_balance::{BoardSettings, EndpointBoard, EndpointProfile, LoadReport};
use dandeliondeal_types::{EndpointId, EndpointView};
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 11;

fn id(number: usize) -> EndpointId {
    format!("endpoint-{number}").into()
}

/// A board with all endpoints past their slow start, and the time then.
fn board(endpoints: usize) -> (EndpointBoard, Instant) {
    let now = Instant::now();
    let mut board = EndpointBoard::new("entry-1".into(), BoardSettings::default()).unwrap();
    let profiles = (0..endpoints).map(|number| EndpointProfile {
        id: id(number),
        group: Arc::from("draft"),
        accelerator: Arc::from("a10"),
        capacity: 2,
        link_delay: Duration::ZERO,
        service_time: Duration::from_millis(100),
    });
    board.replace(profiles, now);
    let later = now + Duration::from_secs(10);
    board.tick(later);
    (board, later)
}

fn choices(board: &EndpointBoard, now: Instant) -> HashMap<EndpointId, usize> {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut counts = HashMap::new();
    for _ in 0..1000 {
        let endpoint = board.choose("draft", true, &mut random, now).unwrap();
        *counts.entry(endpoint).or_default() += 1;
    }
    counts
}

fn report(sessions: u32, measured: Instant) -> LoadReport {
    LoadReport {
        sessions,
        service_time: None,
        measured,
    }
}

#[test]
fn loaded_avoided() {
    let (mut board, now) = board(4);
    for _ in 0..6 {
        board.started(&id(0), now);
    }
    assert_eq!(choices(&board, now).get(&id(0)), None);
}

#[test]
fn stale_herd() {
    let (mut board, now) = board(10);
    for number in 1..10 {
        board.reported(&id(number), report(6, now));
    }
    board.reported(&id(0), report(0, now));
    let fresh = choices(&board, now)[&id(0)];
    let stale = choices(&board, now + Duration::from_mins(1))
        .get(&id(0))
        .copied()
        .unwrap_or_default();
    // Three samples of ten include one endpoint in three choices of ten.
    assert!((200..400).contains(&fresh), "seed {SEED}: {fresh}");
    assert!(stale <= fresh, "seed {SEED}: {stale}");
}

#[test]
fn older_report() {
    let (mut board, now) = board(2);
    let later = now + Duration::from_secs(1);
    board.reported(&id(1), report(0, later));
    board.reported(&id(0), report(9, later));
    board.reported(&id(0), report(0, now));
    assert_eq!(choices(&board, later).get(&id(0)), None);
}

#[test]
fn stable_members() {
    let endpoints: Vec<EndpointId> = (0..100).map(id).collect();
    let before = stable_subset("entry-1", &endpoints, 16);
    let after = stable_subset("entry-1", &endpoints[..99], 16);
    let kept = before.iter().filter(|place| after.contains(place)).count();
    assert!(kept >= 15, "{kept}");
}

#[test]
fn view_samples() {
    let (board, now) = board(40);
    let view = board.view(true, SEED, now);
    let usable = |view: &dyn EndpointView| -> Vec<usize> {
        (0..40)
            .filter(|&number| view.is_usable(&id(number)))
            .collect()
    };
    assert_eq!(usable(&view).len(), 3);
    assert_eq!(usable(&view), usable(&view));
    assert_ne!(usable(&view), usable(&board.view(true, SEED + 1, now)));
}
