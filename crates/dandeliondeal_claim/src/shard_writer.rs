//! Decides the platform calls of one shard's log; performs none.
//!
//! One call is outstanding at a time, and all records that arrive meanwhile go into the next
//! write. A reply is given only on what the log holds: after a lost answer the tail is read, and
//! if it is unchanged, the next append goes out under the same condition, so that of the two at
//! most one takes effect.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use dandeliondeal_types::{ObjectValue, Outcome, StoreError, Version};

use crate::claim_error::ClaimError;
use crate::claim_key::ShardIndex;
use crate::claim_record::{LogLine, OutcomeRecord};
use crate::claim_settings::ClaimSettings;
use crate::claim_table::ClaimDecision;
use crate::shard_log::{SegmentWrite, ShardLog};
use crate::shard_task::{
    ClaimOrigin, ShardAction, ShardEvent, ShardReply, ShardTask, TicketId, UnconfirmedCause,
};

#[derive(Debug)]
struct PendingTask {
    ticket: Option<TicketId>,
    task: ShardTask,
    deadline: Instant,
    /// Whether a write with it was ever sent.
    is_sent: bool,
    /// Whether the write that was sent last holds it.
    is_in_write: bool,
}

#[derive(Debug)]
enum CallState {
    Idle,
    Listing,
    Reading,
    Writing(SegmentWrite),
    Deleting,
}

/// The decisions for one shard.
#[derive(Debug)]
pub struct ShardWriter {
    shard: ShardIndex,
    settings: ClaimSettings,
    log: ShardLog,
    pending: VecDeque<PendingTask>,
    call: CallState,
    is_loaded: bool,
    is_stale: bool,
    failures: u32,
    paused_until: Option<Instant>,
    read_at: Option<Instant>,
}

impl ShardWriter {
    /// A writer that has read nothing yet.
    pub fn new(shard: ShardIndex, settings: ClaimSettings) -> Self {
        Self {
            shard,
            log: ShardLog::new(shard, settings.retention),
            settings,
            pending: VecDeque::new(),
            call: CallState::Idle,
            is_loaded: false,
            is_stale: false,
            failures: 0,
            paused_until: None,
            read_at: None,
        }
    }

    /// The log as it is known here.
    pub fn log(&self) -> &ShardLog {
        &self.log
    }

    /// Number of tasks that wait.
    pub fn backlog(&self) -> usize {
        self.pending.len()
    }

