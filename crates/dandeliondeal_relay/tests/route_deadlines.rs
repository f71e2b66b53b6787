//! The time that a returning caller has used, from the deadlines of its route.

use std::time::{Duration, Instant};

use dandeliondeal_relay::route_deadlines::RouteDeadlines;
use dandeliondeal_types::RouteId;

const USUAL: Duration = Duration::from_secs(20);
const SHORTER: Duration = Duration::from_secs(17);

#[test]
fn returning_caller() {
    let (route, now) = (RouteId::from("drafts"), Instant::now());
    let mut deadlines = RouteDeadlines::default();
    assert_eq!(deadlines.record(&route, USUAL, now), Duration::ZERO);
    let used = deadlines.record(&route, SHORTER, now);
    assert_eq!(used, Duration::from_secs(3));
    assert_eq!(deadlines.record(&route, USUAL, now), Duration::ZERO);
}

#[test]
fn other_route() {
    let now = Instant::now();
    let mut deadlines = RouteDeadlines::default();
    deadlines.record(&"drafts".into(), USUAL, now);
    let used = deadlines.record(&"letters".into(), SHORTER, now);
    assert_eq!(used, Duration::ZERO);
}

// Callers that shorten their deadline for good must not count as late for ever.
#[test]
fn shorter_deadlines() {
    let (route, start) = (RouteId::from("drafts"), Instant::now());
    let mut deadlines = RouteDeadlines::default();
    deadlines.record(&route, USUAL, start);
    let mut used = Duration::ZERO;
    for second in 1..=29 {
        let now = start + Duration::from_secs(second);
        used = deadlines.record(&route, SHORTER, now);
    }
    assert_eq!(used, Duration::from_secs(3));
    for second in 30..=61 {
        let now = start + Duration::from_secs(second);
        used = deadlines.record(&route, SHORTER, now);
    }
    assert_eq!(used, Duration::ZERO);
}

#[test]
fn long_silence() {
    let (route, start) = (RouteId::from("drafts"), Instant::now());
    let mut deadlines = RouteDeadlines::default();
    deadlines.record(&route, USUAL, start);
    let later = start + Duration::from_secs(61);
    assert_eq!(deadlines.record(&route, SHORTER, later), Duration::ZERO);
}

// Routes of many configurations must not add up.
#[test]
fn removed_routes() {
    let now = Instant::now();
    let mut deadlines = RouteDeadlines::default();
    deadlines.record(&"drafts".into(), USUAL, now);
    deadlines.retain(|route| **route != *"drafts");
    let used = deadlines.record(&"drafts".into(), SHORTER, now);
    assert_eq!(used, Duration::ZERO);
}
