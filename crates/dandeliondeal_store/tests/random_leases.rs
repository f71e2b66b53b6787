//! Two contenders for a lease under random faults, delays and pauses.

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
const STEPS: usize = 400;
const FAULTS: [StoreFault; 5] = [
    StoreFault::None,
    StoreFault::Refused,
    StoreFault::AnswerLost,
    StoreFault::CallLost,
    StoreFault::Late,
];

type Choice = (u8, u8, u8);

struct Contender {
    machine: LeaseMachine,
    call: Option<LeaseAction>,
    answer: Option<LeaseEvent>,
}

struct Pair {
    store: MemoryStore,
    start: Instant,
    elapsed: Duration,
    contenders: Vec<Contender>,
    is_faulty: bool,
    /// The contender that the platform does not answer.
    cut: Option<usize>,
    highest: FencingNumber,
    acts: usize,
}

fn contender(name: &str) -> Contender {
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

impl Pair {
    /// A pair whose platform loses answers, or only cuts one of them off.
    fn new(is_faulty: bool) -> Self {
        Self {
            store: MemoryStore::default(),
            start: Instant::now(),
            elapsed: Duration::ZERO,
            contenders: vec![contender("a"), contender("b")],
            is_faulty,
            cut: None,
            highest: 0,
            acts: 0,
        }
    }

    fn time(&self) -> LeaseTime {
        LeaseTime {
            now: self.start + self.elapsed,
            wall: SystemTime::UNIX_EPOCH + self.elapsed,
        }
    }

    fn act(&mut self, (kind, first, second): Choice) -> Result<(), String> {
        let index = usize::from(first) % 2;
        match kind % 24 {
            0..=8 => self.step(index),
            9..=12 => self.elapsed += Duration::from_millis(u64::from(second) * 2),
            13 if second < 20 => self.elapsed += Duration::from_secs(12),
            14 if self.is_faulty => self
                .store
                .add_faults([FAULTS[usize::from(second) % FAULTS.len()]]),
            15 if second < 64 => {
                self.store.land_late();
            }
            16 if second < 64 => self.cut = [None, Some(0), Some(1)][usize::from(second) % 3],
            _ => return self.order(index),
        }
        Ok(())
    }

    /// Hands over an answer, makes a call, or lets time be seen; each at a moment of its own.
    fn step(&mut self, index: usize) {
        let time = self.time();
        let contender = &mut self.contenders[index];
        if let Some(call) = contender.call.take() {
            contender.answer = Some(match call {
                LeaseAction::Get(_) if self.cut == Some(index) => LeaseEvent::Read(Err(refused())),
                LeaseAction::Put { .. } if self.cut == Some(index) => {
                    LeaseEvent::Written(Err(refused()))
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

    /// What a holder does: it asks for its fence and acts at once.
    fn order(&mut self, index: usize) -> Result<(), String> {
        let time = self.time();
        let Some(fence) = self.contenders[index].machine.fence(time) else {
            return Ok(());
        };
        if fence < self.highest {
            return Err(format!("acted with {fence} after {}", self.highest));
        }
        let other = self.contenders[1 - index].machine.fence(time);
        if other.is_some() {
            return Err(format!("both hold: {fence} and {other:?}"));
        }
        self.highest = fence;
        self.acts += 1;
        Ok(())
    }
}

fn refused() -> StoreError {
    StoreError::Unavailable {
        name: "leases/orders".into(),
        reason: "cut off".into(),
    }
}

fn choices(seed: u64) -> Vec<Choice> {
    let options = Options::default();
    let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
    let generator = produce::<Vec<Choice>>().with().len(STEPS);
    generator.generate(&mut driver).expect("random input")
}

#[test]
fn one_holder() {
    let mut acts = 0;
    for seed in 0..SEEDS {
        let mut pair = Pair::new(seed % 2 == 0);
        for choice in choices(seed) {
            pair.act(choice)
                .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        }
        acts += pair.acts;
    }
    assert!(acts as u64 > SEEDS, "only {acts} acts");
}

#[test]
fn paused_holder() {
    let mut pair = Pair::new(false);
    for _step in 0..6 {
        pair.step(0);
    }
    let time = pair.time();
    assert!(pair.contenders[0].machine.fence(time).is_some());
    pair.elapsed += Duration::from_secs(3);
    let time = pair.time();
    let fence = pair.contenders[0].machine.fence(time);
    assert_eq!(fence, None, "a gap within the term needs a new check");
    for _step in 0..6 {
        pair.step(0);
    }
    let time = pair.time();
    assert!(pair.contenders[0].machine.fence(time).is_some());
}

#[test]
fn suspended_holder() {
    let mut pair = Pair::new(false);
    for _step in 0..6 {
        pair.step(0);
    }
    let mut time = pair.time();
    time.wall += Duration::from_mins(1);
    assert_eq!(pair.contenders[0].machine.fence(time), None);
}

#[test]
fn released_lease() {
    let mut pair = Pair::new(false);
    for _step in 0..6 {
        pair.step(0);
    }
    let time = pair.time();
    pair.contenders[0].call = pair.contenders[0].machine.handle(LeaseEvent::Release, time);
    pair.step(0);
    for _step in 0..6 {
        pair.step(1);
    }
    assert!(pair.contenders[1].machine.fence(time).is_some());
}
