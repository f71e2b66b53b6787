//! Time for which missing registrations count as expired after a store outage.

use std::time::{Duration, Instant};

use dandeliondeal_relay::fleet_view::LAPSE_GRACE;
use dandeliondeal_relay::store_watch::{FailureEvidence, OutageTracker};

const CALL_LIMIT: Duration = Duration::from_secs(3);

fn millis_after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Records a refused call at `started`.
fn refuse_call(tracker: &mut OutageTracker, started: Instant) -> bool {
    tracker.record_failure(started, started, CALL_LIMIT, FailureEvidence::Store)
}

/// Records an outage from `start`, whose last call is refused shortly before `recovered`.
fn play_outage(tracker: &mut OutageTracker, start: Instant, recovered: Instant) {
    refuse_call(tracker, start);
    let last_call = recovered.checked_sub(Duration::from_millis(200));
    refuse_call(tracker, last_call.unwrap_or(start));
    tracker.record_success(recovered);
}

#[test]
fn long_outage() {
    let start = Instant::now();
    let mut tracker = OutageTracker::default();
    assert!(refuse_call(&mut tracker, start));
    let is_first = refuse_call(&mut tracker, millis_after(start, 3_800));
    assert!(!is_first, "the same outage");
    let recovered = millis_after(start, 4_000);
    assert_eq!(
        tracker.record_success(recovered),
        Some(Duration::from_secs(4))
    );
    assert_eq!(
        tracker.lapse_until(recovered),
        Some(recovered + LAPSE_GRACE)
    );
}

#[test]
fn leave_after_outage() {
    // An endpoint leaves without notice a few seconds after an outage. It gets no grace period of
    // its own, which would be longer than requests may still be sent to it.
    let start = Instant::now();
    let mut tracker = OutageTracker::default();
    let recovered = millis_after(start, 2_000);
    play_outage(&mut tracker, start, recovered);
    let leave = recovered + Duration::from_secs(2);
    assert_eq!(tracker.lapse_until(leave), Some(recovered + LAPSE_GRACE));
    assert_eq!(tracker.lapse_until(recovered + LAPSE_GRACE), None);
}

#[test]
fn cut_watch() {
    // A waiting watch is cut while the store works; registrations missing after that are gone.
    let start = Instant::now();
    let mut tracker = OutageTracker::default();
    let failed = millis_after(start, 2_500);
    tracker.record_failure(start, failed, CALL_LIMIT, FailureEvidence::Connection);
    let recovered = millis_after(failed, 150);
    tracker.record_success(recovered);
    assert_eq!(tracker.lapse_until(recovered), None);
}

#[test]
fn silent_store() {
    // The store is silent for four seconds, and the call over a new connection fails as well.
    let start = Instant::now();
    let mut tracker = OutageTracker::default();
    let timed_out = millis_after(start, 3_600);
    tracker.record_failure(start, timed_out, CALL_LIMIT, FailureEvidence::Connection);
    let retried = millis_after(timed_out, 100);
    let failed = millis_after(retried, 200);
    tracker.record_failure(retried, failed, CALL_LIMIT, FailureEvidence::Store);
    let recovered = millis_after(failed, 100);
    assert_eq!(
        tracker.record_success(recovered),
        Some(Duration::from_secs(4)),
        "the outage counts from the start of the watch"
    );
    assert_eq!(
        tracker.lapse_until(recovered),
        Some(recovered + LAPSE_GRACE)
    );
}

#[test]
fn silent_connection() {
    // Only the connection of a watch goes silent; the next call succeeds over a new one. The store
    // worked all the while, so registrations that are missing now were removed.
    let start = Instant::now();
    let mut tracker = OutageTracker::default();
    let timed_out = millis_after(start, 3_600);
    tracker.record_failure(start, timed_out, CALL_LIMIT, FailureEvidence::Connection);
    assert!(tracker.is_lost());
    let recovered = millis_after(timed_out, 100);
    assert_eq!(tracker.record_success(recovered), None);
    assert_eq!(tracker.lapse_until(recovered), None);
    assert_eq!(tracker.deletion_lapse_until(recovered), None);
}

#[test]
fn silence_after_outage() {
    // A connection that goes silent within the grace after an outage does not end that grace.
    let start = Instant::now();
    let mut tracker = OutageTracker::default();
    let recovered = millis_after(start, 4_000);
    play_outage(&mut tracker, start, recovered);
    let lost = millis_after(recovered, 600);
    tracker.record_failure(recovered, lost, CALL_LIMIT, FailureEvidence::Connection);
    tracker.record_success(millis_after(lost, 100));
    assert_eq!(tracker.lapse_until(lost), Some(recovered + LAPSE_GRACE));
}

#[test]
fn leave_within_grace() {
    // An endpoint leaves without notice half a second after an outage. It serves for two more
    // seconds, so requests have to end earlier, although its registration may also have expired.
    let start = Instant::now();
    let mut tracker = OutageTracker::default();
    let recovered = millis_after(start, 8_800);
    play_outage(&mut tracker, start, recovered);
    let leave = millis_after(recovered, 500);
    let until = tracker.deletion_lapse_until(leave);
    let until = until.expect("the registration may have expired");
    assert!(until <= leave + Duration::from_millis(1_500));
    assert_eq!(tracker.deletion_lapse_until(recovered + LAPSE_GRACE), None);
    // Shortly before the end of the grace after the outage, that one counts.
    let late = millis_after(recovered, 2_000);
    assert_eq!(
        tracker.deletion_lapse_until(late),
        Some(recovered + LAPSE_GRACE)
    );
}

#[test]
fn return_between_calls() {
    // The store returns right after a failed call, and the next call is much later. An endpoint that
    // left before the outage must not be kept longer than if the return had been noticed at once.
    let start = Instant::now();
    let mut tracker = OutageTracker::default();
    refuse_call(&mut tracker, start);
    let returned = millis_after(start, 4_000);
    refuse_call(&mut tracker, returned);
    let noticed = millis_after(returned, 1_700);
    tracker.record_success(noticed);
    let until = tracker.lapse_until(noticed).expect("a grace period");
    // Expired registrations are renewed within two seconds, and an instance counts as connected again
    // after three; the list of lapsing endpoints is checked four times a second.
    assert!(until >= millis_after(returned, 2_000));
    assert!(until <= millis_after(returned, 2_700));
}
