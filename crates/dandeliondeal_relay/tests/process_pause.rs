//! A process that was paused does not rely on what held before the pause.

use std::time::Duration;

use dandeliondeal_config::{AllowanceSettings, RouterSettings};
use dandeliondeal_limit::SenderShare;
use dandeliondeal_relay::RelayContext;
use dandeliondeal_relay::instance_registry::PeerInstance;
use dandeliondeal_types::{Clock as _, EndpointId, ManualClock};

const PAUSE: Duration = Duration::from_secs(5);

fn context(clock: &ManualClock) -> RelayContext<ManualClock, ()> {
    let settings = RouterSettings {
        allowances: AllowanceSettings {
            repeat_slack: 60.0,
            ..AllowanceSettings::default()
        },
        ..RouterSettings::default()
    };
    let context = RelayContext::new(settings, clock.clone(), (), 1).expect("valid charts");
    context.check_pause();
    context
}

/// Returns a context that knows of an endpoint with a limit of one request a second.
fn limited_context(clock: &ManualClock) -> (RelayContext<ManualClock, ()>, EndpointId) {
    let context = context(clock);
    let endpoint = EndpointId::from("desk-1");
    let share = || SenderShare {
        rank: 0,
        instances: 1,
    };
    let mut rates = context.rates().borrow_mut();
    rates.record_limit(&endpoint, 1.0, clock.now(), share);
    drop(rates);
    (context, endpoint)
}

fn peers(count: usize) -> Vec<PeerInstance> {
    let peer = |index| PeerInstance {
        id: format!("router-{index}").as_str().into(),
        address: ([127, 0, 0, 1], 8_000).into(),
        handover: None,
        failure_domain: "didube".into(),
        processor_milli: None,
    };
    (0..count).map(peer).collect()
}

/// Returns the number of repeats that the budget allows at once.
/// Lets the window of repeats pass without a pause.
fn run_for_window(clock: &ManualClock, contexts: &[&RelayContext<ManualClock, ()>]) {
    for _ in 0..20 {
        clock.advance(AllowanceSettings::default().repeat_window / 20);
        for context in contexts {
            context.check_pause();
        }
    }
}

/// Counts requests until the budget holds all that it can save, then takes what it holds.
fn repeats(context: &RelayContext<ManualClock, ()>) -> usize {
    for _ in 0..1_000 {
        context.count_request(&"desk".into());
    }
    (0..100)
        .take_while(|_| context.acquire_repeat(&"desk".into(), "answer"))
        .count()
}

// Guards against requests beyond the limit that an endpoint states: during a pause its statements
// are not read, and the limit counted as ended.
#[test]
fn stated_limit() {
    let clock = ManualClock::default();
    let (context, endpoint) = limited_context(&clock);
    clock.advance(PAUSE);
    let mut sent = 0;
    while sent < 100
        && context.rates().borrow().wait(&endpoint, clock.now()) == Some(Duration::ZERO)
    {
        let mut rates = context.rates().borrow_mut();
        rates.record_request(&endpoint, clock.now());
        sent += 1;
    }
    assert!((1..=2).contains(&sent), "{sent} requests at once");
}

// Guards against a limit that never ends because it is renewed without a pause.
#[test]
fn ended_limit() {
    let clock = ManualClock::default();
    let (context, endpoint) = limited_context(&clock);
    for _ in 0..20 {
        clock.advance(PAUSE / 20);
        context.check_pause();
    }
    assert_eq!(context.rates().borrow().limit(&endpoint, clock.now()), None);
}

// Guards against repeats beyond the shared slack: during the pause, other instances started and took
// their parts of it.
#[test]
fn repeat_slack() {
    let clock = ManualClock::default();
    let paused = context(&clock);
    paused.set_peers(peers(1));
    run_for_window(&clock, &[&paused]);
    clock.advance(PAUSE);
    let started = context(&clock);
    run_for_window(&clock, &[&paused, &started]);
    started.set_peers(peers(2));
    let total = repeats(&paused) + repeats(&started);
    assert!(total <= 60, "{total} repeats");
    paused.set_peers(peers(2));
    assert!(repeats(&paused) > 1);
}
