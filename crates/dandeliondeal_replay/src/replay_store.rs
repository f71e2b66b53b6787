//! The platform of a trace.

use std::time::Duration;

use dandeliondeal_claim::{ShardAction, ShardEvent};
use dandeliondeal_store::{MemoryStore, StoreFault};

use crate::replay_engine::take_one;

/// Time after which a client gives up an answer that does not come.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Objects and the faults in force.
#[derive(Debug, Default)]
pub(crate) struct ReplayStore {
    pub(crate) objects: MemoryStore,
    pub(crate) is_out: bool,
    pub(crate) slow: Duration,
    pub(crate) lose_answers: u32,
    pub(crate) late_writes: u32,
    pub(crate) late: Duration,
}

/// What a call to the platform gives: its result, the time that takes, and whether a write is late.
#[derive(Debug)]
pub(crate) struct StoreResult {
    pub(crate) event: ShardEvent,
    pub(crate) wait: Duration,
    pub(crate) is_late: bool,
}

impl ReplayStore {
    /// Carries out a call; `None` if the action is not one.
    pub(crate) fn call(&mut self, action: ShardAction) -> Option<StoreResult> {
        let is_write = matches!(action, ShardAction::Put(_) | ShardAction::Delete(..));
        let fault = self.prepare(is_write);
        let event = match action {
            ShardAction::List(prefix) => ShardEvent::Listed(self.objects.list_now(&prefix)),
            ShardAction::Get(name) => ShardEvent::Read(self.objects.get_now(&name)),
            ShardAction::Put(write) => {
                let written = self
                    .objects
                    .put_now(&write.name, write.condition, write.body);
                ShardEvent::Written(written)
            }
            ShardAction::Delete(name, version) => {
                ShardEvent::Deleted(self.objects.delete_now(&name, version))
            }
            ShardAction::Reply(..) | ShardAction::Wake(_) => return None,
        };
        Some(StoreResult {
            event,
            wait: self.wait(fault),
            is_late: fault == StoreFault::Late,
        })
    }

    /// Chooses the fault of the next call and hands it to the objects.
    pub(crate) fn prepare(&mut self, is_write: bool) -> StoreFault {
        let fault = self.next_fault(is_write);
        self.objects.clear_faults();
        self.objects.add_faults([fault]);
        fault
    }

    /// Time until a caller has the result of a call, or gives it up.
    pub(crate) fn wait(&self, fault: StoreFault) -> Duration {
        match fault {
            StoreFault::AnswerLost | StoreFault::Late => ANSWER_TIMEOUT,
            _ => self.slow,
        }
    }

    fn next_fault(&mut self, is_write: bool) -> StoreFault {
        if self.is_out {
            return StoreFault::Refused;
        }
        if is_write && take_one(&mut self.lose_answers) {
            return StoreFault::AnswerLost;
        }
        if is_write && take_one(&mut self.late_writes) {
            return StoreFault::Late;
        }
        StoreFault::None
    }
}
