//! Verdicts that are written, or deleted by an operator, while an instance reads the stored ones.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_config::RouterSettings;
use dandeliondeal_quarantine::{CrashReport, FeatureKey, VerdictClaim};
use dandeliondeal_relay::RelayContext;
use dandeliondeal_relay::quarantine_store::run_quarantine_store;
use dandeliondeal_types::{
    KindChanges, KindSnapshot, KindStore, ObjectStore, ObjectValue, PutCondition, ReadFreshness,
    StoreError, StoreVersion, SystemClock,
};
use tokio::sync::Notify;

type TestContext = RelayContext<SystemClock, ()>;

/// Time for which a test waits for a read.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Store without verdicts, whose reads end when the test says so.
#[derive(Clone, Debug, Default)]
struct SlowStore {
    read_started: Rc<Notify>,
    read_ended: Rc<Notify>,
}

impl KindStore for SlowStore {
    async fn snapshot(
        &self,
        _kind: &str,
        _freshness: ReadFreshness,
    ) -> Result<KindSnapshot, StoreError> {
        self.read_started.notify_one();
        self.read_ended.notified().await;
        Ok(KindSnapshot::default())
    }

    async fn changes(
        &self,
        _kind: &str,
        _since: StoreVersion,
        _timeout: Duration,
    ) -> Result<KindChanges, StoreError> {
        std::future::pending().await
    }
}

impl ObjectStore for SlowStore {
    async fn get(&self, _name: &str) -> Result<Option<ObjectValue>, StoreError> {
        Ok(None)
    }

    async fn put(
        &self,
        _name: &str,
        _condition: PutCondition,
        _body: Arc<str>,
    ) -> Result<StoreVersion, StoreError> {
        Ok(1.into())
    }

    async fn delete(&self, _name: &str, _version: StoreVersion) -> Result<(), StoreError> {
        Ok(())
    }

    async fn list(&self, _prefix: &str) -> Result<Vec<ObjectValue>, StoreError> {
        Ok(Vec::new())
    }

    async fn watch(
        &self,
        _name: &str,
        _known_version: StoreVersion,
        _timeout: Duration,
    ) -> Result<Option<ObjectValue>, StoreError> {
        std::future::pending().await
    }
}

/// Hears from the hub that a verdict is stored.
fn hear_verdict(context: &TestContext) {
    let report = CrashReport {
        verdicts: vec![VerdictClaim {
            key: FeatureKey::new(&"drafting".into(), &"part".into()),
            companions: Vec::new(),
            processes: Vec::new(),
            age_ms: 100,
            is_stored: true,
        }],
        ..CrashReport::default()
    };
    let mut crashes = context.crashes().borrow_mut();
    crashes.add_report(&report, context.now());
}

/// Reads the stored verdicts once, and calls `during_read` before the answer comes; returns the number
/// of verdicts in force after it.
async fn read_once<DuringRead>(context: &TestContext, during_read: DuringRead) -> usize
where
    DuringRead: FnOnce(),
{
    let store = SlowStore::default();
    let task = actix_rt::spawn(run_quarantine_store(context.clone(), store.clone()));
    let started = tokio::time::timeout(READ_TIMEOUT, store.read_started.notified());
    started.await.expect("a read");
    during_read();
    store.read_ended.notify_one();
    // The task handles the answer as soon as this one waits; it writes nothing without the lease.
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    task.abort();
    context.crashes().borrow().verdicts().len()
}

fn new_context() -> TestContext {
    RelayContext::new(RouterSettings::default(), SystemClock, (), 1).expect("valid charts")
}

/// Guards against an instance that serves crashing requests again, as it takes a verdict that another
/// one writes for deleted.
#[actix_rt::test]
async fn concurrent_write() {
    let context = new_context();
    let count = read_once(&context, || hear_verdict(&context)).await;
    assert_eq!(count, 1);
}

/// Guards against verdicts that an operator can't lift.
#[actix_rt::test]
async fn deleted_verdict() {
    let context = new_context();
    hear_verdict(&context);
    assert_eq!(read_once(&context, || {}).await, 0);
}

/// Guards against a deletion that goes unnoticed as reports still name the verdict.
#[actix_rt::test]
async fn repeated_report() {
    let context = new_context();
    hear_verdict(&context);
    let count = read_once(&context, || hear_verdict(&context)).await;
    assert_eq!(count, 0);
}
