//! State machine that decides the platform calls of one shard's log; it performs none itself.
//!
//! At most one call is outstanding, and all records that arrive in the meantime are batched into
//! the next write. Replies depend only on the content of the log. After a lost answer the tail is
//! read; if it is unchanged, the next append is sent under the same condition, so that at most one
//! of the two writes takes effect.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use dandeliondeal_types::{ObjectValue, Outcome, StoreError, StoreVersion};

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
    /// Whether any write that includes this task was sent.
    is_sent: bool,
    /// Whether the outstanding write includes this task.
    is_in_current_write: bool,
}

#[derive(Debug)]
enum CallState {
    Idle,
    Listing,
    Reading,
    Writing(SegmentWrite),
    Deleting,
}

/// Writer of one shard's log.
#[derive(Debug)]
pub struct ShardWriter {
    shard: ShardIndex,
    settings: ClaimSettings,
    log: ShardLog,
    pending: VecDeque<PendingTask>,
    call: CallState,
    is_loaded: bool,
    /// Whether the tail has to be read before the log can be used.
    is_stale: bool,
    consecutive_failures: u32,
    paused_until: Option<Instant>,
    last_success: Option<Instant>,
}

impl ShardWriter {
    /// Creates a writer that has not read the log yet.
    pub fn new(shard: ShardIndex, settings: ClaimSettings) -> Self {
        Self {
            shard,
            log: ShardLog::new(shard, settings.retention),
            settings,
            pending: VecDeque::new(),
            call: CallState::Idle,
            is_loaded: false,
            is_stale: false,
            consecutive_failures: 0,
            paused_until: None,
            last_success: None,
        }
    }

    /// Returns the log as last read or written.
    pub fn log(&self) -> &ShardLog {
        &self.log
    }

    /// Returns the number of pending tasks.
    pub fn backlog(&self) -> usize {
        self.pending.len()
    }

