//! Admission to services whose endpoints queue short requests.

use std::time::{Duration, Instant};

use dandeliondeal_limit::{
    AdmissionGate, AdmissionRank, DemandReport, GateAction, GateRequest, GateSettings, ServiceRoom,
};

/// Places of seven endpoints.
const PLACES: f64 = 42.0;
/// Time of a call without a queue.
const CALL: Duration = Duration::from_millis(60);
const OBJECTIVE: Duration = Duration::from_millis(300);

/// Returns the share of calls with `rate` calls a second offered and `open` calls at the endpoints.
fn share(gate: &mut AdmissionGate, rate: f64, open: f64, now: Instant) -> f64 {
    let mut demand = DemandReport::default();
    demand.ranks.insert(2, rate);
    let room = ServiceRoom {
        capacity: PLACES,
        committed: open,
    };
    gate.set_news(&demand, room, || 0.5, now);
    gate.share(AdmissionRank::new(1, false), None, now)
}

/// Returns the share of twice the calls that the places serve, when the news stays the same.
fn steady_share(open: f64) -> f64 {
    let mut now = Instant::now();
    let mut gate = queueing_gate(now);
    let mut last = 1.0;
    for _ in 0..40 {
        now += Duration::from_millis(200);
        last = share(&mut gate, 1_400.0, open, now);
    }
    last
}

fn queueing_gate(now: Instant) -> AdmissionGate {
    let mut gate = AdmissionGate::new(GateSettings::default(), CALL, now);
    gate.set_queue_objective(Some(OBJECTIVE));
    gate
}

/// Guards against refusals of calls that the endpoints would answer in time from their queues.
#[test]
fn short_queues() {
    let now = Instant::now();
    let mut gate = queueing_gate(now);
    // 42 places serve 700 calls a second; 2.5 calls for each place are answered within 150 ms.
    for open in [0.0, 42.0, 84.0, 105.0] {
        let share = share(&mut gate, 700.0, open, now);
        assert!(share >= 1.0, "{open} open: {share}");
    }
}

/// Guards against queues that make every call late.
#[test]
fn long_queues() {
    // News of the same 105 open calls: what is admitted must be what ends.
    assert!((steady_share(105.0) - 0.5).abs() < 1e-3);
    // Twice as many are open; fewer must be admitted than end.
    assert!((steady_share(210.0) - 910.0 / 2_240.0).abs() < 1e-3);
}

/// Guards against a target that takes the time in the queue for the time of a call.
#[test]
fn queued_times() {
    let start = Instant::now();
    let mut gate = queueing_gate(start);
    gate.record_finished(CALL, start);
    let mut now = start;
    for _ in 0..90 {
        now += Duration::from_millis(100);
        gate.record_finished(CALL * 3, now);
    }
    assert!(share(&mut gate, 700.0, 105.0, now) >= 1.0);
    // A time is forgotten within 10 s; the endpoints may have become slower.
    for _ in 0..30 {
        now += Duration::from_millis(100);
        gate.record_finished(CALL * 5, now);
    }
    assert!(share(&mut gate, 700.0, 105.0, now) < 0.5);
}

/// Guards against a target below the places where a call takes longer than the objective.
#[test]
fn slow_calls() {
    let now = Instant::now();
    let mut gate = AdmissionGate::new(GateSettings::default(), Duration::from_millis(900), now);
    gate.set_queue_objective(Some(OBJECTIVE));
    assert!(share(&mut gate, PLACES / 0.9, PLACES, now) > 0.999);
}

/// Guards against calls that wait or are refused under calm load.
#[test]
fn calm_calls() {
    let start = Instant::now();
    let mut gate = queueing_gate(start);
    for ticket in 0..200 {
        let now = start + Duration::from_millis(10) * u32::try_from(ticket).unwrap_or(0);
        share(&mut gate, 100.0, 6.0, now);
        let request = GateRequest {
            organisation: None,
            rank: AdmissionRank::new(1, false),
            work: 1.0,
            objective_left: OBJECTIVE,
            max_retry_delay: Duration::from_secs(6),
        };
        let actions = gate.submit(ticket, request, 0.999, now);
        assert_eq!(actions, [GateAction::Admit(ticket)]);
        gate.record_finished(CALL, now + CALL);
    }
}
