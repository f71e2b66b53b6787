//! The bound on repeats holds in every sliding window.

use std::time::{Duration, Instant};

use bolero_generator::TypeGenerator;
use dandeliondeal_route::{RetryWindow, WindowSettings};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum WindowStep {
    Wait(u16),
    Request,
    Repeat,
}

#[test]
fn sliding_windows() {
    bolero::check!()
        .with_type::<Vec<WindowStep>>()
        .cloned()
        .for_each(|steps| check(&steps));
}

/// Counts repeats and requests of each window that ends with a repeat. Requests count from one
/// window before, as the bound allows.
fn check(steps: &[WindowStep]) {
    let settings = WindowSettings {
        window: Duration::from_secs(10),
        ratio: 0.5,
        slack: 2.0,
    };
    let mut window = RetryWindow::new(settings);
    let mut now = Instant::now();
    let mut requests: Vec<Instant> = Vec::new();
    let mut repeats: Vec<Instant> = Vec::new();
    for step in steps {
        match step {
            WindowStep::Wait(time) => now += Duration::from_millis(u64::from(*time) / 8),
            WindowStep::Request => {
                window.request(now);
                requests.push(now);
            }
            WindowStep::Repeat if window.take(now) => {
                repeats.push(now);
                let within = |times: &[Instant], reach: Duration| {
                    times.iter().filter(|time| now - **time <= reach).count() as f64
                };
                let allowed = 0.5 * within(&requests, settings.window * 2) + 2.0;
                assert!(within(&repeats, settings.window) <= allowed);
            }
            WindowStep::Repeat => {}
        }
    }
}

#[test]
fn fresh_start() {
    let mut window = RetryWindow::new(WindowSettings::default());
    assert!(!window.take(Instant::now()));
}

#[test]
fn shared_slack() {
    let now = Instant::now();
    let mut window = RetryWindow::new(WindowSettings::default());
    window.set_slack(1.0);
    assert!(window.take(now));
    assert!(!window.take(now));
}