    /// Handles an event and returns the actions to execute.
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
            ShardEvent::Listed(result) => self.handle_listed(result, now),
            ShardEvent::Read(result) => self.handle_read(result, now),
            ShardEvent::Written(result) => self.handle_written(result, now, &mut actions),
            ShardEvent::Deleted(result) => {
                self.handle_deleted(&result);
                Ok(())
            }
            ShardEvent::Tick => Ok(()),
        };
        match result {
            Ok(()) => self.advance(now, &mut actions),
            Err(_error) => self.fail_pending(&mut actions),
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
        if self.pending.len() >= self.settings.max_pending_tasks {
            let reply = ShardReply::Unconfirmed(UnconfirmedCause::Overloaded);
            actions.push(ShardAction::Reply(ticket, reply));
            return;
        }
        if matches!(task, ShardTask::Find(_)) {
            self.is_stale = true;
        }
        self.pending.push_back(PendingTask {
            ticket: Some(ticket),
            task,
            deadline,
            is_sent: false,
            is_in_current_write: false,
        });
    }

    fn handle_listed(
        &mut self,
        result: Result<Vec<ObjectValue>, StoreError>,
        now: Instant,
    ) -> Result<(), ClaimError> {
        self.call = CallState::Idle;
        match result {
            Ok(values) => {
                let retention = self.settings.retention;
                match ShardLog::from_segments(self.shard, retention, &values, now)? {
                    Some(log) => self.replace_log(log, now),
                    None => self.pause_calls(self.settings.initial_retry_delay, now),
                }
            }
            Err(error) => self.record_failure(&error, now),
        }
        Ok(())
    }

    fn replace_log(&mut self, log: ShardLog, now: Instant) {
        self.log = log;
        self.is_loaded = true;
        self.is_stale = false;
        self.record_success(now);
    }

    fn handle_read(
        &mut self,
        result: Result<Option<ObjectValue>, StoreError>,
        now: Instant,
    ) -> Result<(), ClaimError> {
        self.call = CallState::Idle;
        match result {
            Ok(value) => {
                self.is_stale = self.log.apply_tail(value.as_ref(), now)?;
                self.record_success(now);
            }
            Err(error) => self.record_failure(&error, now),
        }
        Ok(())
    }

    fn handle_written(
        &mut self,
        result: Result<StoreVersion, StoreError>,
        now: Instant,
        actions: &mut Vec<ShardAction>,
    ) -> Result<(), ClaimError> {
        let CallState::Writing(write) = std::mem::replace(&mut self.call, CallState::Idle) else {
            return Ok(());
        };
        match result {
            Ok(version) => {
                self.log.apply_append(&write, version, now)?;
                self.record_success(now);
                self.reply_to_recorded(actions);
            }
            Err(StoreError::Conflict { .. }) => self.is_stale = true,
            Err(error) => {
                self.is_stale |= !error.is_not_written();
                self.record_failure(&error, now);
            }
        }
        for pending in &mut self.pending {
            pending.is_in_current_write = false;
        }
        Ok(())
    }

    /// Replies to the outcome records in a completed write.
    ///
    /// This includes outcomes of requests that are not in the table, which
    /// [`ClaimTable::is_recorded`](crate::ClaimTable::is_recorded) never confirms.
    fn reply_to_recorded(&mut self, actions: &mut Vec<ShardAction>) {
        for pending in std::mem::take(&mut self.pending) {
            if pending.is_in_current_write && matches!(pending.task, ShardTask::Record(_)) {
                reply_to(&pending, ShardReply::Recorded, actions);
            } else {
                self.pending.push_back(pending);
            }
        }
    }

    fn handle_deleted(&mut self, result: &Result<(), StoreError>) {
        self.call = CallState::Idle;
        // A segment that still exists after a conflict is harmless: all readers treat its claims as
        // expired.
        if result.is_ok() || result.as_ref().is_err_and(StoreError::is_conflict) {
            self.log.remove_oldest_segment();
        }
    }

    fn record_success(&mut self, now: Instant) {
        self.consecutive_failures = 0;
        self.paused_until = None;
        self.last_success = Some(now);
    }

    fn record_failure(&mut self, error: &StoreError, now: Instant) {
        let delay = match error {
            StoreError::OverBudget { wait } => *wait,
            _ => {
                self.settings.initial_retry_delay * 2_u32.saturating_pow(self.consecutive_failures)
            }
        };
        self.consecutive_failures = (self.consecutive_failures + 1).min(16);
        self.pause_calls(delay, now);
    }

    fn pause_calls(&mut self, delay: Duration, now: Instant) {
        self.paused_until = Some(now + delay.min(self.settings.max_retry_delay));
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        if matches!(self.call, CallState::Idle) && self.is_loaded && !self.is_stale {
            self.reply_to_decided(actions);
        }
        self.abandon_overdue(now, actions);
        if matches!(self.call, CallState::Idle) && !self.is_paused(now) {
            self.start_call(now, actions);
        }
        if let Some(time) = self.wake_time(now) {
            actions.push(ShardAction::Wake(time));
        }
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Replies to every pending task whose result follows from the log.
    fn reply_to_decided(&mut self, actions: &mut Vec<ShardAction>) {
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
                ClaimDecision::AlreadyClaimed => Some(ShardReply::Claimed),
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
            ShardTask::Find(request) => Some(ShardReply::Found(table.view(request))),
        }
    }

    fn abandon_overdue(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        for pending in std::mem::take(&mut self.pending) {
            if now < pending.deadline {
                self.pending.push_back(pending);
                continue;
            }
            self.abandon_task(&pending, now, UnconfirmedCause::Deadline, actions);
        }
    }

    /// Abandons a task, and withdraws a claim that may still be written to the log.
    fn abandon_task(
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
                ClaimOrigin::UnresponsivePeer => true,
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
                is_in_current_write: false,
            });
        }
    }

    fn fail_pending(&mut self, actions: &mut Vec<ShardAction>) {
        for pending in std::mem::take(&mut self.pending) {
            let reply = ShardReply::Unconfirmed(UnconfirmedCause::BrokenLog);
            reply_to(&pending, reply, actions);
        }
    }

    fn start_call(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
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
        let lines = self.next_batch();
        if !lines.is_empty() {
            self.start_write(&lines, now, actions);
            return;
        }
        if let Some((name, version)) = self.log.expired_segment(self.settings.retention) {
            self.call = CallState::Deleting;
            actions.push(ShardAction::Delete(name, version));
        }
    }

    fn start_write(&mut self, lines: &[LogLine], now: Instant, actions: &mut Vec<ShardAction>) {
        match self.log.append_write(lines, &self.settings, now) {
            Ok(write) => {
                self.call = CallState::Writing(write.clone());
                actions.push(ShardAction::Put(write));
            }
            Err(_error) => self.fail_pending(actions),
        }
    }

    /// Returns the lines of the next write, up to the batch size, and marks their tasks as sent.
    ///
    /// A batch may hold several claims of one key; the first line in the log claims it.
    fn next_batch(&mut self) -> Vec<LogLine> {
        let mut lines = Vec::new();
        let mut bytes = 0;
        for pending in &mut self.pending {
            let line = match &pending.task {
                ShardTask::Claim(record, _origin) => LogLine::Claim(record.clone()),
                ShardTask::Record(record) => LogLine::Outcome(record.clone()),
                ShardTask::Await(_) | ShardTask::Find(_) => continue,
            };
            bytes += line.size_hint();
            if bytes > self.settings.batch_bytes && !lines.is_empty() {
                break;
            }
            pending.is_sent = true;
            pending.is_in_current_write = true;
            lines.push(line);
        }
        lines
    }

    fn is_poll_due(&self, now: Instant) -> bool {
        self.has_pending_await() && self.next_poll_time().is_none_or(|time| now >= time)
    }

    fn has_pending_await(&self) -> bool {
        let mut tasks = self.pending.iter().map(|pending| &pending.task);
        tasks.any(|task| matches!(task, ShardTask::Await(_)))
    }

    fn next_poll_time(&self) -> Option<Instant> {
        self.last_success
            .map(|time| time + self.settings.poll_interval)
    }

    /// Returns the time of the next tick that is needed if no platform answer arrives.
    fn wake_time(&self, now: Instant) -> Option<Instant> {
        let deadlines = self.pending.iter().map(|pending| pending.deadline);
        let poll_time = self
            .next_poll_time()
            .filter(|_time| self.has_pending_await());
        let next_call_time = if matches!(self.call, CallState::Idle) {
            self.paused_until.filter(|until| *until > now).or(poll_time)
        } else {
            None
        };
        deadlines
            .chain(next_call_time)
            .min()
            .map(|time| time.max(now + Duration::from_millis(1)))
    }
}

fn reply_to(pending: &PendingTask, reply: ShardReply, actions: &mut Vec<ShardAction>) {
    if let Some(ticket) = pending.ticket {
        actions.push(ShardAction::Reply(ticket, reply));
    }
}
