//! Several instances claim the same keys under random platform faults, delays and restarts.
//!
//! Guards against a key whose requests run twice, and against a caller that is told that a request
//! did not run although it did.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bolero_generator::driver::{Options, Rng};
use bolero_generator::{ValueGenerator as _, produce};
use dandeliondeal_claim::{
    ClaimAnswer, ClaimKey, ClaimOrigin, ClaimRecord, ClaimSettings, ClaimState, OutcomeRecord,
    RequestFingerprint, ShardAction, ShardEvent, ShardReply, ShardTask, ShardWriter, TicketId,
};
use dandeliondeal_store::{MemoryStore, StoreFault};
use dandeliondeal_types::{Clock as _, ManualClock, Outcome};
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const SEEDS: u64 = 400;
const STEPS_PER_SEED: usize = 300;
const INSTANCES: usize = 3;
const KEYS: u8 = 3;
const FAULTS: [StoreFault; 5] = [
    StoreFault::None,
    StoreFault::Refused,
    StoreFault::AnswerLost,
    StoreFault::CallLost,
    StoreFault::Late,
];

/// Random input of one step: the kind of step and two parameters.
type Choice = (u8, u8, u8);

struct Instance {
    writer: ShardWriter,
    /// Platform calls that have not been executed yet.
    calls: Vec<ShardAction>,
    requests: BTreeMap<TicketId, (u8, String)>,
}

#[derive(Default)]
struct Ledger {
    /// Requests that ran, by key.
    ran: BTreeMap<u8, BTreeSet<String>>,
    /// Requests that were reported to their callers as not run.
    not_run: BTreeSet<String>,
}

struct Fleet {
    store: MemoryStore,
    clock: ManualClock,
    instances: Vec<Instance>,
    last_ticket: TicketId,
    ledger: Ledger,
}

fn new_instance(name: usize, incarnation: u64) -> Instance {
    let settings = ClaimSettings {
        instance: format!("entry-{name}").into(),
        incarnation,
        segment_bytes: 700,
        ..ClaimSettings::default()
    };
    Instance {
        writer: ShardWriter::new(0, settings),
        calls: Vec::new(),
        requests: BTreeMap::new(),
    }
}

fn claim_task(key: u8, request: &str) -> ShardTask {
    let record = ClaimRecord {
        key: ClaimKey {
            organisation: "guild".into(),
            key: key.to_string().into(),
        },
        fingerprint: RequestFingerprint::from_parts([[key].as_slice()]),
        request: request.into(),
        candidates: Vec::new(),
    };
    ShardTask::Claim(record, ClaimOrigin::Local)
}

impl Fleet {
    fn new() -> Self {
        Self {
            store: MemoryStore::default(),
            clock: ManualClock::default(),
            instances: (0..INSTANCES).map(|name| new_instance(name, 0)).collect(),
            last_ticket: 0,
            ledger: Ledger::default(),
        }
    }

    fn apply_choice(&mut self, (kind, first, second): Choice) {
        let index = usize::from(first) % INSTANCES;
        match kind % 16 {
            0..=3 => self.submit_claim(index, second % KEYS),
            4..=10 => self.execute_call(index, usize::from(second)),
            11 => self
                .clock
                .advance(Duration::from_millis(u64::from(second) * 20)),
            12 => self
                .store
                .add_faults([FAULTS[usize::from(second) % FAULTS.len()]]),
            13 => {
                self.store.apply_late_writes();
            }
            14 if second < 64 => self.instances[index] = new_instance(index, u64::from(second) + 1),
            _ => self.handle(index, ShardEvent::Tick),
        }
    }

    fn submit_claim(&mut self, index: usize, key: u8) {
        let request = format!("r{}", self.last_ticket);
        let task = claim_task(key, &request);
        let keyed_request = (key, request);
        self.instances[index]
            .requests
            .insert(self.last_ticket + 1, keyed_request);
        self.submit(index, task);
    }

    fn submit(&mut self, index: usize, task: ShardTask) {
        self.last_ticket += 1;
        let event = ShardEvent::Submit {
            ticket: self.last_ticket,
            task,
            deadline: self.clock.now() + Duration::from_secs(2),
        };
        self.handle(index, event);
    }

    fn execute_call(&mut self, index: usize, choice: usize) {
        let calls = &mut self.instances[index].calls;
        if calls.is_empty() {
            return;
        }
        let call = calls.remove(choice % calls.len());
        let event = match call {
            ShardAction::List(prefix) => ShardEvent::Listed(self.store.list_now(&prefix)),
            ShardAction::Get(name) => ShardEvent::Read(self.store.get_now(&name)),
            ShardAction::Put(write) => {
                let result = self.store.put_now(&write.name, write.condition, write.body);
                ShardEvent::Written(result)
            }
            ShardAction::Delete(name, version) => {
                ShardEvent::Deleted(self.store.delete_now(&name, version))
            }
            ShardAction::Reply(..) | ShardAction::Wake(_) => return,
        };
        self.handle(index, event);
    }

