//! State machine that decides the platform calls of one lease; it performs none itself.
//!
//! The holder measures its term from the time before it sent the write that acquired or renewed
//! the lease, and subtracts a margin. A contender measures the term from the time it read that
//! write, and adds the margin. Clocks of different processes are never compared. The fencing
//! number follows from the version of the lease object, since each write increases it.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use dandeliondeal_chart::{ChartError, ChartMachine};
use dandeliondeal_types::{
    Clock, FencingNumber, Incarnation, InstanceId, ObjectName, ObjectValue, PutCondition, StoreEra,
    StoreError, StoreVersion,
};
use serde::{Deserialize, Serialize};

use crate::lease_state::{LeaseState, LeaseTrigger, lease_chart};
use crate::write_stamp::{StampSource, WriteStamp};

/// Settings of a lease; all contenders must use the same `term`.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// Name of the lease object.
    pub name: ObjectName,
    /// Name of this instance.
    pub instance: InstanceId,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// Duration of a holder's term if it is not renewed.
    pub term: Duration,
    /// Allowance for clocks that run at different speeds.
    ///
    /// It is subtracted from the term that a holder assumes, and added to the term that a contender
    /// waits for.
    pub clock_margin: Duration,
    /// Interval between renewals by the holder, and between reads by a contender.
    pub renewal_interval: Duration,
    /// Maximum time between two clock readings.
    ///
    /// A longer gap is treated as a pause of the process, after which the lease is read again.
    pub max_clock_gap: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            name: "leases/orders".into(),
            instance: "entry".into(),
            incarnation: 1,
            term: Duration::from_secs(10),
            clock_margin: Duration::from_secs(1),
            renewal_interval: Duration::from_secs(3),
            max_clock_gap: Duration::from_secs(2),
        }
    }
}

/// Clock reading used by a lease.
///
/// The wall clock can only end a term early: it reveals a suspension during which the monotonic
/// clock did not advance.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTime {
    /// Reading of the monotonic clock.
    pub now: Instant,
    /// Reading of the wall clock.
    pub wall: SystemTime,
}

impl LeaseTime {
    /// Reads the current time from a clock.
    pub fn of<ClockSource>(clock: &ClockSource) -> Self
    where
        ClockSource: Clock,
    {
        Self {
            now: clock.now(),
            wall: clock.wall_time(),
        }
    }
}

/// Input to the lease machine.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// Time has passed; has to be sent at least twice per [`LeaseSettings::max_clock_gap`].
    Tick,
    /// Result of [`LeaseAction::Get`].
    Read(Result<Option<ObjectValue>, StoreError>),
    /// Result of [`LeaseAction::Put`].
    Written(Result<StoreVersion, StoreError>),
    /// The process releases the lease.
    Release,
}

/// Action for the caller of the lease machine to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Reads the lease object.
    Get(ObjectName),
    /// Writes the lease object.
    Put {
        /// Name of the object.
        name: ObjectName,
        /// Condition of the write.
        condition: PutCondition,
        /// Content of the object.
        body: Arc<str>,
    },
}

/// Content of a lease object.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LeaseBody {
    stamp: WriteStamp,
    /// Whether the holder released the lease.
    released: bool,
}

#[derive(Clone, Debug)]
struct SentWrite {
    stamp: WriteStamp,
    sent_at: Instant,
    is_release: bool,
}

/// State of one lease in one process.
#[derive(Debug)]
pub struct LeaseMachine {
    settings: LeaseSettings,
    machine: ChartMachine<LeaseState, LeaseTrigger>,
    stamps: StampSource,
    /// Version of the object when it was last read or written.
    version: Option<StoreVersion>,
    /// Time at which `version` was first read or written.
    version_known_since: Option<Instant>,
    term_end: Option<Instant>,
    last_write: Option<SentWrite>,
    is_call_pending: bool,
    next_call_at: Option<Instant>,
    last_time: Option<LeaseTime>,
    term_count: u64,
}

