//! Tests fair shares, deadlines and bounds of the admission queue.

use std::time::{Duration, Instant};

use dandeliondeal_limit::{
    AdmissionAction, AdmissionQueue, AdmissionSettings, QueuedRequest, RefusalReason,
};

const SERVICE: Duration = Duration::from_millis(100);

struct QueueTest {
    queue: AdmissionQueue,
    now: Instant,
    next_ticket: u64,
    running: Vec<u64>,
    refused: Vec<(u64, RefusalReason)>,
}

impl QueueTest {
    fn new(max_running: u32) -> Self {
        let now = Instant::now();
        let settings = AdmissionSettings {
            max_running,
            max_organisation_waiting: 50,
            max_waiting: 80,
        };
        Self {
            queue: AdmissionQueue::new(settings, now),
            now,
            next_ticket: 0,
            running: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn submit(&mut self, organisation: &str, deadline: Duration) -> u64 {
        self.submit_with(organisation, deadline, 0, 1)
    }

    fn submit_with(
        &mut self,
        organisation: &str,
        deadline: Duration,
        priority: u8,
        weight: u32,
    ) -> u64 {
        self.next_ticket += 1;
        let request = QueuedRequest {
            organisation: organisation.into(),
            weight,
            cost: 1.0,
            priority,
            deadline: self.now + deadline,
        };
        let actions = self.queue.submit(self.next_ticket, request, self.now);
        self.apply(actions);
        self.next_ticket
    }

    fn apply(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Dispatch(ticket) => self.running.push(ticket),
                AdmissionAction::Refuse { ticket, reason, .. } => {
                    self.refused.push((ticket, reason));
                }
            }
        }
    }

    /// Finishes all running requests after one service time and returns their tickets.
    fn finish_round(&mut self) -> Vec<u64> {
        self.now += SERVICE;
        let ended = std::mem::take(&mut self.running);
        for &ticket in &ended {
            let actions = self.queue.finish(ticket, None, self.now);
            self.apply(actions);
        }
        ended
    }
}

#[test]
fn burst_isolation() {
    let mut test = QueueTest::new(1);
    for _ in 0..40 {
        test.submit("large", Duration::from_mins(1));
    }
    let small = test.submit("small", Duration::from_mins(1));
    let rounds = (0..40).position(|_| test.finish_round().contains(&small));
    assert!(rounds.is_some_and(|rounds| rounds <= 2), "{rounds:?}");
}

#[test]
fn weighted_shares() {
    let mut test = QueueTest::new(1);
    let mut heavy = Vec::new();
    for _ in 0..40 {
        heavy.push(test.submit_with("heavy", Duration::from_mins(1), 0, 3));
        test.submit_with("light", Duration::from_mins(1), 0, 1);
    }
    let served: Vec<u64> = (0..40).flat_map(|_| test.finish_round()).collect();
    let count = served
        .iter()
        .filter(|ticket| heavy.contains(ticket))
        .count();
    assert!((28..=32).contains(&count), "{count} of 40");
}

#[test]
fn priority_order() {
    let mut test = QueueTest::new(1);
    test.submit("a", Duration::from_mins(1));
    test.submit_with("a", Duration::from_mins(1), 0, 1);
    let urgent = test.submit_with("a", Duration::from_mins(1), 5, 1);
    test.finish_round();
    assert_eq!(test.running, [urgent]);
}

#[test]
fn early_refusal() {
    let mut test = QueueTest::new(1);
    for _ in 0..3 {
        test.submit("a", Duration::from_mins(1));
    }
    test.finish_round();
    test.finish_round();
    for _ in 0..20 {
        test.submit("a", Duration::from_mins(1));
    }
    let late = test.submit("a", Duration::from_millis(300));
    assert_eq!(
        test.refused,
        [(late, RefusalReason::DeadlineMissed)],
        "refused at arrival"
    );
}

#[test]
fn expired_not_dispatched() {
    let mut test = QueueTest::new(1);
    test.submit("a", Duration::from_mins(1));
    let expiring = test.submit("b", Duration::from_millis(50));
    test.finish_round();
    assert!(!test.running.contains(&expiring));
    assert_eq!(test.refused, [(expiring, RefusalReason::DeadlineMissed)]);
}

#[test]
fn expired_refused() {
    let mut test = QueueTest::new(1);
    test.submit("a", Duration::from_mins(1));
    let expiring = test.submit("b", Duration::from_millis(50));
    let actions = test.queue.tick(test.now + Duration::from_millis(60));
    test.apply(actions);
    assert_eq!(test.refused, [(expiring, RefusalReason::DeadlineMissed)]);
}

#[test]
fn bounded_queue() {
    let mut test = QueueTest::new(1);
    for _ in 0..200 {
        test.submit("a", Duration::from_mins(1));
    }
    for number in 0..200 {
        test.submit(&format!("small-{number}"), Duration::from_mins(1));
    }
    assert_eq!(test.queue.waiting(), 80);
    let first = test.refused.first();
    assert_eq!(
        first.map(|refused| refused.1),
        Some(RefusalReason::QueueFull)
    );
}

#[test]
fn cancelled_request() {
    let mut test = QueueTest::new(1);
    test.submit("a", Duration::from_mins(1));
    let cancelled = test.submit("a", Duration::from_mins(1));
    test.queue.cancel(&"a".into(), cancelled);
    test.finish_round();
    assert!(test.running.is_empty());
    assert_eq!(test.queue.waiting(), 0);
}
