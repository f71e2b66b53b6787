//! Usual deadline of each route, from which the time that a returning caller has used is known.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use dandeliondeal_types::RouteId;

/// Length of one of the two windows over which the longest deadline is kept, so that a deadline is
/// forgotten after 30 to 60 s.
const WINDOW: Duration = Duration::from_secs(30);
/// Maximum number of routes whose deadlines are kept.
const MAX_ROUTES: usize = 4_096;

/// Longest deadline of a route in the current window and in the one before.
#[derive(Clone, Copy, Debug)]
struct DeadlineWindow {
    started: Instant,
    current: Duration,
    previous: Duration,
}

/// Longest recent deadline of each route.
#[derive(Debug, Default)]
pub struct RouteDeadlines {
    routes: HashMap<RouteId, DeadlineWindow>,
}

impl RouteDeadlines {
    /// Records the deadline of a request, and returns the time by which it is shorter than the
    /// longest recent one of its route.
    pub fn record(&mut self, route: &RouteId, deadline: Duration, now: Instant) -> Duration {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return Duration::ZERO;
        }
        let entry = self.routes.entry(RouteId::clone(route));
        let window = entry.or_insert(DeadlineWindow {
            started: now,
            current: Duration::ZERO,
            previous: Duration::ZERO,
        });
        let age = now.saturating_duration_since(window.started);
        if age >= WINDOW {
            let is_adjacent = age < WINDOW * 2;
            window.previous = is_adjacent.then_some(window.current).unwrap_or_default();
            window.current = Duration::ZERO;
            window.started = now;
        }
        window.current = window.current.max(deadline);
        window.current.max(window.previous).saturating_sub(deadline)
    }

    /// Removes the routes that `is_kept` does not accept.
    pub fn retain<Keep>(&mut self, is_kept: Keep)
    where
        Keep: Fn(&RouteId) -> bool,
    {
        self.routes.retain(|route, _| is_kept(route));
    }
}