impl LeaseMachine {
    /// Creates a contender that has not read the lease object yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the chart file is invalid.
    pub fn new(settings: LeaseSettings) -> Result<Self, ChartError> {
        let instance = Arc::clone(&settings.instance);
        Ok(Self {
            machine: ChartMachine::new(lease_chart()?),
            stamps: StampSource::new(instance, settings.incarnation),
            settings,
            version: None,
            version_known_since: None,
            term_end: None,
            last_write: None,
            is_call_pending: false,
            next_call_at: None,
            last_time: None,
            term_count: 0,
        })
    }

    /// Returns the last state, which may be outdated.
    ///
    /// Use [`LeaseMachine::fencing_number`] to decide whether an action is allowed.
    pub fn state(&self) -> LeaseState {
        self.machine.state()
    }

    /// Returns the fencing number if this process holds the lease at the given time.
    ///
    /// Has to be called immediately before each action.
    pub fn fencing_number(&mut self, time: LeaseTime) -> Option<FencingNumber> {
        self.check_clock(time);
        let version = self.version.filter(|_| self.state() == LeaseState::Held);
        version.map(StoreVersion::fencing_number)
    }

    /// Ends a term of an earlier era; the restored store may hold another lease, or none.
    ///
    /// The lease is read again before it is written.
    pub fn observe_era(&mut self, era: StoreEra) {
        if self.version.is_some_and(|version| version.era < era) {
            self.version = None;
            self.version_known_since = None;
            self.apply(LeaseTrigger::Doubt);
            self.next_call_at = None;
        }
    }

    /// Returns the number of terms started so far.
    ///
    /// A term that is confirmed again after a doubt counts as a new one.
    pub fn term_count(&self) -> u64 {
        self.term_count
    }

    /// Returns the end of this process's term on its own clock, or `None` if it has no term.
    pub fn term_end(&self) -> Option<Instant> {
        self.term_end
    }

    /// Handles an event and returns the action to execute, if any.
    pub fn handle(&mut self, event: LeaseEvent, time: LeaseTime) -> Option<LeaseAction> {
        self.check_clock(time);
        match event {
            LeaseEvent::Tick => {}
            LeaseEvent::Read(result) => self.handle_read(result, time.now),
            LeaseEvent::Written(result) => self.handle_written(result, time.now),
            LeaseEvent::Release => return self.handle_release(time.now),
        }
        if self.is_call_pending || self.next_call_at.is_some_and(|next| time.now < next) {
            return None;
        }
        self.start_call(time.now)
    }

    /// Ends the term if it has expired or if the process was paused.
    fn check_clock(&mut self, time: LeaseTime) {
        let was_paused = self.last_time.is_some_and(|last| {
            let monotonic_gap = time.now.saturating_duration_since(last.now);
            let wall_gap = time.wall.duration_since(last.wall).unwrap_or_default();
            monotonic_gap.max(wall_gap) > self.settings.max_clock_gap
        });
        self.last_time = Some(time);
        if was_paused {
            self.apply(LeaseTrigger::Doubt);
            self.next_call_at = None;
        }
        if self.term_end.is_some_and(|end| time.now >= end) {
            self.apply(LeaseTrigger::Lapse);
        }
    }

    fn handle_read(&mut self, result: Result<Option<ObjectValue>, StoreError>, now: Instant) {
        self.is_call_pending = false;
        self.next_call_at = Some(now + self.settings.renewal_interval);
        let Ok(value) = result else {
            return;
        };
        let version = value.as_ref().map(|value| value.version);
        if self.version != version || self.version_known_since.is_none() {
            self.version = version;
            self.version_known_since = Some(now);
        }
        let body = value.and_then(|value| serde_json::from_str::<LeaseBody>(&value.body).ok());
        let trigger = self.classify_body(body.as_ref(), now);
        if trigger == LeaseTrigger::SeenOwn {
            self.start_term();
        }
        self.apply(trigger);
        if self.state() == LeaseState::Contending {
            self.next_call_at = None;
        }
    }

