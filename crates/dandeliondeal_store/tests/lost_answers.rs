//! Writes whose answers are lost, over every kind of fault.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bolero_generator::driver::{Options, Rng};
use bolero_generator::{ValueGenerator as _, produce};
use dandeliondeal_store::{
    MemoryStore, ResolvedWrite, StampSource, StoreFault, WriteVerdict, put_resolved,
};
use dandeliondeal_types::{PutCondition, StoreError, SystemClock};
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const NAME: &str = "object";
const SEEDS: u64 = 300;
const FAULTS: [StoreFault; 5] = [
    StoreFault::None,
    StoreFault::Refused,
    StoreFault::AnswerLost,
    StoreFault::CallLost,
    StoreFault::Late,
];

fn write(condition: PutCondition, body: &str) -> ResolvedWrite {
    ResolvedWrite {
        name: NAME.into(),
        condition,
        body: body.into(),
        deadline: Instant::now() + Duration::from_secs(30),
    }
}

fn put(store: &MemoryStore, body: &str) -> Result<WriteVerdict, StoreError> {
    let found = store.peek(NAME);
    let condition = found.map_or(PutCondition::Absent, |value| {
        PutCondition::Version(value.version)
    });
    let ours = body.to_owned();
    actix_rt::System::new().block_on(put_resolved(
        store,
        write(condition, body),
        |found: &str| found.starts_with(&ours),
        &SystemClock,
    ))
}

#[test]
fn applied_write() {
    let store = MemoryStore::default();
    store.add_faults([StoreFault::AnswerLost]);
    assert!(matches!(put(&store, "a"), Ok(WriteVerdict::Written(1))));
    assert_eq!(store.writes(), 1);
}

#[test]
fn dropped_write() {
    let store = MemoryStore::default();
    store.add_faults([StoreFault::CallLost]);
    assert!(matches!(put(&store, "a"), Ok(WriteVerdict::Written(1))));
}

#[test]
fn late_write() {
    let store = MemoryStore::default();
    store.add_faults([StoreFault::Late]);
    assert!(matches!(put(&store, "a"), Ok(WriteVerdict::Written(1))));
    assert_eq!(store.land_late(), 0, "the late write was closed off");
}

#[test]
fn refused_write() {
    let store = MemoryStore::default();
    store.add_faults([StoreFault::Refused]);
    let error = put(&store, "a").unwrap_err();
    assert!(error.is_not_written());
    assert_eq!(
        store.writes(),
        1,
        "a refused write is for the caller to repeat"
    );
}

#[test]
fn refused_after_loss() {
    let store = MemoryStore::default();
    store.add_faults([StoreFault::Late, StoreFault::Refused, StoreFault::Refused]);
    assert!(matches!(put(&store, "a"), Ok(WriteVerdict::Written(1))));
    assert_eq!(store.land_late(), 0);
}

#[test]
fn lost_race() {
    let store = MemoryStore::default();
    let other: Arc<str> = "other".into();
    store
        .put_now(NAME, PutCondition::Absent, other)
        .expect("first write");
    store.add_faults([StoreFault::Late]);
    let attempt = write(PutCondition::Absent, "a");
    let verdict = actix_rt::System::new().block_on(put_resolved(
        &store,
        attempt,
        |found: &str| found == "a",
        &SystemClock,
    ));
    assert!(matches!(verdict, Ok(WriteVerdict::NotWritten(Some(_)))));
    assert_eq!(store.land_late(), 0);
}

#[test]
fn random_faults() {
    for seed in 0..SEEDS {
        let options = Options::default();
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        let choices: Option<Vec<u8>> = produce::<Vec<u8>>()
            .with()
            .len(0..4_usize)
            .generate(&mut driver);
        let choices = choices.expect("forced driver");
        let store = MemoryStore::default();
        store.add_faults(
            choices
                .iter()
                .map(|choice| FAULTS[usize::from(*choice) % FAULTS.len()]),
        );
        let mut stamps = StampSource::new("a".into(), 1);
        let stamp = stamps.stamp().to_string();
        let result = put(&store, &stamp);
        let before = store.peek(NAME).is_some();
        store.land_late();
        let after = store.peek(NAME).is_some();
        assert_eq!(
            before, after,
            "seed {seed}: a write landed after its verdict"
        );
        assert_eq!(before, result.is_ok(), "seed {seed}: {result:?}");
    }
}
