//! When an instance believes that its links are lost, and when that they are back.

use std::time::{Duration, Instant};

use bolero_generator::TypeGenerator;
use dandeliondeal_relay::link_state::{LinkChange, LinkState};

fn step(now: &mut Instant, time_ms: u64) -> Instant {
    *now += Duration::from_millis(time_ms);
    *now
}

/// Guards against a loss that is noticed late, and against one that is believed for a single endpoint.
#[test]
fn lost_and_restored() {
    let mut now = Instant::now();
    let mut state = LinkState::default();
    assert!(!state.is_probe_due(false, now));
    assert!(state.is_probe_due(true, now));
    state.record_probe(now);
    assert_eq!(state.record_result(3, 1, now), None);
    assert!(!state.is_probe_due(true, step(&mut now, 100)));
    assert!(state.is_probe_due(true, step(&mut now, 300)));
    state.record_probe(now);
    assert_eq!(state.record_result(3, 0, now), Some(LinkChange::Lost));
    assert!(state.is_lost());
    // Lost links are probed without a request that waits for them.
    assert!(state.is_probe_due(false, step(&mut now, 250)));
}

/// Guards against links that count as restored and lost by turns.
#[test]
fn single_connection() {
    let mut now = Instant::now();
    let mut state = LinkState::default();
    state.record_result(3, 0, now);
    for _ in 0..5 {
        assert_eq!(state.record_result(3, 1, step(&mut now, 250)), None);
        assert_eq!(state.record_result(3, 0, step(&mut now, 250)), None);
        assert!(state.is_lost());
    }
    assert_eq!(state.record_result(3, 2, step(&mut now, 250)), None);
    let change = state.record_result(3, 2, step(&mut now, 250));
    assert_eq!(change, Some(LinkChange::Restored(Duration::from_secs(3))));
    assert!(!state.is_lost());
}

/// Guards against a service without endpoints that counts as unreachable.
#[test]
fn no_endpoints() {
    let mut state = LinkState::default();
    assert_eq!(state.record_result(0, 0, Instant::now()), None);
    assert!(!state.is_lost());
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct GeneratedProbe {
    tried: u8,
    connected: u8,
}

/// Guards against a state that does not follow from the latest probes.
#[test]
fn arbitrary_probes() {
    bolero::check!()
        .with_type::<Vec<GeneratedProbe>>()
        .for_each(|probes| {
            let mut now = Instant::now();
            let mut state = LinkState::default();
            let mut connected_in_row = 0;
            for probe in probes {
                let tried = usize::from(probe.tried % 4);
                let connected = usize::from(probe.connected % 4).min(tried);
                let was_lost = state.is_lost();
                let change = state.record_result(tried, connected, step(&mut now, 100));
                assert_eq!(change.is_some(), was_lost != state.is_lost());
                if tried == 0 {
                    assert_eq!(change, None);
                    continue;
                }
                connected_in_row = if connected > 0 {
                    connected_in_row + 1
                } else {
                    0
                };
                // A probe without a connection loses the links, two with one restore them.
                let is_lost = connected_in_row == 0 || (was_lost && connected_in_row < 2);
                assert_eq!(state.is_lost(), is_lost);
            }
        });
}