    /// Takes an event and tells what to do.
    pub fn handle(&mut self, event: ShardEvent, now: Instant) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        let result = match event {
            ShardEvent::Submit {
                ticket,
                task,
                deadline,
            } => {
                self.submit(ticket, task, deadline, &mut actions);
                Ok(())
            }
            ShardEvent::Listed(result) => self.listed(result, now),
            ShardEvent::Read(result) => self.read(result, now),
            ShardEvent::Written(result) => self.written(result, now, &mut actions),
            ShardEvent::Deleted(result) => {
                self.deleted(&result);
                Ok(())
            }
            ShardEvent::Tick => Ok(()),
        };
        match result {
            Ok(()) => self.advance(now, &mut actions),
            Err(_broken) => self.refuse_all(&mut actions),
        }
        actions
    }

    fn submit(
        &mut self,
        ticket: TicketId,
        task: ShardTask,
        deadline: Instant,
        actions: &mut Vec<ShardAction>,
    ) {
        if self.pending.len() >= self.settings.pending_limit {
            let reply = ShardReply::Unconfirmed(UnconfirmedCause::Overloaded);
            actions.push(ShardAction::Reply(ticket, reply));
            return;
        }
        if matches!(task, ShardTask::Look(_)) {
            self.is_stale = true;
        }
        self.pending.push_back(PendingTask {
            ticket: Some(ticket),
            task,
            deadline,
            is_sent: false,
            is_in_write: false,
        });
    }

    fn listed(
        &mut self,
        result: Result<Vec<ObjectValue>, StoreError>,
        now: Instant,
    ) -> Result<(), ClaimError> {
        self.call = CallState::Idle;
        match result {
            Ok(values) => {
                let retention = self.settings.retention;
                match ShardLog::load(self.shard, retention, &values, now)? {
                    Some(log) => self.loaded(log, now),
                    None => self.pause(self.settings.retry_pause, now),
                }
            }
            Err(error) => self.fail(&error, now),
        }
        Ok(())
    }

    fn loaded(&mut self, log: ShardLog, now: Instant) {
        self.log = log;
        self.is_loaded = true;
        self.is_stale = false;
        self.succeed(now);
    }

    fn read(
        &mut self,
        result: Result<Option<ObjectValue>, StoreError>,
        now: Instant,
    ) -> Result<(), ClaimError> {
        self.call = CallState::Idle;
        match result {
            Ok(value) => {
                self.is_stale = self.log.take_in(value.as_ref(), now)?;
                self.succeed(now);
            }
            Err(error) => self.fail(&error, now),
        }
        Ok(())
    }

    fn written(
        &mut self,
        result: Result<Version, StoreError>,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) -> Result<(), ClaimError> {
        let CallState::Writing(write) = std::mem::replace(&mut self.call, CallState::Idle) else {
            return Ok(());
        };
        match result {
            Ok(version) => {
                self.log.appended(&write, version, now)?;
                self.succeed(now);
                self.settle_recorded(actions);
            }
            Err(StoreError::Conflict { .. }) => self.is_stale = true,
            Err(error) => {
                self.is_stale |= !error.is_not_written();
                self.fail(&error, now);
            }
        }
        for pending in &mut self.pending {
            pending.is_in_write = false;
        }
        Ok(())
    }

    /// Replies to the outcomes of the write that took effect, also of requests not known here.
    fn settle_recorded(&mut self, actions: &mut Vec<ShardAction>) {
        for pending in std::mem::take(&mut self.pending) {
            if pending.is_in_write && matches!(pending.task, ShardTask::Record(_)) {
                reply_to(&pending, ShardReply::Recorded, actions);
            } else {
                self.pending.push_back(pending);
            }
        }
    }

    fn deleted(&mut self, result: &Result<(), StoreError>) {
        self.call = CallState::Idle;
        // A segment that is left over is harmless: its claims are expired for every reader.
        if result.is_ok() || result.as_ref().is_err_and(StoreError::is_conflict) {
            self.log.forget_oldest();
        }
    }

    fn succeed(&mut self, now: Instant) {
        self.failures = 0;
        self.paused_until = None;
        self.read_at = Some(now);
    }

    fn fail(&mut self, error: &StoreError, now: Instant) {
        let pause = match error {
            StoreError::OverBudget { wait } => *wait,
            _ => self.settings.retry_pause * 2_u32.saturating_pow(self.failures),
        };
        self.failures = (self.failures + 1).min(16);
        self.pause(pause, now);
    }

    fn pause(&mut self, pause: Duration, now: Instant) {
        self.paused_until = Some(now + pause.min(self.settings.longest_pause));
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        if matches!(self.call, CallState::Idle) && self.is_loaded && !self.is_stale {
            self.settle_pending(actions);
        }
        self.expire_pending(now, actions);
        if matches!(self.call, CallState::Idle) && !self.is_paused(now) {
            self.next_call(now, actions);
        }
        if let Some(time) = self.wake_time(now) {
            actions.push(ShardAction::Wake(time));
        }
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Replies to every task that the log decides.
    fn settle_pending(&mut self, actions: &mut Vec<ShardAction>) {
        for pending in std::mem::take(&mut self.pending) {
            match self.decide(&pending.task) {
                Some(reply) => reply_to(&pending, reply, actions),
                None => self.pending.push_back(pending),
            }
        }
    }

    fn decide(&self, task: &ShardTask) -> Option<ShardReply> {
        let table = self.log.table();
        match task {
            ShardTask::Claim(record, _origin) => match table.decide(record) {
                ClaimDecision::Free => None,
                ClaimDecision::Held => Some(ShardReply::Claimed),
                ClaimDecision::Repeat(view) => Some(ShardReply::Repeat(view)),
                ClaimDecision::KeyReused => Some(ShardReply::KeyReused),
                ClaimDecision::Withdrawn => Some(ShardReply::Withdrawn),
            },
            ShardTask::Record(record) => table.is_recorded(record).then_some(ShardReply::Recorded),
            ShardTask::Await(request) => {
                let view = table.view(request);
                let is_running = view
                    .as_ref()
                    .is_some_and(|view| view.state.outcome().is_none());
                (!is_running).then_some(ShardReply::Found(view))
            }
            ShardTask::Look(request) => Some(ShardReply::Found(table.view(request))),
        }
    }

    fn expire_pending(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        for pending in std::mem::take(&mut self.pending) {
            if now < pending.deadline {
                self.pending.push_back(pending);
                continue;
            }
            self.give_up(&pending, now, UnconfirmedCause::Deadline, actions);
        }
    }

    /// Gives up a task; a claim that may yet be in the log is withdrawn there.
    fn give_up(
        &mut self,
        pending: &PendingTask,
        now: Instant,
        cause: UnconfirmedCause,
        actions: &mut Vec<ShardAction>,
    ) {
        let reply = match &pending.task {
            ShardTask::Await(request) => ShardReply::Found(self.log.table().view(request)),
            _ => ShardReply::Unconfirmed(cause),
        };
        reply_to(pending, reply, actions);
        if let ShardTask::Claim(record, origin) = &pending.task
            && match origin {
                ClaimOrigin::Local => pending.is_sent,
                ClaimOrigin::Peer => false,
                ClaimOrigin::Unanswered => true,
            }
        {
            self.pending.push_back(PendingTask {
                ticket: None,
                task: ShardTask::Record(OutcomeRecord {
                    request: record.request.clone(),
                    outcome: Outcome::NotRun,
                    answer: None,
                }),
                deadline: now + self.settings.retention,
                is_sent: false,
                is_in_write: false,
            });
        }
    }

    fn refuse_all(&mut self, actions: &mut Vec<ShardAction>) {
        for pending in std::mem::take(&mut self.pending) {
            let reply = ShardReply::Unconfirmed(UnconfirmedCause::BrokenLog);
            reply_to(&pending, reply, actions);
        }
    }

    fn next_call(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        if !self.is_loaded {
            if !self.pending.is_empty() {
                self.call = CallState::Listing;
                actions.push(ShardAction::List(self.log.prefix()));
            }
            return;
        }
        if self.is_stale || self.is_poll_due(now) {
            self.call = CallState::Reading;
            actions.push(ShardAction::Get(self.log.tail_name()));
            return;
        }
        let lines = self.take_batch();
        if !lines.is_empty() {
            self.write(&lines, now, actions);
            return;
        }
        if let Some((name, version)) = self.log.expired_segment(self.settings.retention) {
            self.call = CallState::Deleting;
            actions.push(ShardAction::Delete(name, version));
        }
    }

    fn write(&mut self, lines: &[LogLine], now: Instant, actions: &mut Vec<ShardAction>) {
        match self.log.append(lines, &self.settings, now) {
            Ok(write) => {
                self.call = CallState::Writing(write.clone());
                actions.push(ShardAction::Put(write));
            }
            Err(_broken) => self.refuse_all(actions),
        }
    }

    /// The lines of the next write, at most a batch.
    ///
    /// Of two claims of one key the log's first line holds it.
    fn take_batch(&mut self) -> Vec<LogLine> {
        let mut lines = Vec::new();
        let mut bytes = 0;
        for pending in &mut self.pending {
            let line = match &pending.task {
                ShardTask::Claim(record, _origin) => LogLine::Claim(record.clone()),
                ShardTask::Record(record) => LogLine::Outcome(record.clone()),
                ShardTask::Await(_) | ShardTask::Look(_) => continue,
            };
            bytes += line.size_hint();
            if bytes > self.settings.batch_bytes && !lines.is_empty() {
                break;
            }
            pending.is_sent = true;
            pending.is_in_write = true;
            lines.push(line);
        }
        lines
    }

    fn is_poll_due(&self, now: Instant) -> bool {
        self.has_waiting_repeat() && self.poll_time().is_none_or(|time| now >= time)
    }

    fn has_waiting_repeat(&self) -> bool {
        let mut tasks = self.pending.iter().map(|pending| &pending.task);
        tasks.any(|task| matches!(task, ShardTask::Await(_)))
    }

    fn poll_time(&self) -> Option<Instant> {
        self.read_at.map(|time| time + self.settings.poll_interval)
    }

    /// When something is due without an answer of the platform.
    fn wake_time(&self, now: Instant) -> Option<Instant> {
        let deadlines = self.pending.iter().map(|pending| pending.deadline);
        let poll = self.poll_time().filter(|_time| self.has_waiting_repeat());
        let next = if matches!(self.call, CallState::Idle) {
            self.paused_until.filter(|until| *until > now).or(poll)
        } else {
            None
        };
        deadlines
            .chain(next)
            .min()
            .map(|time| time.max(now + Duration::from_millis(1)))
    }
}

fn reply_to(pending: &PendingTask, reply: ShardReply, actions: &mut Vec<ShardAction>) {
    if let Some(ticket) = pending.ticket {
        actions.push(ShardAction::Reply(ticket, reply));
    }
}
