//! Time for which missing registrations count as expired after a store outage.

use std::time::{Duration, Instant};

use dandeliondeal_relay::fleet_view::LAPSE_GRACE;
use dandeliondeal_relay::store_watch::OutageClock;

const LIMIT: Duration = Duration::from_secs(3);

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

#[test]
fn long_outage() {
    let start = Instant::now();
    let mut outage = OutageClock::default();
    assert!(outage.begin(start, start, LIMIT));
    assert!(
        !outage.begin(start, after(start, 600), LIMIT),
        "the same outage"
    );
    let back = after(start, 4_000);
    assert_eq!(outage.end(back), Some(Duration::from_secs(4)));
    assert_eq!(outage.lapse_until(back), Some(back + LAPSE_GRACE));
}

#[test]
fn planned_leave_later() {
    // An endpoint leaves without notice a few seconds after an outage. It gets no grace period of
    // its own, which would be longer than requests may still be sent to it.
    let start = Instant::now();
    let mut outage = OutageClock::default();
    outage.begin(start, start, LIMIT);
    let back = after(start, 2_000);
    outage.end(back);
    let leave = back + Duration::from_secs(2);
    assert_eq!(outage.lapse_until(leave), Some(back + LAPSE_GRACE));
    assert_eq!(outage.lapse_until(back + LAPSE_GRACE), None);
}

#[test]
fn cut_watch() {
    // A waiting watch is cut while the store works; registrations missing after that are gone.
    let start = Instant::now();
    let mut outage = OutageClock::default();
    let cut = after(start, 2_500);
    outage.begin(start, cut, LIMIT);
    let back = after(cut, 150);
    outage.end(back);
    assert_eq!(outage.lapse_until(back), None);
}

#[test]
fn silent_watch() {
    // The store is silent for three seconds during one watch.
    let start = Instant::now();
    let mut outage = OutageClock::default();
    let noticed = after(start, 3_600);
    outage.begin(start, noticed, LIMIT);
    let back = after(noticed, 100);
    outage.end(back);
    assert_eq!(outage.lapse_until(back), Some(back + LAPSE_GRACE));
}
