//! Calls of members to a store that does not answer.

use std::time::{Duration, Instant};

use dandeliondeal_relay::outage_probe::{HubAccess, OutageProbe};

/// Pause of a member between two attempts during an outage.
const PAUSE: Duration = Duration::from_millis(600);

/// Returns the times of the calls of a member during an outage, and whether the last one succeeded.
fn calls(outage: Duration, access: impl Fn(Duration) -> HubAccess) -> Vec<Duration> {
    let start = Instant::now();
    let mut probe = OutageProbe::default();
    let mut calls = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < outage + Duration::from_secs(6) {
        let now = start + elapsed;
        if !probe.needs_hub(now) || OutageProbe::allows_call(access(elapsed)) {
            probe.record_call(now);
            probe.record_result(elapsed >= outage);
            calls.push(elapsed);
            if elapsed >= outage {
                break;
            }
        }
        elapsed += PAUSE;
    }
    calls
}

/// Guards against a fleet whose members all keep calling a store that no hub reaches.
#[test]
fn hubs_lost() {
    let outage = Duration::from_secs(8);
    let times = calls(outage, |elapsed| {
        if elapsed < outage + Duration::from_secs(1) {
            HubAccess::Lost
        } else {
            HubAccess::Reached
        }
    });
    assert!(times.len() <= 4, "{times:?}");
    let regained = *times.last().expect("calls");
    assert!(regained < outage + Duration::from_secs(2), "{times:?}");
}

/// Guards against members that wait for hubs which the store alone turns away.
#[test]
fn hubs_refused() {
    let outage = Duration::from_secs(1);
    let times = calls(outage, |_| HubAccess::Lost);
    let regained = *times.last().expect("calls");
    assert!(
        regained >= outage && regained < Duration::from_secs(6),
        "{times:?}"
    );
}

/// Guards against members that are cut off because their hubs do not answer.
#[test]
fn hubs_silent() {
    let outage = Duration::from_secs(3);
    let times = calls(outage, |_| HubAccess::Unknown);
    let regained = *times.last().expect("calls");
    assert!(regained < outage + PAUSE, "{times:?}");
}

/// Guards against a single hub without access that decides for all members.
#[test]
fn hubs_in_turn() {
    let mut probe = OutageProbe::default();
    let mut asked: Vec<usize> = (0..3).map(|_| probe.next_hub(3)).collect();
    asked.sort_unstable();
    assert_eq!(asked, [0, 1, 2]);
}

/// Guards against calls to hubs while the store answers.
#[test]
fn store_answers() {
    let now = Instant::now();
    let mut probe = OutageProbe::default();
    probe.record_call(now);
    probe.record_result(true);
    assert!(!probe.needs_hub(now));
}
