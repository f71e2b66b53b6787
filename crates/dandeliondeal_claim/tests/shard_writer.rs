//! Claims of the same key by several instances, in fixed sequences.

use std::time::{Duration, Instant};

use dandeliondeal_claim::{
    ClaimAnswer, ClaimKey, ClaimOrigin, ClaimRecord, ClaimSettings, ClaimState, OutcomeRecord,
    RequestFingerprint, ShardAction, ShardEvent, ShardReply, ShardTask, ShardWriter, TicketId,
};
use dandeliondeal_store::{MemoryStore, StoreFault};
use dandeliondeal_types::{Clock as _, ManualClock, Outcome};

const TASK_TIMEOUT: Duration = Duration::from_secs(5);

struct TestBench {
    store: MemoryStore,
    clock: ManualClock,
    last_ticket: TicketId,
}

impl TestBench {
    fn new() -> Self {
        Self {
            store: MemoryStore::default(),
            clock: ManualClock::default(),
            last_ticket: 0,
        }
    }

    /// Submits a task and runs the writer until it has replied and has no further call.
    fn run(&mut self, writer: &mut ShardWriter, task: ShardTask) -> ShardReply {
        self.last_ticket += 1;
        let event = ShardEvent::Submit {
            ticket: self.last_ticket,
            task,
            deadline: self.clock.now() + TASK_TIMEOUT,
        };
        let mut actions = writer.handle(event, self.clock.now());
        let mut result = None;
        loop {
            let (mut wake_time, mut next_event) = (None, None);
            for action in actions {
                match action {
                    ShardAction::Reply(ticket, reply) if ticket == self.last_ticket => {
                        result = Some(reply);
                    }
                    ShardAction::Wake(time) => wake_time = Some(time),
                    action => next_event = next_event.or(execute_action(&self.store, action)),
                }
            }
            let event = match (next_event, result) {
                (None, Some(reply)) => return reply,
                (Some(event), reply) => {
                    result = reply;
                    event
                }
                (None, None) => {
                    let wake_time: Instant = wake_time.expect("the writer requests a wake-up");
                    result = None;
                    self.clock.advance(wake_time - self.clock.now());
                    ShardEvent::Tick
                }
            };
            actions = writer.handle(event, self.clock.now());
        }
    }
}

fn execute_action(store: &MemoryStore, action: ShardAction) -> Option<ShardEvent> {
    match action {
        ShardAction::List(prefix) => Some(ShardEvent::Listed(store.list_now(&prefix))),
        ShardAction::Get(name) => Some(ShardEvent::Read(store.get_now(&name))),
        ShardAction::Put(write) => Some(ShardEvent::Written(store.put_now(
            &write.name,
            write.condition,
            write.body,
        ))),
        ShardAction::Delete(name, version) => {
            Some(ShardEvent::Deleted(store.delete_now(&name, version)))
        }
        ShardAction::Reply(..) | ShardAction::Wake(_) => None,
    }
}

fn new_writer(instance: &str) -> ShardWriter {
    let settings = ClaimSettings {
        instance: instance.into(),
        segment_bytes: 600,
        retention: Duration::from_mins(1),
        ..ClaimSettings::default()
    };
    ShardWriter::new(0, settings)
}

fn claim_task(key: &str, request: &str, content: &str) -> ShardTask {
    let record = ClaimRecord {
        key: ClaimKey {
            organisation: "guild".into(),
            key: key.into(),
        },
        fingerprint: RequestFingerprint::from_parts([content.as_bytes()]),
        request: request.into(),
        candidates: Vec::new(),
    };
    ShardTask::Claim(record, ClaimOrigin::Local)
}

fn outcome_task(request: &str, outcome: Outcome) -> ShardTask {
    ShardTask::Record(OutcomeRecord {
        request: request.into(),
        outcome,
        answer: (outcome == Outcome::Answered).then(|| ClaimAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: Some("done".into()),
        }),
    })
}

fn repeat_state(reply: &ShardReply) -> Option<ClaimState> {
    match reply {
        ShardReply::Repeat(view) | ShardReply::Found(Some(view)) => Some(view.state),
        _ => None,
    }
}

