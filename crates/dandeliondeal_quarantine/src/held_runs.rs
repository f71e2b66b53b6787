//! Requests that processes hold, and those that were given up shortly before.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{FeatureId, RequestId, ServiceId};
use derive_more::Display;

use crate::crash_evidence::ProcessId;
use crate::crash_table::SuspectRequest;

/// How far the answer to a run has come.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum RunStage {
    /// The process has not begun an answer.
    #[default]
    #[display("waiting")]
    Waiting,
    /// The process has sent the head of the answer, but no event.
    #[display("head")]
    Head,
    /// The process has sent events.
    #[display("events")]
    Events,
}

impl RunStage {
    /// Returns the stage that tells more about why a process ended under a request.
    ///
    /// A process sends events to many requests at a time, and is about to begin the answers to few.
    pub(crate) fn stronger(self, other: Self) -> Self {
        match (self, other) {
            (Self::Head, _) | (_, Self::Head) => Self::Head,
            (Self::Events, _) | (_, Self::Events) => Self::Events,
            _ => Self::Waiting,
        }
    }

    /// Returns whether the process had begun the answer.
    pub(crate) fn has_begun(self) -> bool {
        self != Self::Waiting
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunState {
    Open,
    /// The caller left, or the instance stopped waiting; the process may still work on it.
    GivenUp(Instant),
    /// The answer was complete, or the process stated that it did not run the request.
    Settled,
}

/// One run of a request, which one or several processes hold.
#[derive(Debug)]
pub struct RunRecord {
    /// Request, for logs.
    pub request: RequestId,
    /// Service that runs the request.
    pub service: ServiceId,
    /// What the request may have in common with others.
    pub features: Vec<FeatureId>,
    /// Hash that tells different requests apart.
    pub session: u64,
    stage: Cell<RunStage>,
    state: Cell<RunState>,
    /// Process that got the request.
    first_process: RefCell<Option<ProcessId>>,
    /// Whether the end of a process was attributed to the run.
    is_blamed: Cell<bool>,
}

impl RunRecord {
    /// Creates the record of a run that starts.
    pub fn new(
        request: RequestId,
        service: ServiceId,
        features: Vec<FeatureId>,
        session: u64,
    ) -> Self {
        Self {
            request,
            service,
            features,
            session,
            stage: Cell::default(),
            state: Cell::new(RunState::Open),
            first_process: RefCell::default(),
            is_blamed: Cell::new(false),
        }
    }

    /// Returns how far the answer has come.
    pub fn stage(&self) -> RunStage {
        self.stage.get()
    }

    /// Records how far the answer has come.
    pub fn set_stage(&self, stage: RunStage) {
        self.stage.set(stage);
    }

    /// Returns the process that got the request.
    pub fn first_process(&self) -> Option<ProcessId> {
        self.first_process.borrow().clone()
    }

    /// Records that the run goes on at other processes, each of which may end because of it.
    pub fn record_move(&self) {
        self.is_blamed.set(false);
    }

    /// Records that the processes are done with the request.
    pub fn settle(&self) {
        self.state.set(RunState::Settled);
    }

    /// Records that nobody waits for the run any more; returns `false` if it was settled before.
    pub fn give_up(&self, now: Instant) -> bool {
        let is_open = self.state.get() == RunState::Open;
        if is_open {
            self.state.set(RunState::GivenUp(now));
        }
        is_open
    }

    /// Returns whether nobody waited for the run any more.
    pub fn is_given_up(&self) -> bool {
        matches!(self.state.get(), RunState::GivenUp(_))
    }

    /// Returns the run as one under which a process ended.
    ///
    /// Only the process that got the request can be about to begin the answer.
    pub fn suspect(&self, process: &str) -> SuspectRequest<'_> {
        let first = self.first_process.borrow();
        let is_first = first.as_ref().is_none_or(|first| **first == *process);
        let stage = match self.stage() {
            RunStage::Head if !is_first => RunStage::Events,
            stage => stage,
        };
        SuspectRequest {
            service: &self.service,
            features: &self.features,
            session: self.session,
            stage,
        }
    }

    /// Returns whether an end of a process at `end` may be due to this run.
    fn is_suspect(&self, end: Instant, given_up_time: Duration) -> bool {
        match self.state.get() {
            _ if self.is_blamed.get() => false,
            RunState::Open => true,
            RunState::GivenUp(at) => end.saturating_duration_since(at) <= given_up_time,
            RunState::Settled => false,
        }
    }
}

/// Limits of [`HeldRuns`].
#[derive(Clone, Debug)]
pub struct HoldSettings {
    /// Time after a run was given up in which the end of its process may be due to it.
    pub given_up_time: Duration,
    /// Time for which the runs of a process that does not answer are kept, until another process in
    /// its place shows that it ended.
    pub unanswered_time: Duration,
    /// Time for which a process is remembered as ended, until a later one in its place is known.
    pub ended_time: Duration,
    /// Maximum number of runs that are kept for a process.
    pub max_runs: usize,
}

impl Default for HoldSettings {
    fn default() -> Self {
        Self {
            given_up_time: Duration::from_secs(1),
            unanswered_time: Duration::from_secs(10),
            ended_time: Duration::from_mins(2),
            max_runs: 512,
        }
    }
}

#[derive(Debug, Default)]
struct ProcessRuns {
    runs: Vec<Rc<RunRecord>>,
    /// Time since which the process accepts no connection, without refusing one.
    unanswered_since: Option<Instant>,
}

/// Runs by the process that holds them.
#[derive(Debug, Default)]
pub struct HeldRuns {
    settings: HoldSettings,
    processes: HashMap<ProcessId, ProcessRuns>,
    /// Processes that ended, with the time at which that was known.
    ended: HashMap<ProcessId, Instant>,
}

impl HeldRuns {
    /// Creates an empty table.
    pub fn new(settings: HoldSettings) -> Self {
        Self {
            settings,
            processes: HashMap::new(),
            ended: HashMap::new(),
        }
    }

