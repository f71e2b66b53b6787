//! Bounded memory of processes that certainly ended, and of those that were reported so in error.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::crash_evidence::{CrashSettings, ProcessEnd, ProcessId};
use crate::crash_report::age_ms;

/// Time in which a process certainly ran, although its end was reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessContact {
    /// Time since which the connection of the answer was open.
    pub(crate) since: Instant,
    /// Time of the answer.
    pub(crate) at: Instant,
    /// Whether this instance got the answer. Only then it reports it, as each hop makes it look more
    /// recent.
    pub(crate) is_own: bool,
}

impl ProcessContact {
    /// Returns whether the process ran before and after an end.
    fn spans(&self, end: Instant, margin: Duration) -> bool {
        self.since <= end && end + margin < self.at
    }
}

/// What is known for certain about processes whose end was reported.
#[derive(Clone, Debug)]
pub(crate) struct ProcessMemory {
    capacity: usize,
    contact_margin: Duration,
    max_age: Duration,
    /// Processes in whose place another one was started, the latest last.
    ended: VecDeque<ProcessId>,
    /// Processes that answered after their end was reported.
    running: HashMap<ProcessId, ProcessContact>,
}

impl ProcessMemory {
    pub(crate) fn new(settings: &CrashSettings) -> Self {
        Self {
            capacity: settings.max_processes,
            contact_margin: settings.contact_margin,
            max_age: settings.end_max_age,
            ended: VecDeque::new(),
            running: HashMap::new(),
        }
    }

    /// Records that a process was replaced by another one; returns `false` if that was known.
    pub(crate) fn add_ended(&mut self, process: &ProcessId) -> bool {
        if self.is_ended(process) {
            return false;
        }
        if self.ended.len() >= self.capacity {
            self.ended.pop_front();
        }
        self.ended.push_back(ProcessId::clone(process));
        true
    }

    /// Returns whether a process is known to have been replaced.
    pub(crate) fn is_ended(&self, process: &ProcessId) -> bool {
        self.ended.contains(process)
    }

    /// Records an answer of a process; returns `false` if a later one is known.
    pub(crate) fn add_contact(&mut self, process: &ProcessId, contact: ProcessContact) -> bool {
        let known = self.running.get(process);
        if known.is_some_and(|known| known.at >= contact.at || (known.is_own && !contact.is_own)) {
            return false;
        }
        // Two connections that were open at the same time led to the same process.
        let since = known
            .filter(|known| contact.since <= known.at)
            .map_or(contact.since, |known| known.since.min(contact.since));
        if self.running.len() >= self.capacity && known.is_none() {
            let oldest = self.running.iter().min_by_key(|(_, contact)| contact.at);
            let oldest = oldest.map(|(process, _)| ProcessId::clone(process));
            oldest.map(|process| self.running.remove(&process));
        }
        let contact = ProcessContact { since, ..contact };
        self.running.insert(ProcessId::clone(process), contact);
        true
    }

    /// Returns whether an answer shows that a reported end was no end.
    ///
    /// A process that was started again may answer before its new registration is known. So only an
    /// answer over a connection that is older refutes a certain end.
    pub(crate) fn is_refuted_by(&self, end: &ProcessEnd, contact: ProcessContact) -> bool {
        let is_later = end.at + self.contact_margin < contact.at;
        is_later && (!end.is_confirmed || contact.spans(end.at, self.contact_margin))
    }

    /// Returns whether the process is known to have answered after its reported end.
    pub(crate) fn refutes(&self, end: &ProcessEnd) -> bool {
        let contact = self.running.get(&end.process);
        contact.is_some_and(|contact| self.is_refuted_by(end, *contact))
    }

    /// Returns whether a process ran before and after a reported end.
    pub(crate) fn spans(&self, process: &ProcessId, end: Instant) -> bool {
        let contact = self.running.get(process);
        contact.is_some_and(|contact| contact.spans(end, self.contact_margin))
    }

    /// Returns the processes that answered this instance, with the age in milliseconds of a time of
    /// their contact.
    pub(crate) fn own_ages(
        &self,
        now: Instant,
        time_of: fn(&ProcessContact) -> Instant,
    ) -> BTreeMap<ProcessId, u64> {
        let own = self.running.iter().filter(|(_, contact)| contact.is_own);
        own.map(|(process, contact)| (ProcessId::clone(process), age_ms(now, time_of(contact))))
            .collect()
    }

    /// Forgets contacts that are older than any end that is kept.
    pub(crate) fn drop_old(&mut self, now: Instant) {
        let max_age = self.max_age;
        let is_recent =
            |contact: &ProcessContact| now.saturating_duration_since(contact.at) < max_age;
        self.running.retain(|_, contact| is_recent(contact));
    }
}