    fn handle(&mut self, index: usize, event: ShardEvent) {
        let now = self.clock.now();
        for action in self.instances[index].writer.handle(event, now) {
            match action {
                ShardAction::Reply(ticket, reply) => self.handle_reply(index, ticket, &reply),
                ShardAction::Wake(_) => {}
                call => self.instances[index].calls.push(call),
            }
        }
    }

    /// Handles a reply as an entry instance does: a claimed request is dispatched.
    fn handle_reply(&mut self, index: usize, ticket: TicketId, reply: &ShardReply) {
        let Some((key, request)) = self.instances[index].requests.remove(&ticket) else {
            return;
        };
        match reply {
            ShardReply::Claimed => self.dispatch(index, key, &request),
            ShardReply::Repeat(_)
            | ShardReply::KeyReused
            | ShardReply::Withdrawn
            | ShardReply::Unconfirmed(_) => {
                self.ledger.not_run.insert(request);
            }
            ShardReply::Recorded | ShardReply::Found(_) => {}
        }
    }

    fn dispatch(&mut self, index: usize, key: u8, request: &str) {
        let is_refused = self.last_ticket.is_multiple_of(4);
        if !is_refused {
            self.ledger
                .ran
                .entry(key)
                .or_default()
                .insert(request.to_owned());
        }
        let record = OutcomeRecord {
            request: request.into(),
            outcome: if is_refused {
                Outcome::NotRun
            } else {
                Outcome::Answered
            },
            answer: (!is_refused).then(|| ClaimAnswer {
                status: 200,
                content_type: "text/plain".into(),
                body: Some(request.into()),
            }),
        };
        self.submit(index, ShardTask::Record(record));
    }

    fn check_ledger(&self) -> Result<(), String> {
        for (key, ran) in &self.ledger.ran {
            if ran.len() > 1 {
                return Err(format!("key {key} ran {ran:?}"));
            }
            if let Some(request) = ran.intersection(&self.ledger.not_run).next() {
                return Err(format!("{request} ran but was reported as not run"));
            }
        }
        Ok(())
    }

    /// Runs without faults until no task is pending, and checks the resulting log.
    fn settle_tasks(&mut self) -> Result<(), String> {
        self.store.clear_faults();
        for _round in 0..200 {
            self.clock.advance(Duration::from_millis(500));
            for index in 0..INSTANCES {
                self.handle(index, ShardEvent::Tick);
                self.execute_call(index, 0);
            }
            self.store.apply_late_writes();
        }
        for instance in &self.instances {
            if instance.writer.backlog() > 0 {
                return Err(format!(
                    "{} tasks are still pending",
                    instance.writer.backlog()
                ));
            }
        }
        self.check_log()
    }

    fn check_log(&mut self) -> Result<(), String> {
        let mut reader = new_instance(INSTANCES, 0);
        let values = self
            .store
            .list_now("claims/")
            .map_err(|error| error.to_string())?;
        let event = ShardEvent::Submit {
            ticket: 0,
            task: ShardTask::Find("none".into()),
            deadline: self.clock.now() + Duration::from_secs(9),
        };
        reader.writer.handle(event, self.clock.now());
        reader
            .writer
            .handle(ShardEvent::Listed(Ok(values)), self.clock.now());
        for request in self.ledger.ran.values().flatten() {
            let view = reader.writer.log().table().view(&request.as_str().into());
            let state = view.map(|view| view.state);
            if !matches!(state, Some(ClaimState::Answered | ClaimState::Running)) {
                return Err(format!(
                    "{request} ran but its state in the log is {state:?}"
                ));
            }
        }
        Ok(())
    }
}

fn random_choices(seed: u64) -> Vec<Choice> {
    let options = Options::default()
        .with_max_len(STEPS_PER_SEED * 8)
        .with_max_depth(8);
    let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
    let generator = produce::<Vec<Choice>>().with().len(STEPS_PER_SEED);
    generator
        .generate(&mut driver)
        .expect("enough random input")
}

#[test]
fn random_claims() {
    let mut ran = 0;
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new();
        for choice in random_choices(seed) {
            fleet.apply_choice(choice);
            fleet
                .check_ledger()
                .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        }
        fleet
            .settle_tasks()
            .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        ran += fleet.ledger.ran.len();
    }
    assert!(ran as u64 > SEEDS, "only {ran} requests ran");
}
