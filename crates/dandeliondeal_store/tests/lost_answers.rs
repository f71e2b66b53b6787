//! Resolution of writes whose answers are lost, under every kind of fault.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bolero_generator::driver::{Options, Rng};
use bolero_generator::{ValueGenerator as _, produce};
use dandeliondeal_store::{
    MemoryStore, ResolvedWrite, StampSource, StoreFault, WriteVerdict, put_resolved,
};
use dandeliondeal_types::{PutCondition, StoreError, StoreVersion, SystemClock};
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const OBJECT_NAME: &str = "object";
const SEEDS: u64 = 300;
const FAULTS: [StoreFault; 5] = [
    StoreFault::None,
    StoreFault::Refused,
    StoreFault::AnswerLost,
    StoreFault::CallLost,
    StoreFault::Late,
];

fn new_write(condition: PutCondition, body: &str) -> ResolvedWrite {
    ResolvedWrite {
        name: OBJECT_NAME.into(),
        condition,
        body: body.into(),
        deadline: Instant::now() + Duration::from_secs(30),
    }
}

fn put_and_resolve(store: &MemoryStore, body: &str) -> Result<WriteVerdict, StoreError> {
    let existing = store.peek(OBJECT_NAME);
    let condition = existing.map_or(PutCondition::Absent, |value| {
        PutCondition::Version(value.version)
    });
    let stamp = body.to_owned();
    actix_rt::System::new().block_on(put_resolved(
        store,
        new_write(condition, body),
        |found: &str| found.starts_with(&stamp),
        &SystemClock,
    ))
}

#[test]
fn applied_write() {
    let store = MemoryStore::default();
    store.add_faults([StoreFault::AnswerLost]);
    assert!(matches!(
        put_and_resolve(&store, "a"),
        Ok(WriteVerdict::Written(StoreVersion {
            era: 0,
            revision: 1
        }))
    ));
    assert_eq!(store.writes(), 1);
}

#[test]
fn dropped_write() {
    let store = MemoryStore::default();
    store.add_faults([StoreFault::CallLost]);
    assert!(matches!(
        put_and_resolve(&store, "a"),
        Ok(WriteVerdict::Written(StoreVersion {
            era: 0,
            revision: 1
        }))
    ));
}

#[test]
fn late_write() {
    let store = MemoryStore::default();
    store.add_faults([StoreFault::Late]);
    assert!(matches!(
        put_and_resolve(&store, "a"),
        Ok(WriteVerdict::Written(StoreVersion {
            era: 0,
            revision: 1
        }))
    ));
    assert_eq!(
        store.apply_late_writes(),
        0,
        "the late write must not take effect"
    );
}

#[test]
fn refused_write() {
    let store = MemoryStore::default();
    store.add_faults([StoreFault::Refused]);
    let error = put_and_resolve(&store, "a").unwrap_err();
    assert!(error.is_not_written());
    assert_eq!(
        store.writes(),
        1,
        "a rejected write must be retried by the caller only"
    );
}

#[test]
fn refused_after_loss() {
    let store = MemoryStore::default();
    store.add_faults([StoreFault::Late, StoreFault::Refused, StoreFault::Refused]);
    assert!(matches!(
        put_and_resolve(&store, "a"),
        Ok(WriteVerdict::Written(StoreVersion {
            era: 0,
            revision: 1
        }))
    ));
    assert_eq!(store.apply_late_writes(), 0);
}

#[test]
fn lost_race() {
    let store = MemoryStore::default();
    let other: Arc<str> = "other".into();
    store
        .put_now(OBJECT_NAME, PutCondition::Absent, other)
        .expect("first write");
    store.add_faults([StoreFault::Late]);
    let attempt = new_write(PutCondition::Absent, "a");
    let verdict = actix_rt::System::new().block_on(put_resolved(
        &store,
        attempt,
        |found: &str| found == "a",
        &SystemClock,
    ));
    assert!(matches!(verdict, Ok(WriteVerdict::NotWritten(Some(_)))));
    assert_eq!(store.apply_late_writes(), 0);
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
        let stamp = stamps.next_stamp().to_string();
        let result = put_and_resolve(&store, &stamp);
        let exists_before = store.peek(OBJECT_NAME).is_some();
        store.apply_late_writes();
        let exists_after = store.peek(OBJECT_NAME).is_some();
        assert_eq!(
            exists_before, exists_after,
            "seed {seed}: a write took effect after its result was returned"
        );
        assert_eq!(exists_before, result.is_ok(), "seed {seed}: {result:?}");
    }
}
