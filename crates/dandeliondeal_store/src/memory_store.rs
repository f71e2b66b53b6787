//! An object store in memory with the platform's faults, for tests.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{
    ObjectName, ObjectStore, ObjectValue, PutCondition, StoreError, Version,
};

/// What happens to one call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// It succeeds.
    #[default]
    None,
    /// The platform refuses it; nothing is written.
    Refused,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It does not take effect and its answer is lost.
    CallLost,
    /// Its answer is lost; a write takes effect when [`MemoryStore::land_late`] is called.
    Late,
}

/// Objects in memory; clones share them.
///
/// Each call meets the next of the faults that were given, then none.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    state: Rc<RefCell<StoreState>>,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<ObjectName, ObjectValue>,
    faults: VecDeque<StoreFault>,
    late: Vec<StoreWrite>,
    last_version: Version,
    writes: u64,
    reads: u64,
}

#[derive(Clone, Debug)]
struct StoreWrite {
    name: ObjectName,
    condition: PutCondition,
    body: Option<Arc<str>>,
}

impl MemoryStore {
    /// Gives faults to the calls to come.
    pub fn add_faults<Faults>(&self, faults: Faults)
    where
        Faults: IntoIterator<Item = StoreFault>,
    {
        self.state.borrow_mut().faults.extend(faults);
    }

    /// Takes back the faults that no call has met yet.
    pub fn clear_faults(&self) {
        self.state.borrow_mut().faults.clear();
    }

    /// Lets every late write take effect, if its condition still holds.
    ///
    /// Returns how many took effect.
    pub fn land_late(&self) -> usize {
        let mut state = self.state.borrow_mut();
        let late = std::mem::take(&mut state.late);
        late.into_iter()
            .filter(|write| state.apply(write).is_ok())
            .count()
    }

    /// Writes that were sent so far.
    pub fn writes(&self) -> u64 {
        self.state.borrow().writes
    }

    /// Reads that were sent so far.
    pub fn reads(&self) -> u64 {
        self.state.borrow().reads
    }

    /// Reads without faults and without counting.
    pub fn peek(&self, name: &str) -> Option<ObjectValue> {
        self.state.borrow().objects.get(name).cloned()
    }

    /// Writes as [`ObjectStore::put`] does, at once.
    ///
    /// # Errors
    ///
    /// As the next fault and the condition say.
    pub fn put_now(
        &self,
        name: &str,
        condition: PutCondition,
        body: Arc<str>,
    ) -> Result<Version, StoreError> {
        let write = StoreWrite {
            name: name.into(),
            condition,
            body: Some(body),
        };
        self.state.borrow_mut().write(write)
    }

    /// Deletes as [`ObjectStore::delete`] does, at once.
    ///
    /// # Errors
    ///
    /// As the next fault and the condition say.
    pub fn delete_now(&self, name: &str, version: Version) -> Result<(), StoreError> {
        let write = StoreWrite {
            name: name.into(),
            condition: PutCondition::Version(version),
            body: None,
        };
        self.state.borrow_mut().write(write).map(|_version| ())
    }

    /// Reads as [`ObjectStore::get`] does, at once.
    ///
    /// # Errors
    ///
    /// As the next fault says.
    pub fn get_now(&self, name: &str) -> Result<Option<ObjectValue>, StoreError> {
        let mut state = self.state.borrow_mut();
        state.read(name)?;
        Ok(state.objects.get(name).cloned())
    }

    /// Lists as [`ObjectStore::list`] does, at once.
    ///
    /// # Errors
    ///
    /// As the next fault says.
    pub fn list_now(&self, prefix: &str) -> Result<Vec<ObjectValue>, StoreError> {
        let mut state = self.state.borrow_mut();
        state.read(prefix)?;
        let objects = state.objects.values();
        Ok(objects
            .filter(|value| value.name.starts_with(prefix))
            .cloned()
            .collect())
    }
}

impl StoreState {
    fn read(&mut self, name: &str) -> Result<(), StoreError> {
        self.reads += 1;
        match self.faults.pop_front().unwrap_or_default() {
            StoreFault::None => Ok(()),
            StoreFault::Refused => Err(refused(name)),
            _ => Err(lost(name)),
        }
    }

    fn write(&mut self, write: StoreWrite) -> Result<Version, StoreError> {
        self.writes += 1;
        match self.faults.pop_front().unwrap_or_default() {
            StoreFault::None => self.apply(&write),
            StoreFault::Refused => Err(refused(&write.name)),
            StoreFault::CallLost => Err(lost(&write.name)),
            StoreFault::AnswerLost => {
                let _ = self.apply(&write);
                Err(lost(&write.name))
            }
            StoreFault::Late => {
                let error = lost(&write.name);
                self.late.push(write);
                Err(error)
            }
        }
    }

    fn apply(&mut self, write: &StoreWrite) -> Result<Version, StoreError> {
        let found = self.objects.get(&write.name).map(|value| value.version);
        let holds = match write.condition {
            PutCondition::Absent => found.is_none(),
            PutCondition::Version(version) => found == Some(version),
        };
        if !holds {
            return Err(StoreError::Conflict {
                name: Arc::clone(&write.name),
                found,
            });
        }
        self.last_version += 1;
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
    ) -> Result<Version, StoreError> {
        self.put_now(name, condition, body)
    }

    async fn delete(&self, name: &str, version: Version) -> Result<(), StoreError> {
        self.delete_now(name, version)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ObjectValue>, StoreError> {
        self.list_now(prefix)
    }

    /// Reads at once; the limit is not waited for.
    async fn watch(
        &self,
        name: &str,
        _seen: Version,
        _limit: Duration,
    ) -> Result<Option<ObjectValue>, StoreError> {
        self.get_now(name)
    }
}

fn refused(name: &str) -> StoreError {
    StoreError::Unavailable {
        name: name.into(),
        reason: "outage".into(),
    }
}

fn lost(name: &str) -> StoreError {
    StoreError::AnswerLost {
        name: name.into(),
        reason: "connection closed".into(),
    }
}
