//! Two contenders for a lease under random faults, delays and pauses.
//!
//! Guards against two holders at the same time, and against an action with an outdated fencing
//! number.

use std::time::{Duration, Instant, SystemTime};

use bolero_generator::driver::{Options, Rng};
use bolero_generator::{ValueGenerator as _, produce};
use dandeliondeal_store::{
    LeaseAction, LeaseEvent, LeaseMachine, LeaseSettings, LeaseTime, MemoryStore, StoreFault,
};
use dandeliondeal_types::{FencingNumber, StoreError};
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const SEEDS: u64 = 400;
const STEPS_PER_SEED: usize = 400;
const FAULTS: [StoreFault; 5] = [
    StoreFault::None,
    StoreFault::Refused,
    StoreFault::AnswerLost,
    StoreFault::CallLost,
    StoreFault::Late,
];

/// Random input of one step: the kind of step and two parameters.
type Choice = (u8, u8, u8);

struct Contender {
    machine: LeaseMachine,
    call: Option<LeaseAction>,
    answer: Option<LeaseEvent>,
}

struct ContenderPair {
    store: MemoryStore,
    start: Instant,
    elapsed: Duration,
    contenders: Vec<Contender>,
    is_faulty: bool,
    /// Index of the contender that cannot reach the platform.
    offline: Option<usize>,
    highest_fencing_number: FencingNumber,
    action_count: usize,
}

fn new_contender(name: &str) -> Contender {
    let settings = LeaseSettings {
        instance: name.into(),
        ..LeaseSettings::default()
    };
    Contender {
        machine: LeaseMachine::new(settings).expect("chart"),
        call: None,
        answer: None,
    }
}

impl ContenderPair {
    /// Creates a pair; unless `is_faulty` is set, disconnection is the only platform fault.
    fn new(is_faulty: bool) -> Self {
        Self {
            store: MemoryStore::default(),
            start: Instant::now(),
            elapsed: Duration::ZERO,
            contenders: vec![new_contender("a"), new_contender("b")],
            is_faulty,
            offline: None,
            highest_fencing_number: 0,
            action_count: 0,
        }
    }

    fn time(&self) -> LeaseTime {
        LeaseTime {
            now: self.start + self.elapsed,
            wall: SystemTime::UNIX_EPOCH + self.elapsed,
        }
    }

    fn apply_choice(&mut self, (kind, first, second): Choice) -> Result<(), String> {
        let index = usize::from(first) % 2;
        match kind % 24 {
            0..=8 => self.step(index),
            9..=12 => self.elapsed += Duration::from_millis(u64::from(second) * 2),
            13 if second < 20 => self.elapsed += Duration::from_secs(12),
            14 if self.is_faulty => self
                .store
                .add_faults([FAULTS[usize::from(second) % FAULTS.len()]]),
            15 if second < 64 => {
                self.store.apply_late_writes();
            }
            16 if second < 64 => self.offline = [None, Some(0), Some(1)][usize::from(second) % 3],
            _ => return self.act_as_holder(index),
        }
        Ok(())
    }

    /// Executes a pending call, or hands the contender its answer or a tick.
    ///
    /// A call and its answer take two steps, so that time can pass between them.
    fn step(&mut self, index: usize) {
        let time = self.time();
        let contender = &mut self.contenders[index];
        if let Some(call) = contender.call.take() {
            contender.answer = Some(match call {
                LeaseAction::Get(_) if self.offline == Some(index) => {
                    LeaseEvent::Read(Err(offline_error()))
                }
                LeaseAction::Put { .. } if self.offline == Some(index) => {
                    LeaseEvent::Written(Err(offline_error()))
                }
                LeaseAction::Get(name) => LeaseEvent::Read(self.store.get_now(&name)),
                LeaseAction::Put {
                    name,
                    condition,
                    body,
                } => LeaseEvent::Written(self.store.put_now(&name, condition, body)),
            });
            return;
        }
        let event = contender.answer.take().unwrap_or(LeaseEvent::Tick);
        if let Some(call) = contender.machine.handle(event, time) {
            contender.call = Some(call);
        }
    }

