//! Pauses that endpoints ask for: when they end, and who finds out.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bolero::check;
use bolero_generator::TypeGenerator;
use dandeliondeal_limit::{BackoffSettings, EndpointBackoffs};
use dandeliondeal_types::EndpointId;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn desk() -> EndpointId {
    "desk-0".into()
}

/// Guards against a later answer that shortens a pause.
#[test]
fn longest_pause() {
    let (desk, now) = (desk(), Instant::now());
    let mut backoffs = EndpointBackoffs::default();
    backoffs.record_backoff(&desk, ms(2_000), now);
    let left = backoffs.record_backoff(&desk, ms(500), now + ms(400));
    assert_eq!(left, ms(1_600));
    let wait = |backoffs: &EndpointBackoffs, at| backoffs.wait(&desk, now + ms(at));
    assert_eq!(wait(&backoffs, 1_000), Some(ms(1_000)));
    backoffs.record_backoff(&desk, ms(3_000), now + ms(1_000));
    assert_eq!(wait(&backoffs, 2_000), Some(ms(2_000)));
    assert_eq!(wait(&backoffs, 4_000), None);
}

/// Guards against an endpoint that stays out of use because of one excessive value.
#[test]
fn excessive_pause() {
    let (desk, now) = (desk(), Instant::now());
    let mut backoffs = EndpointBackoffs::default();
    backoffs.record_backoff(&desk, Duration::MAX, now);
    let max_pause = BackoffSettings::default().max_pause;
    assert_eq!(backoffs.wait(&desk, now), Some(max_pause));
}

/// Guards against all requests that are sent at once when a pause ends.
#[test]
fn single_probe() {
    let (desk, now) = (desk(), Instant::now());
    let mut backoffs = EndpointBackoffs::default();
    backoffs.record_backoff(&desk, ms(1_000), now);
    let end = now + ms(1_000);
    assert_eq!(backoffs.wait(&desk, end), None);
    backoffs.record_request(&desk, end);
    assert_eq!(backoffs.wait(&desk, end), Some(ms(500)));
    // An unanswered request does not keep others back for good.
    assert_eq!(backoffs.wait(&desk, end + ms(500)), None);
    backoffs.record_answer(&desk, end + ms(100));
    assert_eq!(backoffs.wait(&desk, end + ms(100)), None);
}

/// Guards against a pause that outlives its process, and one that is lost because the process which
/// asked for it was registered later.
#[test]
fn restarted_process() {
    let (desk, now) = (desk(), Instant::now());
    let mut backoffs = EndpointBackoffs::default();
    backoffs.record_backoff(&desk, ms(60_000), now);
    backoffs.record_restart(&desk, now + ms(500));
    assert_eq!(backoffs.wait(&desk, now + ms(500)), Some(ms(59_500)));
    backoffs.record_restart(&desk, now + ms(4_000));
    assert_eq!(backoffs.wait(&desk, now + ms(4_000)), None);
}

/// Guards against an answer to an earlier request that ends a pause.
#[test]
fn early_answer() {
    let (desk, now) = (desk(), Instant::now());
    let mut backoffs = EndpointBackoffs::default();
    backoffs.record_backoff(&desk, ms(1_000), now);
    backoffs.record_answer(&desk, now + ms(900));
    assert_eq!(backoffs.wait(&desk, now + ms(900)), Some(ms(100)));
}

/// Guards against a table that grows without bound, or forgets a long pause for a short one.
#[test]
fn full_table() {
    let now = Instant::now();
    let settings = BackoffSettings {
        max_endpoints: 3,
        ..BackoffSettings::default()
    };
    let mut backoffs = EndpointBackoffs::new(settings);
    for pause in [400_u64, 900, 100, 700, 800] {
        let endpoint = EndpointId::from(format!("desk-{pause}"));
        backoffs.record_backoff(&endpoint, ms(pause), now);
    }
    assert_eq!(backoffs.len(now), 3);
    let ids: Vec<&str> = ["desk-900", "desk-800", "desk-700"].into();
    for id in ids {
        assert!(backoffs.wait(&id.into(), now).is_some(), "{id}");
    }
}

/// One step of an arbitrary history.
#[derive(Debug, TypeGenerator)]
enum BackoffStep {
    Ask { endpoint: u8, pause_ms: u16 },
    Restart { endpoint: u8 },
    Send { endpoint: u8 },
    Answer { endpoint: u8 },
    Wait { time_ms: u16 },
}

/// Guards against any order of answers and restarts in which an endpoint may be sent a request within a
/// pause that it asked for.
#[test]
fn arbitrary_history() {
    let lag = BackoffSettings::default().registration_lag;
    check!().with_type::<Vec<BackoffStep>>().for_each(|steps| {
        let mut backoffs = EndpointBackoffs::default();
        let mut now = Instant::now();
        // When each endpoint asked last, and the end of its longest pause.
        let mut asked: HashMap<u8, (Instant, Instant)> = HashMap::new();
        for step in steps {
            match step {
                BackoffStep::Ask { endpoint, pause_ms } => {
                    let pause = ms(u64::from(*pause_ms));
                    backoffs.record_backoff(&endpoint.to_string().into(), pause, now);
                    let entry = asked.entry(*endpoint).or_insert((now, now));
                    *entry = (now, entry.1.max(now + pause));
                }
                BackoffStep::Restart { endpoint } => {
                    backoffs.record_restart(&endpoint.to_string().into(), now);
                    asked.retain(|asking, entry| asking != endpoint || entry.0 + lag > now);
                }
                BackoffStep::Send { endpoint } => {
                    let id = EndpointId::from(endpoint.to_string());
                    let wait = backoffs.wait(&id, now);
                    if let Some((_, until)) = asked.get(endpoint)
                        && now < *until
                    {
                        assert!(wait.is_some_and(|wait| wait >= *until - now));
                    }
                    if wait.is_none() {
                        backoffs.record_request(&id, now);
                    }
                }
                BackoffStep::Answer { endpoint } => {
                    backoffs.record_answer(&endpoint.to_string().into(), now);
                }
                BackoffStep::Wait { time_ms } => now += ms(u64::from(*time_ms)),
            }
        }
    });
}
