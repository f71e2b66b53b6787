//! Order of moves and their spread over spare engines.

use std::time::{Duration, Instant};

use dandeliondeal_relay::move_order::{GATHERING_TIME, MoveNeed, MoveQueue, spread_factor};

fn need(urgency: u8, time_left_ms: u64) -> MoveNeed {
    MoveNeed {
        urgency,
        time_left: Duration::from_millis(time_left_ms),
    }
}

/// Guards against moves in the order of arrival where room is short.
#[test]
fn needy_first() {
    let start = Instant::now();
    let mut moves = MoveQueue::default();
    let closes_at = moves.add(need(2, 10), "late", start);
    let later = start + Duration::from_millis(4);
    assert_eq!(moves.add(need(0, 90), "urgent", later), closes_at);
    moves.add(need(1, 80), "second", later);
    moves.add(need(1, 20), "first", later);
    assert_eq!(moves.release(later), Vec::<&str>::new());
    assert_eq!(closes_at, start + GATHERING_TIME);
    let released = moves.release(closes_at);
    assert_eq!(released, ["urgent", "first", "second", "late"]);
    assert_eq!(moves.release(closes_at), Vec::<&str>::new());
}

/// Guards against moves that are held back because others keep arriving.
#[test]
fn bounded_gathering() {
    let start = Instant::now();
    let mut moves = MoveQueue::default();
    let first = moves.add(need(1, 0), 0, start);
    let last = moves.add(need(1, 0), 1, start + GATHERING_TIME / 2);
    assert_eq!(first, last);
}

/// Guards against instances that all choose the same spare engine, and against a spread that ignores
/// the free memory.
#[test]
fn weighted_spread() {
    let engines = [("a", 0.2), ("b", 0.4), ("c", 0.6)];
    let mut counts = [0_u32; 3];
    for stream in 0..6_000 {
        let key = format!("stream-{stream}");
        let factors = engines.map(|(engine, free)| spread_factor(&key, engine, free));
        let best = (0..3).min_by(|left, right| factors[*left].total_cmp(&factors[*right]));
        counts[best.expect("an engine")] += 1;
        let again = engines.map(|(engine, free)| spread_factor(&key, engine, free).to_bits());
        assert_eq!(factors.map(f64::to_bits), again);
    }
    for (count, expected) in counts.into_iter().zip([1_000, 2_000, 3_000]) {
        assert!(count.abs_diff(expected) < 200, "{counts:?}");
    }
}

/// Guards against factors that make an engine free or impossible.
#[test]
fn bounded_factor() {
    for stream in 0..10_000 {
        let factor = spread_factor(&stream.to_string(), "engine", -0.5);
        assert!((2.0..=200.0).contains(&factor), "{factor}");
    }
}