    /// Records that a process holds a run.
    pub fn add(&mut self, process: &ProcessId, run: &Rc<RunRecord>) {
        run.first_process
            .borrow_mut()
            .get_or_insert_with(|| ProcessId::clone(process));
        let held = self.processes.entry(ProcessId::clone(process)).or_default();
        if held.runs.len() >= self.settings.max_runs {
            let is_open = |run: &Rc<RunRecord>| run.state.get() == RunState::Open;
            let index = held.runs.iter().position(|run| !is_open(run));
            held.runs.remove(index.unwrap_or(0));
        }
        held.runs.push(Rc::clone(run));
    }

    /// Returns whether a process holds runs that are waited for.
    pub fn holds_open(&self, process: &str) -> bool {
        let held = self.processes.get(process);
        held.is_some_and(|held| {
            let mut runs = held.runs.iter();
            runs.any(|run| run.state.get() == RunState::Open)
        })
    }

    /// Returns whether a process held runs that were given up a short while ago.
    pub fn holds_given_up(&self, process: &str, now: Instant) -> bool {
        let given_up_time = self.settings.given_up_time;
        let held = self.processes.get(process);
        held.is_some_and(|held| {
            let runs = held.runs.iter();
            let mut given_up = runs.filter(|run| run.state.get() != RunState::Open);
            given_up.any(|run| run.is_suspect(now, given_up_time))
        })
    }

    /// Records that a process accepts no connection although none is refused: it may have ended
    /// together with its machine.
    pub fn record_unanswered(&mut self, process: &str, now: Instant) {
        if let Some(held) = self.processes.get_mut(process) {
            held.unanswered_since.get_or_insert(now);
        }
    }

    /// Records that a process accepts connections.
    pub fn record_contact(&mut self, process: &str) {
        if let Some(held) = self.processes.get_mut(process) {
            held.unanswered_since = None;
        }
    }

    /// Removes and returns the runs that a process held when it ended, unless they were returned for
    /// another process.
    ///
    /// A run ends one process of its chain. If others end as well, they have a common cause.
    pub fn take_ended(&mut self, process: &ProcessId, now: Instant) -> Vec<Rc<RunRecord>> {
        self.ended.insert(ProcessId::clone(process), now);
        self.remove_suspects(process, now)
    }

    fn remove_suspects(&mut self, process: &str, now: Instant) -> Vec<Rc<RunRecord>> {
        let Some(held) = self.processes.remove(process) else {
            return Vec::new();
        };
        let end = held.unanswered_since.unwrap_or(now);
        let given_up_time = self.settings.given_up_time;
        let runs = held.runs.into_iter();
        runs.filter(|run| run.is_suspect(end, given_up_time))
            .inspect(|run| run.is_blamed.set(true))
            .collect()
    }

    /// Records that the registration of a later process in the place of `process` is known; returns the
    /// runs that the earlier one held, like [`Self::take_ended`], unless its end was known before.
    ///
    /// If it was, the runs that were added since then are runs of the later process.
    pub fn supersede(
        &mut self,
        process: &ProcessId,
        successor: &ProcessId,
        now: Instant,
    ) -> Vec<Rc<RunRecord>> {
        if self.ended.remove(process).is_none() {
            return self.remove_suspects(process, now);
        }
        let held = self.processes.remove(process).unwrap_or_default();
        for run in &held.runs {
            let mut first = run.first_process.borrow_mut();
            if first.as_ref() == Some(process) {
                *first = Some(ProcessId::clone(successor));
            }
            drop(first);
            self.add(successor, run);
        }
        Vec::new()
    }

    /// Forgets the runs that cannot become suspects any more.
    pub fn sweep(&mut self, now: Instant) {
        let settings = &self.settings;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < settings.ended_time;
        self.ended.retain(|_, at| is_recent(*at));
        self.processes.retain(|_, held| {
            let is_recent =
                |at: &Instant| now.saturating_duration_since(*at) < settings.unanswered_time;
            held.unanswered_since = held.unanswered_since.filter(is_recent);
            let end = held.unanswered_since.unwrap_or(now);
            let is_kept = |run: &Rc<RunRecord>| run.is_suspect(end, settings.given_up_time);
            held.runs.retain(is_kept);
            !held.runs.is_empty()
        });
    }

    /// Returns the number of processes with runs.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Returns whether no process has runs.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }
}