    fn classify_body(&self, body: Option<&LeaseBody>, now: Instant) -> LeaseTrigger {
        let Some(body) = body.filter(|body| !body.released) else {
            return LeaseTrigger::SeenFree;
        };
        let last_write = self.last_write.as_ref();
        let is_own_write =
            last_write.is_some_and(|write| !write.is_release && write.stamp == body.stamp);
        // An own write whose term has ended leaves the lease free. As a current term it would lapse
        // at once, and the next read would find the same write again.
        if is_own_write && self.own_term_end().is_some_and(|end| now < end) {
            return LeaseTrigger::SeenOwn;
        }
        let is_own_earlier_write = body.stamp.instance == self.settings.instance
            && body.stamp.incarnation == self.settings.incarnation;
        let term = self.settings.term + self.settings.clock_margin;
        let is_expired = self
            .version_known_since
            .is_some_and(|time| now >= time + term);
        if is_own_earlier_write || is_expired {
            LeaseTrigger::SeenFree
        } else {
            LeaseTrigger::SeenOther
        }
    }

    fn handle_written(&mut self, result: Result<StoreVersion, StoreError>, now: Instant) {
        self.is_call_pending = false;
        self.next_call_at = Some(now + self.settings.renewal_interval);
        match result {
            Ok(version) => {
                self.version = Some(version);
                self.version_known_since = Some(now);
                self.start_term();
                self.apply(LeaseTrigger::SeenOwn);
            }
            // Nothing was written, so a current term continues.
            Err(error) if error.is_not_written() && !error.is_conflict() => {}
            Err(_error) => {
                // The version is no longer known, and neither is the fencing number.
                self.apply(LeaseTrigger::Doubt);
                self.next_call_at = None;
            }
        }
    }

    /// Starts a term, counted from just before the last write was sent.
    fn start_term(&mut self) {
        self.term_end = self.own_term_end();
    }

    /// Returns the end of the term that the last write starts.
    fn own_term_end(&self) -> Option<Instant> {
        let term = self
            .settings
            .term
            .saturating_sub(self.settings.clock_margin);
        self.last_write.as_ref().map(|write| write.sent_at + term)
    }

    fn start_call(&mut self, now: Instant) -> Option<LeaseAction> {
        self.is_call_pending = true;
        match self.state() {
            LeaseState::Unknown | LeaseState::Waiting => {
                Some(LeaseAction::Get(Arc::clone(&self.settings.name)))
            }
            LeaseState::Contending | LeaseState::Held => Some(self.start_write(false, now)),
            LeaseState::Released => {
                self.is_call_pending = false;
                None
            }
        }
    }

    fn start_write(&mut self, is_release: bool, now: Instant) -> LeaseAction {
        let stamp = self.stamps.next_stamp();
        let body = LeaseBody {
            stamp: stamp.clone(),
            released: is_release,
        };
        self.last_write = Some(SentWrite {
            stamp,
            sent_at: now,
            is_release,
        });
        LeaseAction::Put {
            name: Arc::clone(&self.settings.name),
            condition: self
                .version
                .map_or(PutCondition::Absent, PutCondition::Version),
            body: serde_json::to_string(&body).unwrap_or_default().into(),
        }
    }

    fn handle_release(&mut self, now: Instant) -> Option<LeaseAction> {
        let can_write = self.state() == LeaseState::Held && !self.is_call_pending;
        self.apply(LeaseTrigger::Release);
        can_write.then(|| self.start_write(true, now))
    }

    fn apply(&mut self, trigger: LeaseTrigger) {
        // The chart accepts every trigger in every state.
        let previous_state = self.state();
        let state = self.machine.apply(trigger).unwrap_or(previous_state);
        self.term_count +=
            u64::from(state == LeaseState::Held && previous_state != LeaseState::Held);
        if state != LeaseState::Held {
            self.term_end = None;
        }
    }
}