    /// Acts as a holder does: reads the fencing number and acts immediately.
    fn act_as_holder(&mut self, index: usize) -> Result<(), String> {
        let time = self.time();
        let Some(fencing_number) = self.contenders[index].machine.fencing_number(time) else {
            return Ok(());
        };
        if fencing_number < self.highest_fencing_number {
            return Err(format!(
                "acted with fencing number {fencing_number} after {}",
                self.highest_fencing_number
            ));
        }
        let other_fencing_number = self.contenders[1 - index].machine.fencing_number(time);
        if other_fencing_number.is_some() {
            return Err(format!(
                "both contenders hold the lease: {fencing_number} and {other_fencing_number:?}"
            ));
        }
        self.highest_fencing_number = fencing_number;
        self.action_count += 1;
        Ok(())
    }
}

fn offline_error() -> StoreError {
    StoreError::Unavailable {
        name: "leases/orders".into(),
        reason: "offline".into(),
    }
}

fn random_choices(seed: u64) -> Vec<Choice> {
    let options = Options::default();
    let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
    let generator = produce::<Vec<Choice>>().with().len(STEPS_PER_SEED);
    generator.generate(&mut driver).expect("random input")
}

#[test]
fn single_holder() {
    let mut action_count = 0;
    for seed in 0..SEEDS {
        let mut pair = ContenderPair::new(seed % 2 == 0);
        for choice in random_choices(seed) {
            pair.apply_choice(choice)
                .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        }
        action_count += pair.action_count;
    }
    assert!(action_count as u64 > SEEDS, "only {action_count} actions");
}

#[test]
fn paused_holder() {
    let mut pair = ContenderPair::new(false);
    for _step in 0..6 {
        pair.step(0);
    }
    let time = pair.time();
    assert!(pair.contenders[0].machine.fencing_number(time).is_some());
    pair.elapsed += Duration::from_secs(3);
    let time = pair.time();
    let fencing_number = pair.contenders[0].machine.fencing_number(time);
    assert_eq!(
        fencing_number, None,
        "a pause within the term requires a new read"
    );
    for _step in 0..6 {
        pair.step(0);
    }
    let time = pair.time();
    assert!(pair.contenders[0].machine.fencing_number(time).is_some());
}

// Guards against a holder that never holds the lease again after its term ended while it was paused
// or cut off: it read its own last write, and took the ended term for a current one.
#[test]
fn lapsed_holder() {
    for gap in [Duration::from_secs(12), Duration::from_secs(1)] {
        let mut pair = ContenderPair::new(false);
        for _step in 0..6 {
            pair.step(0);
        }
        pair.offline = Some(0);
        // The longer gap is a pause; in steps of the shorter one the renewals fail.
        while pair.elapsed < Duration::from_secs(12) {
            pair.elapsed += gap;
            pair.step(0);
            pair.step(0);
        }
        let time = pair.time();
        assert_eq!(pair.contenders[0].machine.fencing_number(time), None);
        pair.offline = None;
        let mut held = 0;
        for _step in 0..40 {
            pair.elapsed += Duration::from_millis(500);
            pair.step(0);
            let time = pair.time();
            held += u32::from(pair.contenders[0].machine.fencing_number(time).is_some());
        }
        // A renewal interval until the next read, then the calls.
        assert!(
            held > 25,
            "held in {held} of 40 steps after gaps of {gap:?}"
        );
    }
}

#[test]
fn suspended_holder() {
    let mut pair = ContenderPair::new(false);
    for _step in 0..6 {
        pair.step(0);
    }
    let mut time = pair.time();
    time.wall += Duration::from_mins(1);
    assert_eq!(pair.contenders[0].machine.fencing_number(time), None);
}

#[test]
fn released_lease() {
    let mut pair = ContenderPair::new(false);
    for _step in 0..6 {
        pair.step(0);
    }
    let time = pair.time();
    pair.contenders[0].call = pair.contenders[0].machine.handle(LeaseEvent::Release, time);
    pair.step(0);
    for _step in 0..6 {
        pair.step(1);
    }
    assert!(pair.contenders[1].machine.fencing_number(time).is_some());
}
