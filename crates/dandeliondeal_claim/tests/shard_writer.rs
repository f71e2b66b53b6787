//! One key claimed by several instances, step by step.

use std::time::{Duration, Instant};

use dandeliondeal_claim::{
    ClaimAnswer, ClaimKey, ClaimOrigin, ClaimRecord, ClaimSettings, ClaimState, OutcomeRecord,
    RequestFingerprint, ShardAction, ShardEvent, ShardReply, ShardTask, ShardWriter, TicketId,
};
use dandeliondeal_store::{MemoryStore, StoreFault};
use dandeliondeal_types::{Clock as _, ManualClock, Outcome};

const WAIT: Duration = Duration::from_secs(5);

struct Bench {
    store: MemoryStore,
    clock: ManualClock,
    tickets: TicketId,
}

impl Bench {
    fn new() -> Self {
        Self {
            store: MemoryStore::default(),
            clock: ManualClock::default(),
            tickets: 0,
        }
    }

    /// Submits a task and runs the writer until it replied and no call is left.
    fn run(&mut self, writer: &mut ShardWriter, task: ShardTask) -> ShardReply {
        self.tickets += 1;
        let event = ShardEvent::Submit {
            ticket: self.tickets,
            task,
            deadline: self.clock.now() + WAIT,
        };
        let mut actions = writer.handle(event, self.clock.now());
        let mut result = None;
        loop {
            let (mut wake, mut next) = (None, None);
            for action in actions {
                match action {
                    ShardAction::Reply(ticket, reply) if ticket == self.tickets => {
                        result = Some(reply);
                    }
                    ShardAction::Wake(time) => wake = Some(time),
                    action => next = next.or(perform(&self.store, action)),
                }
            }
            let event = match (next, result) {
                (None, Some(reply)) => return reply,
                (Some(event), reply) => {
                    result = reply;
                    event
                }
                (None, None) => {
                    let wake: Instant = wake.expect("a writer that waits for something");
                    result = None;
                    self.clock.advance(wake - self.clock.now());
                    ShardEvent::Tick
                }
            };
            actions = writer.handle(event, self.clock.now());
        }
    }
}

fn perform(store: &MemoryStore, action: ShardAction) -> Option<ShardEvent> {
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

fn writer(instance: &str) -> ShardWriter {
    let settings = ClaimSettings {
        instance: instance.into(),
        segment_bytes: 600,
        retention: Duration::from_mins(1),
        ..ClaimSettings::default()
    };
    ShardWriter::new(0, settings)
}

fn claim(key: &str, request: &str, content: &str) -> ShardTask {
    let record = ClaimRecord {
        key: ClaimKey {
            organisation: "guild".into(),
            key: key.into(),
        },
        fingerprint: RequestFingerprint::of([content.as_bytes()]),
        request: request.into(),
        candidates: Vec::new(),
    };
    ShardTask::Claim(record, ClaimOrigin::Local)
}

fn outcome(request: &str, outcome: Outcome) -> ShardTask {
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
fn first_answer() {
    let (mut bench, mut first, mut second) = (Bench::new(), writer("a"), writer("b"));
    assert_eq!(
        bench.run(&mut first, claim("k", "r1", "x")),
        ShardReply::Claimed
    );
    let reply = bench.run(&mut second, claim("k", "r2", "x"));
    assert_eq!(repeat_state(&reply), Some(ClaimState::Running));
    bench.run(&mut first, outcome("r1", Outcome::Answered));
    let reply = bench.run(&mut second, ShardTask::Await("r1".into()));
    assert_eq!(repeat_state(&reply), Some(ClaimState::Answered));
    let reply = bench.run(&mut writer("c"), claim("k", "r3", "x"));
    let ShardReply::Repeat(view) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(
        view.answer.and_then(|answer| answer.body).as_deref(),
        Some("done")
    );
}

#[test]
fn other_content() {
    let (mut bench, mut first, mut second) = (Bench::new(), writer("a"), writer("b"));
    bench.run(&mut first, claim("k", "r1", "x"));
    assert_eq!(
        bench.run(&mut second, claim("k", "r2", "y")),
        ShardReply::KeyReused
    );
}

#[test]
fn disproved_claim() {
    let (mut bench, mut first, mut second) = (Bench::new(), writer("a"), writer("b"));
    bench.run(&mut first, claim("k", "r1", "x"));
    bench.run(&mut first, outcome("r1", Outcome::NotRun));
    assert_eq!(
        bench.run(&mut second, claim("k", "r2", "x")),
        ShardReply::Claimed
    );
}

#[test]
fn store_outage() {
    let (mut bench, mut first) = (Bench::new(), writer("a"));
    bench.store.add_faults([StoreFault::Refused; 100]);
    let reply = bench.run(&mut first, claim("k", "r1", "x"));
    assert!(matches!(reply, ShardReply::Unconfirmed(_)));
    assert!(
        bench.store.reads() < 20,
        "{} reads in {WAIT:?}",
        bench.store.reads()
    );
}

#[test]
fn withdrawn_claim() {
    let (mut bench, mut first, mut second) = (Bench::new(), writer("a"), writer("b"));
    bench.run(&mut first, claim("other", "r0", "x"));
    bench.store.add_faults([StoreFault::Late]);
    bench.store.add_faults([StoreFault::Refused; 200]);
    let reply = bench.run(&mut first, claim("k", "r1", "x"));
    assert!(matches!(reply, ShardReply::Unconfirmed(_)));
    bench.store.clear_faults();
    assert_eq!(bench.store.land_late(), 1);
    let reply = bench.run(&mut second, claim("k", "r2", "x"));
    assert_eq!(repeat_state(&reply), Some(ClaimState::Running));
    bench.run(&mut first, ShardTask::Look("r1".into()));
    let reply = bench.run(&mut second, ShardTask::Await("r1".into()));
    assert_eq!(repeat_state(&reply), Some(ClaimState::NotRun));
    assert_eq!(
        bench.run(&mut second, claim("k", "r2", "x")),
        ShardReply::Claimed
    );
}

#[test]
fn bounded_segments() {
    let (mut bench, mut first, mut second) = (Bench::new(), writer("a"), writer("b"));
    for number in 0..20 {
        let name = number.to_string();
        assert_eq!(
            bench.run(&mut first, claim(&name, &name, "x")),
            ShardReply::Claimed
        );
        bench.clock.advance(Duration::from_secs(10));
    }
    let names = bench.store.list_now("claims/").expect("list");
    assert!(names.iter().all(|value| value.body.len() < 1200));
    assert!(names.len() < 7, "{} segments are kept", names.len());
    let reply = bench.run(&mut second, claim("19", "r", "x"));
    assert_eq!(repeat_state(&reply), Some(ClaimState::Running));
    assert_eq!(
        bench.run(&mut second, claim("1", "r", "x")),
        ShardReply::Claimed
    );
}
