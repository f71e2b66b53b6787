//! In-memory object store with injectable faults, for tests.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{
    ObjectName, ObjectStore, ObjectValue, PutCondition, StoreError, StoreVersion,
};

/// Fault injected into one call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// The call succeeds.
    #[default]
    None,
    /// The platform rejects the call; nothing is written.
    Refused,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call is lost and never takes effect.
    CallLost,
    /// The answer is lost; a write takes effect when [`MemoryStore::apply_late_writes`] is called.
    Late,
}

/// Object store in memory; clones share the same objects.
///
/// Each call consumes the next queued fault; calls succeed once the queue is empty.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    state: Rc<RefCell<StoreState>>,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<ObjectName, ObjectValue>,
    faults: VecDeque<StoreFault>,
    late_writes: Vec<StoreWrite>,
    last_version: StoreVersion,
    write_count: u64,
    read_count: u64,
}

#[derive(Clone, Debug)]
struct StoreWrite {
    name: ObjectName,
    condition: PutCondition,
    body: Option<Arc<str>>,
}

impl MemoryStore {
    /// Queues faults for the following calls.
    pub fn add_faults<Faults>(&self, faults: Faults)
    where
        Faults: IntoIterator<Item = StoreFault>,
    {
        self.state.borrow_mut().faults.extend(faults);
    }

    /// Removes all queued faults.
    pub fn clear_faults(&self) {
        self.state.borrow_mut().faults.clear();
    }

    /// Applies every late write whose condition still holds.
    ///
    /// Returns the number of writes that took effect.
    pub fn apply_late_writes(&self) -> usize {
        let mut state = self.state.borrow_mut();
        let late_writes = std::mem::take(&mut state.late_writes);
        late_writes
            .into_iter()
            .filter(|write| state.apply(write).is_ok())
            .count()
    }

    /// Returns the number of writes and deletions received so far.
    pub fn writes(&self) -> u64 {
        self.state.borrow().write_count
    }

    /// Returns the number of reads and lists received so far.
    pub fn reads(&self) -> u64 {
        self.state.borrow().read_count
    }

    /// Reads an object without consuming a fault or counting the read.
    pub fn peek(&self, name: &str) -> Option<ObjectValue> {
        self.state.borrow().objects.get(name).cloned()
    }

    /// Synchronous version of [`ObjectStore::put`].
    ///
    /// # Errors
    ///
    /// Returns the error of the next fault, or a conflict if the condition does not hold.
    pub fn put_now(
        &self,
        name: &str,
        condition: PutCondition,
        body: Arc<str>,
    ) -> Result<StoreVersion, StoreError> {
        let write = StoreWrite {
            name: name.into(),
            condition,
            body: Some(body),
        };
        self.state.borrow_mut().write(write)
    }

    /// Synchronous version of [`ObjectStore::delete`].
    ///
    /// # Errors
    ///
    /// Returns the error of the next fault, or a conflict if the condition does not hold.
    pub fn delete_now(&self, name: &str, version: StoreVersion) -> Result<(), StoreError> {
        let write = StoreWrite {
            name: name.into(),
            condition: PutCondition::Version(version),
            body: None,
        };
        self.state.borrow_mut().write(write).map(|_version| ())
    }

    /// Synchronous version of [`ObjectStore::get`].
    ///
    /// # Errors
    ///
    /// Returns the error of the next fault.
    pub fn get_now(&self, name: &str) -> Result<Option<ObjectValue>, StoreError> {
        let mut state = self.state.borrow_mut();
        state.start_read(name)?;
        Ok(state.objects.get(name).cloned())
    }

    /// Synchronous version of [`ObjectStore::list`].
    ///
    /// # Errors
    ///
    /// Returns the error of the next fault.
    pub fn list_now(&self, prefix: &str) -> Result<Vec<ObjectValue>, StoreError> {
        let mut state = self.state.borrow_mut();
        state.start_read(prefix)?;
        let objects = state.objects.values();
        Ok(objects
            .filter(|value| value.name.starts_with(prefix))
            .cloned()
            .collect())
    }
}

impl StoreState {
    fn start_read(&mut self, name: &str) -> Result<(), StoreError> {
        self.read_count += 1;
        match self.faults.pop_front().unwrap_or_default() {
            StoreFault::None => Ok(()),
            StoreFault::Refused => Err(refused_error(name)),
            _ => Err(lost_error(name)),
        }
    }

    fn write(&mut self, write: StoreWrite) -> Result<StoreVersion, StoreError> {
        self.write_count += 1;
        match self.faults.pop_front().unwrap_or_default() {
            StoreFault::None => self.apply(&write),
            StoreFault::Refused => Err(refused_error(&write.name)),
            StoreFault::CallLost => Err(lost_error(&write.name)),
            StoreFault::AnswerLost => {
                let _ = self.apply(&write);
                Err(lost_error(&write.name))
            }
            StoreFault::Late => {
                let error = lost_error(&write.name);
                self.late_writes.push(write);
                Err(error)
            }
        }
    }

    fn apply(&mut self, write: &StoreWrite) -> Result<StoreVersion, StoreError> {
        let found = self.objects.get(&write.name).map(|value| value.version);
        let is_condition_met = match write.condition {
            PutCondition::Absent => found.is_none(),
            PutCondition::Version(version) => found == Some(version),
        };
        if !is_condition_met {
            return Err(StoreError::Conflict {
                name: Arc::clone(&write.name),
                found,
            });
        }
        self.last_version = self.last_version.next();
        let version = self.last_version;
        match &write.body {
            None => {
                self.objects.remove(&write.name);
            }
            Some(body) => {
                let value = ObjectValue {
                    name: Arc::clone(&write.name),
                    version,
                    body: Arc::clone(body),
                };
                self.objects.insert(Arc::clone(&write.name), value);
            }
        }
        Ok(version)
    }
}

impl ObjectStore for MemoryStore {
    async fn get(&self, name: &str) -> Result<Option<ObjectValue>, StoreError> {
        self.get_now(name)
    }

    async fn put(
        &self,
        name: &str,
        condition: PutCondition,
        body: Arc<str>,
    ) -> Result<StoreVersion, StoreError> {
        self.put_now(name, condition, body)
    }

    async fn delete(&self, name: &str, version: StoreVersion) -> Result<(), StoreError> {
        self.delete_now(name, version)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ObjectValue>, StoreError> {
        self.list_now(prefix)
    }

    /// Reads the object immediately, without waiting for a change.
    async fn watch(
        &self,
        name: &str,
        _seen: StoreVersion,
        _limit: Duration,
    ) -> Result<Option<ObjectValue>, StoreError> {
        self.get_now(name)
    }
}

fn refused_error(name: &str) -> StoreError {
    StoreError::Unavailable {
        name: name.into(),
        reason: "outage".into(),
    }
}

fn lost_error(name: &str) -> StoreError {
    StoreError::ResponseLost {
        name: name.into(),
        reason: "connection closed".into(),
    }
}
