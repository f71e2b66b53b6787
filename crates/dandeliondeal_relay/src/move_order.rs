//! Order of moves after the loss of an engine, and their spread over the spare engines.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time in which moves are gathered before the first one is ordered.
pub const GATHERING_TIME: Duration = Duration::from_millis(10);
/// Range of the draw in the factor of an engine, which keeps a chain from being all but free.
const DRAW_RANGE: std::ops::RangeInclusive<f64> = 0.05..=4.0;
/// Committed share of memory up to which an engine has room for certain.
///
/// Engines above it may still take a move, but get few. With the share measured up to the limit for
/// moves, 1.25, 11 to 18 of 180 moves in `tests/move_conflicts.rs` met a conflict on both tries at a
/// mean fill of 0.85, and 0 to 6 do now.
const SURE_SHARE: f64 = 1.0;
/// Minimum share of free memory in the factor of an engine.
const MIN_FREE_SHARE: f64 = 0.02;

/// Need of a stream to continue; the least value is moved first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct MoveNeed {
    /// Urgency of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Time until the pause exceeds the route's objective; zero if it does already.
    pub time_left: Duration,
}

/// Moves that are gathered for a short time and then released in order of need.
#[derive(Debug)]
pub struct MoveQueue<Ticket> {
    waiting: Vec<(MoveNeed, Ticket)>,
    closes_at: Option<Instant>,
}

impl<Ticket> Default for MoveQueue<Ticket> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            closes_at: None,
        }
    }
}

impl<Ticket> MoveQueue<Ticket> {
    /// Adds a move; returns when the moves that are gathered now are released.
    pub fn add(&mut self, need: MoveNeed, ticket: Ticket, now: Instant) -> Instant {
        self.waiting.push((need, ticket));
        *self.closes_at.get_or_insert(now + GATHERING_TIME)
    }

    /// Returns the gathered moves in order of need; none before their time.
    pub fn release(&mut self, now: Instant) -> Vec<Ticket> {
        if self.closes_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.closes_at = None;
        self.waiting.sort_by_key(|(need, _)| *need);
        let released = self.waiting.drain(..);
        released.map(|(_, ticket)| ticket).collect()
    }
}

/// Returns the factor on an engine's cost in the choice of a chain for a move.
///
/// It is a weighted rendezvous hash: among engines of equal cost, each is the cheapest for a part of
/// the keys that is proportional to its free memory. Instances with the same load data therefore
/// choose different engines for different streams.
pub fn spread_factor(key: &str, engine: &str, free_share: f64) -> f64 {
    let hash = xxh3_64_with_seed(engine.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0));
    // The upper 53 bits fit a float exactly; the half keeps the draw above 0.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    let draw = (-uniform.ln()).clamp(*DRAW_RANGE.start(), *DRAW_RANGE.end());
    draw / free_share.max(MIN_FREE_SHARE)
}

/// Returns [`spread_factor`] for an engine with this committed part of its memory, in tokens.
pub fn move_factor(key: &str, engine: &str, committed: f64, capacity: f64) -> f64 {
    spread_factor(key, engine, SURE_SHARE - committed / capacity.max(1.0))
}