#[test]
fn answer_for_retry() {
    let (mut bench, mut first, mut second) = (TestBench::new(), new_writer("a"), new_writer("b"));
    assert_eq!(
        bench.run(&mut first, claim_task("k", "r1", "x")),
        ShardReply::Claimed
    );
    let reply = bench.run(&mut second, claim_task("k", "r2", "x"));
    assert_eq!(repeat_state(&reply), Some(ClaimState::Running));
    bench.run(&mut first, outcome_task("r1", Outcome::Answered));
    let reply = bench.run(&mut second, ShardTask::Await("r1".into()));
    assert_eq!(repeat_state(&reply), Some(ClaimState::Answered));
    let reply = bench.run(&mut new_writer("c"), claim_task("k", "r3", "x"));
    let ShardReply::Repeat(view) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(
        view.answer.and_then(|answer| answer.body).as_deref(),
        Some("done")
    );
}

#[test]
fn reused_key() {
    let (mut bench, mut first, mut second) = (TestBench::new(), new_writer("a"), new_writer("b"));
    bench.run(&mut first, claim_task("k", "r1", "x"));
    assert_eq!(
        bench.run(&mut second, claim_task("k", "r2", "y")),
        ShardReply::KeyReused
    );
}

#[test]
fn reclaimed_key() {
    let (mut bench, mut first, mut second) = (TestBench::new(), new_writer("a"), new_writer("b"));
    bench.run(&mut first, claim_task("k", "r1", "x"));
    bench.run(&mut first, outcome_task("r1", Outcome::NotRun));
    assert_eq!(
        bench.run(&mut second, claim_task("k", "r2", "x")),
        ShardReply::Claimed
    );
}

#[test]
fn store_outage() {
    let (mut bench, mut first) = (TestBench::new(), new_writer("a"));
    bench.store.add_faults([StoreFault::Refused; 100]);
    let reply = bench.run(&mut first, claim_task("k", "r1", "x"));
    assert!(matches!(reply, ShardReply::Unconfirmed(_)));
    assert!(
        bench.store.reads() < 20,
        "{} reads in {TASK_TIMEOUT:?}",
        bench.store.reads()
    );
}

#[test]
fn withdrawn_claim() {
    let (mut bench, mut first, mut second) = (TestBench::new(), new_writer("a"), new_writer("b"));
    bench.run(&mut first, claim_task("other", "r0", "x"));
    bench.store.add_faults([StoreFault::Late]);
    bench.store.add_faults([StoreFault::Refused; 200]);
    let reply = bench.run(&mut first, claim_task("k", "r1", "x"));
    assert!(matches!(reply, ShardReply::Unconfirmed(_)));
    bench.store.clear_faults();
    assert_eq!(bench.store.apply_late_writes(), 1);
    let reply = bench.run(&mut second, claim_task("k", "r2", "x"));
    assert_eq!(repeat_state(&reply), Some(ClaimState::Running));
    bench.run(&mut first, ShardTask::Find("r1".into()));
    let reply = bench.run(&mut second, ShardTask::Await("r1".into()));
    assert_eq!(repeat_state(&reply), Some(ClaimState::NotRun));
    assert_eq!(
        bench.run(&mut second, claim_task("k", "r2", "x")),
        ShardReply::Claimed
    );
}

#[test]
fn bounded_segments() {
    let (mut bench, mut first, mut second) = (TestBench::new(), new_writer("a"), new_writer("b"));
    for number in 0..20 {
        let name = number.to_string();
        assert_eq!(
            bench.run(&mut first, claim_task(&name, &name, "x")),
            ShardReply::Claimed
        );
        bench.clock.advance(Duration::from_secs(10));
    }
    let segments = bench.store.list_now("claims/").expect("list");
    assert!(segments.iter().all(|value| value.body.len() < 1200));
    assert!(segments.len() < 7, "{} segments remain", segments.len());
    let reply = bench.run(&mut second, claim_task("19", "r", "x"));
    assert_eq!(repeat_state(&reply), Some(ClaimState::Running));
    assert_eq!(
        bench.run(&mut second, claim_task("1", "r", "x")),
        ShardReply::Claimed
    );
}
