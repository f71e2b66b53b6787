//! The simulated object store of the platform.

use std::time::Duration;

use dandeliondeal_claim::{ShardAction, ShardEvent};
use dandeliondeal_store::{MemoryStore, StoreFault};

use crate::replay_engine::consume_fault;

/// Time after which a client stops waiting for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The stored objects and the active faults.
#[derive(Debug, Default)]
pub(crate) struct ReplayStore {
    pub(crate) objects: MemoryStore,
    pub(crate) is_unavailable: bool,
    /// Latency added to each call.
    pub(crate) added_latency: Duration,
    /// Remaining number of writes whose answers are lost.
    pub(crate) lose_answers: u32,
    /// Remaining number of writes that are applied late.
    pub(crate) late_writes: u32,
    /// Delay after which a late write is applied.
    pub(crate) late_delay: Duration,
}

/// Result of a call to the platform, with its delay and whether it is a late write.
#[derive(Debug)]
pub(crate) struct StoreResult {
    pub(crate) event: ShardEvent,
    pub(crate) delay: Duration,
    pub(crate) is_write_late: bool,
}

impl ReplayStore {
    /// Executes a call, or returns `None` if the action is not a call.
    pub(crate) fn execute(&mut self, action: ShardAction) -> Option<StoreResult> {
        let is_write = matches!(action, ShardAction::Put(_) | ShardAction::Delete(..));
        let fault = self.set_next_fault(is_write);
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
            delay: self.result_delay(fault),
            is_write_late: fault == StoreFault::Late,
        })
    }

    /// Selects the fault of the next call and installs it in the object store.
    pub(crate) fn set_next_fault(&mut self, is_write: bool) -> StoreFault {
        let fault = self.next_fault(is_write);
        self.objects.clear_faults();
        self.objects.add_faults([fault]);
        fault
    }

    /// Returns the time until the caller has the result of a call or gives up waiting.
    pub(crate) fn result_delay(&self, fault: StoreFault) -> Duration {
        match fault {
            StoreFault::AnswerLost | StoreFault::Late => ANSWER_TIMEOUT,
            _ => self.added_latency,
        }
    }

    fn next_fault(&mut self, is_write: bool) -> StoreFault {
        if self.is_unavailable {
            return StoreFault::Refused;
        }
        if is_write && consume_fault(&mut self.lose_answers) {
            return StoreFault::AnswerLost;
        }
        if is_write && consume_fault(&mut self.late_writes) {
            return StoreFault::Late;
        }
        StoreFault::None
    }
}
