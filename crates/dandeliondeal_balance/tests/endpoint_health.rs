//! Tests endpoint health under several kinds of failure.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_balance::{
    CallResult, EndpointMonitor, EndpointProfile, FailureSignal, HealthState, MonitorSettings,
};
use dandeliondeal_types::EndpointId;
use rand::SeedableRng;
use rand::rngs::StdRng;

const CALL_TIME: Duration = Duration::from_millis(100);

struct HealthTest {
    monitor: EndpointMonitor,
    now: Instant,
}

impl HealthTest {
    fn new(endpoints: usize) -> Self {
        let now = Instant::now();
        let mut monitor =
            EndpointMonitor::new("entry-1".into(), MonitorSettings::default()).unwrap();
        monitor.replace((0..endpoints).map(profile), now);
        let mut test = Self { monitor, now };
        test.advance(Duration::from_secs(6));
        test
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.monitor.tick(self.now);
    }

    fn call(&mut self, number: usize, result: CallResult) {
        let started = self.now;
        self.monitor.record_start(&id(number), started);
        self.advance(CALL_TIME);
        self.monitor
            .record_finish(&id(number), started, result, self.now);
    }

    fn fail(&mut self, number: usize, signal: FailureSignal) {
        self.call(number, CallResult::Failed(signal));
    }

    fn state(&self, number: usize) -> HealthState {
        self.monitor.state(&id(number)).unwrap()
    }

    fn chosen_endpoints(&self, is_repeatable: bool) -> Vec<EndpointId> {
        let mut random = StdRng::seed_from_u64(7);
        let monitor = &self.monitor;
        (0..200)
            .filter_map(|_| monitor.choose("draft", is_repeatable, &mut random, self.now))
            .collect()
    }
}

fn id(number: usize) -> EndpointId {
    format!("endpoint-{number}").into()
}

fn profile(number: usize) -> EndpointProfile {
    EndpointProfile {
        id: id(number),
        group: Arc::from("draft"),
        accelerator: Arc::from("a10"),
        capacity: 4,
        link_delay: Duration::from_millis(1),
        service_time: CALL_TIME,
    }
}

#[test]
fn dead_endpoint() {
    let mut test = HealthTest::new(8);
    for _ in 0..3 {
        test.fail(0, FailureSignal::Refused);
    }
    assert_eq!(test.state(0), HealthState::Failed);
    assert!(!test.chosen_endpoints(true).contains(&id(0)));
}

#[test]
fn partial_failures() {
    let mut test = HealthTest::new(8);
    for call in 0..40 {
        match call % 10 {
            9 => test.fail(0, FailureSignal::NoAnswer),
            _ => test.call(0, CallResult::Answered),
        }
    }
    assert_eq!(test.state(0), HealthState::Suspected);
    assert!(!test.chosen_endpoints(false).contains(&id(0)));
    for _ in 0..100 {
        test.call(0, CallResult::Answered);
    }
    assert_eq!(test.state(0), HealthState::InService);
}

#[test]
fn silent_endpoint() {
    let mut test = HealthTest::new(8);
    for _ in 0..3 {
        test.monitor.record_start(&id(0), test.now);
        test.now += Duration::from_millis(1);
    }
    test.advance(Duration::from_secs(2));
    assert_eq!(test.state(0), HealthState::Failed);
}

#[test]
fn busy_endpoint() {
    let mut test = HealthTest::new(8);
    for _ in 0..50 {
        test.fail(0, FailureSignal::Busy);
    }
    assert_eq!(test.state(0), HealthState::InService);
}

#[test]
fn leaving_endpoint() {
    let mut test = HealthTest::new(2);
    test.fail(0, FailureSignal::Leaving);
    assert_eq!(test.state(0), HealthState::Leaving);
    assert!(!test.chosen_endpoints(true).contains(&id(0)));
    test.monitor.record_listing(&id(0), false, test.now);
    assert_eq!(
        test.state(0),
        HealthState::Leaving,
        "the instance list lags"
    );
    test.advance(Duration::from_secs(30));
    test.monitor.record_listing(&id(0), false, test.now);
    assert_eq!(test.state(0), HealthState::SlowStart);
}

#[test]
fn repeatable_test_only() {
    let mut test = HealthTest::new(2);
    for _ in 0..3 {
        test.fail(0, FailureSignal::Refused);
    }
    test.advance(Duration::from_secs(2));
    assert_eq!(test.state(0), HealthState::Testing);
    assert!(!test.chosen_endpoints(false).contains(&id(0)));
    test.monitor.record_start(&id(0), test.now);
    let chosen = test.chosen_endpoints(true);
    assert!(!chosen.contains(&id(0)), "one test at a time");
}

#[test]
fn failed_test_backoff() {
    let mut test = HealthTest::new(4);
    for _ in 0..3 {
        test.fail(0, FailureSignal::Refused);
    }
    test.advance(Duration::from_secs(2));
    test.fail(0, FailureSignal::NoAnswer);
    assert_eq!(test.state(0), HealthState::Failed);
    test.advance(Duration::from_secs(3));
    assert_eq!(test.state(0), HealthState::Failed, "the wait doubles");
    test.advance(Duration::from_secs(2));
    test.call(0, CallResult::Answered);
    assert_eq!(test.state(0), HealthState::SlowStart);
}

#[test]
fn late_answer() {
    let mut test = HealthTest::new(4);
    let first_start = test.now;
    test.monitor.record_start(&id(0), first_start);
    for _ in 0..3 {
        test.fail(0, FailureSignal::NoAnswer);
    }
    assert_eq!(test.state(0), HealthState::Failed);
    test.monitor
        .record_finish(&id(0), first_start, CallResult::Answered, test.now);
    assert_eq!(test.state(0), HealthState::Testing);
    assert!(!test.chosen_endpoints(false).contains(&id(0)));
}

#[test]
fn overload_failure_bound() {
    let mut test = HealthTest::new(8);
    for number in 0..8 {
        for _ in 0..5 {
            test.fail(number, FailureSignal::NoAnswer);
        }
    }
    let failed = (0..8)
        .filter(|&number| test.state(number) != HealthState::Suspected)
        .count();
    assert_eq!(failed, 4, "at most half may fail on indirect evidence");
    assert!(!test.chosen_endpoints(false).is_empty());
}
