//! Expected times of requests from those that have ended.

use std::time::Duration;

use dandeliondeal_limit::RunTimes;
use dandeliondeal_types::ServiceId;

/// Guards against forecasts for services of which nothing is known.
#[test]
fn unknown_service() {
    let mut times = RunTimes::default();
    let [known, other]: [ServiceId; 2] = ["known".into(), "other".into()];
    times.record(&known, 1.0, Duration::from_secs(1));
    assert_eq!(times.expected_time(&other, 1.0), None);
    times.retain(|service| *service != known);
    assert_eq!(times.expected_time(&known, 1.0), None);
}

/// Guards against forecasts that stay at the first times when a service becomes slower.
#[test]
fn slower_service() {
    let mut times = RunTimes::default();
    let service: ServiceId = "drafts".into();
    for _ in 0..20 {
        times.record(&service, 100.0, Duration::from_secs(1));
    }
    for _ in 0..200 {
        times.record(&service, 100.0, Duration::from_secs(3));
    }
    let expected_time = times.expected_time(&service, 50.0).expect("a forecast");
    let error = expected_time.as_secs_f64() - 1.5;
    assert!(error.abs() < 0.01, "{expected_time:?}");
}

/// Guards against a forecast that one request without work makes endless.
#[test]
fn no_work() {
    let mut times = RunTimes::default();
    let service: ServiceId = "drafts".into();
    times.record(&service, 0.0, Duration::from_secs(1));
    assert_eq!(times.expected_time(&service, 1.0), None);
}
