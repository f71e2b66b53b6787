//! Store with seeded delays and faults, and a paused clock that advances to the next timer.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use dandeliondeal_config::{ChangeRequest, SheetRows, StoreSession, example_sheet, read_sheet};
use dandeliondeal_store::{MemoryStore, StoreFault};
use dandeliondeal_types::{
    Clock, ObjectStore, ObjectValue, PutCondition, StoreError, StoreVersion,
};

/// Maximum time that a change may take, measured with the paused clock.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Clock of the paused Tokio runtime.
#[derive(Clone, Copy, Debug)]
pub struct PausedClock;

impl Clock for PausedClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// Runs a test on a paused clock: timers fire in order, without real waiting.
pub fn run_paused<Test>(test: Test) -> Test::Output
where
    Test: Future,
{
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(test)
}

/// In-memory store with delays, faults and late writes drawn from a seed.
#[derive(Clone, Debug)]
pub struct SeededStore {
    pub memory: MemoryStore,
    random: Rc<RefCell<StdRng>>,
    fault_percent: u32,
}

impl SeededStore {
    pub fn new(seed: u64, fault_percent: u32) -> Self {
        Self {
            memory: MemoryStore::default(),
            random: Rc::new(RefCell::new(StdRng::seed_from_u64(seed))),
            fault_percent,
        }
    }

    pub fn session(&self) -> StoreSession<'_, Self, PausedClock> {
        StoreSession {
            store: self,
            clock: &PausedClock,
            deadline: PausedClock.now() + CHANGE_TIMEOUT,
        }
    }

    async fn pause(&self) {
        let pause = self.random.borrow_mut().random_range(0..30);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let mut random = self.random.borrow_mut();
        if random.random_range(0..4) == 0 {
            self.memory.apply_late_writes();
        }
        if random.random_range(0..100) < self.fault_percent {
            let faults = [
                StoreFault::Refused,
                StoreFault::AnswerLost,
                StoreFault::CallLost,
                StoreFault::Late,
            ];
            self.memory.add_faults([faults[random.random_range(0..4)]]);
        }
    }
}

impl ObjectStore for SeededStore {
    async fn get(&self, name: &str) -> Result<Option<ObjectValue>, StoreError> {
        self.pause().await;
        self.memory.get(name).await
    }

    async fn put(
        &self,
        name: &str,
        condition: PutCondition,
        body: Arc<str>,
    ) -> Result<StoreVersion, StoreError> {
        self.pause().await;
        self.memory.put(name, condition, body).await
    }

    async fn delete(&self, name: &str, version: StoreVersion) -> Result<(), StoreError> {
        self.pause().await;
        self.memory.delete(name, version).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ObjectValue>, StoreError> {
        self.pause().await;
        self.memory.list(prefix).await
    }

    async fn watch(
        &self,
        name: &str,
        known_version: StoreVersion,
        timeout: Duration,
    ) -> Result<Option<ObjectValue>, StoreError> {
        self.pause().await;
        self.memory.watch(name, known_version, timeout).await
    }
}

/// Returns the example sheet with the given capacity of the first engine.
pub fn sheet_with(capacity: u32) -> SheetRows {
    let text = example_sheet().replace(
        "engine-1,capacity,16",
        &format!("engine-1,capacity,{capacity}"),
    );
    read_sheet(text.as_bytes()).unwrap()
}

/// Returns a change request of an operator.
pub fn request_of(author: &str, number: u32) -> ChangeRequest {
    ChangeRequest {
        change: format!("{author}-{number}").into(),
        author: author.into(),
        at_milliseconds: 0,
        base: None,
        allow_removals: false,
    }
}
