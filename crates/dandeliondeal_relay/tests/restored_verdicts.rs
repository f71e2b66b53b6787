//! Verdicts about crashing prompts outlast a restore of the store that loses their objects.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
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

type TestContext = RelayContext<SystemClock, ()>;

/// Time for which a test waits for a state.
const WAIT_TIME: Duration = Duration::from_secs(10);

/// Store of objects that a restore can lose.
#[derive(Clone, Debug, Default)]
struct RestoredStore {
    version: Rc<Cell<StoreVersion>>,
    objects: Rc<RefCell<BTreeMap<String, ObjectValue>>>,
}

impl RestoredStore {
    /// Comes back from a copy without objects.
    fn restore(&self) {
        let era = self.version.get().era + 1;
        self.version.set(StoreVersion::new(era, 10));
        self.objects.borrow_mut().clear();
    }

    fn count(&self) -> usize {
        self.objects.borrow().len()
    }
}

impl KindStore for RestoredStore {
    async fn snapshot(
        &self,
        _kind: &str,
        _freshness: ReadFreshness,
    ) -> Result<KindSnapshot, StoreError> {
        Ok(KindSnapshot {
            objects: self.objects.borrow().values().cloned().collect(),
            version: self.version.get(),
        })
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

impl ObjectStore for RestoredStore {
    async fn get(&self, name: &str) -> Result<Option<ObjectValue>, StoreError> {
        Ok(self.objects.borrow().get(name).cloned())
    }

    async fn put(
        &self,
        name: &str,
        _condition: PutCondition,
        body: Arc<str>,
    ) -> Result<StoreVersion, StoreError> {
        let version = self.version.get().next();
        self.version.set(version);
        let object = ObjectValue {
            name: name.into(),
            version,
            body,
        };
        self.objects.borrow_mut().insert(name.to_owned(), object);
        Ok(version)
    }

    async fn delete(&self, name: &str, _version: StoreVersion) -> Result<(), StoreError> {
        self.objects.borrow_mut().remove(name);
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

/// Starts the holder of the lease, which has found a verdict and stored it.
async fn start_keeper(store: &RestoredStore) -> TestContext {
    store.restore();
    let context = RelayContext::new(RouterSettings::default(), SystemClock, (), 1);
    let context: TestContext = context.expect("valid charts");
    let report = CrashReport {
        verdicts: vec![VerdictClaim {
            key: FeatureKey::new(&"drafting".into(), &"part".into()),
            companions: Vec::new(),
            processes: Vec::new(),
            age_ms: 100,
            is_stored: false,
        }],
        ..CrashReport::default()
    };
    let now = context.now();
    context.crashes().borrow_mut().add_report(&report, now);
    context.set_holds_lease(true);
    context.record_store_era(1);
    actix_rt::spawn(run_quarantine_store(context.clone(), store.clone()));
    wait_for_count(store, 1).await;
    context
}

/// Waits until the store holds `count` verdicts.
async fn wait_for_count(store: &RestoredStore, count: usize) {
    let is_reached = async {
        while store.count() != count {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let reached = tokio::time::timeout(WAIT_TIME, is_reached).await;
    assert!(reached.is_ok(), "{} verdicts in the store", store.count());
}

fn verdict_count(context: &TestContext) -> usize {
    context.crashes().borrow().verdicts().len()
}

// Guards against a lost verdict that is taken for one that an operator deleted, so that crashing
// requests are served again.
#[actix_rt::test]
async fn lost_verdict() {
    let store = RestoredStore::default();
    let context = start_keeper(&store).await;
    store.restore();
    context.record_store_era(2);
    wait_for_count(&store, 1).await;
    assert_eq!(verdict_count(&context), 1);
}

// Guards against a holder of the lease that reads the store for the first time after the restore.
#[actix_rt::test]
async fn new_holder() {
    let store = RestoredStore::default();
    let context = start_keeper(&store).await;
    context.set_holds_lease(false);
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    store.restore();
    context.record_store_era(2);
    context.set_holds_lease(true);
    wait_for_count(&store, 1).await;
    assert_eq!(verdict_count(&context), 1);
}

// Guards against verdicts that an operator cannot lift any longer.
#[actix_rt::test]
async fn deleted_verdict() {
    let store = RestoredStore::default();
    let context = start_keeper(&store).await;
    context.set_holds_lease(false);
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    store.objects.borrow_mut().clear();
    context.set_holds_lease(true);
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    assert_eq!((verdict_count(&context), store.count()), (0, 0));
}
