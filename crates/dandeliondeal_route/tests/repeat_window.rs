//! Tests that the limit on repeats holds in every sliding window.

use std::time::{Duration, Instant};

use bolero_generator::TypeGenerator;
use dandeliondeal_route::{RepeatWindow, WindowSettings};

/// One step of a generated test case.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum WindowStep {
    /// Waits for this many eighths of a millisecond, rounded down to whole milliseconds.
    ///
    /// The longest wait is 8,191 ms, which is shorter than the window.
    Wait(u16),
    Request,
    Repeat,
}

#[test]
fn sliding_windows() {
    bolero::check!()
        .with_type::<Vec<WindowStep>>()
        .cloned()
        .for_each(|steps| check_repeats(&steps));
}

/// Checks the limit in each window that ends with a repeat.
///
/// Requests count over two window lengths, a loose bound on how long slots are kept.
fn check_repeats(steps: &[WindowStep]) {
    let settings = WindowSettings {
        window: Duration::from_secs(10),
        ratio: 0.5,
        slack: 2.0,
    };
    let mut window = RepeatWindow::new(settings);
    let mut now = Instant::now();
    let mut requests: Vec<Instant> = Vec::new();
    let mut repeats: Vec<Instant> = Vec::new();
    for step in steps {
        match step {
            WindowStep::Wait(delay) => now += Duration::from_millis(u64::from(*delay) / 8),
            WindowStep::Request => {
                window.record_request(now);
                requests.push(now);
            }
            WindowStep::Repeat if window.try_record_repeat(now) => {
                repeats.push(now);
                let count_within = |times: &[Instant], max_age: Duration| {
                    times.iter().filter(|time| now - **time <= max_age).count() as f64
                };
                let allowed = 0.5 * count_within(&requests, settings.window * 2) + 2.0;
                assert!(count_within(&repeats, settings.window) <= allowed);
            }
            WindowStep::Repeat => {}
        }
    }
}

#[test]
fn empty_window() {
    let mut window = RepeatWindow::new(WindowSettings::default());
    assert!(!window.try_record_repeat(Instant::now()));
}

#[test]
fn slack_only() {
    let now = Instant::now();
    let mut window = RepeatWindow::new(WindowSettings::default());
    window.set_slack(1.0);
    assert!(window.try_record_repeat(now));
    assert!(!window.try_record_repeat(now));
}
