//! Decides the platform calls of one lease; performs none.
//!
//! A holder counts its term from before the write that began it was sent, less a margin; a
//! contender counts from when it saw that write, plus a margin. No two clocks are compared. The
//! version of the lease object is the fencing number: each write raises it.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use dandeliondeal_chart::{ChartError, ChartMachine};
use dandeliondeal_types::{
    Clock, FencingNumber, Incarnation, InstanceId, ObjectName, ObjectValue, PutCondition,
    StoreError, Version,
};
use serde::{Deserialize, Serialize};

use crate::lease_state::{LeaseSight, LeaseState, lease_chart};
use crate::write_stamp::{StampSource, WriteStamp};

/// Settings of a lease; all contenders have to use the same `life`.
#[derive(Clone, Debug)]
pub struct LeaseSettings {
    /// The lease object.
    pub name: ObjectName,
    /// This instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Term of a holder without renewal.
    pub life: Duration,
    /// Allowance for clocks that run at different speeds; off a holder's term, onto a contender's.
    pub margin: Duration,
    /// Time between two renewals, and between two reads of a contender.
    pub interval: Duration,
    /// Longest time between two looks at the clock that is not taken as a pause of the process.
    pub gap: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            name: "leases/orders".into(),
            instance: "entry".into(),
            incarnation: 1,
            life: Duration::from_secs(10),
            margin: Duration::from_secs(1),
            interval: Duration::from_secs(3),
            gap: Duration::from_secs(2),
        }
    }
}

/// The time as a lease needs it.
///
/// The time of day only ever ends a term early: it shows a suspension that the monotonic clock
/// did not count.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTime {
    /// Monotonic time.
    pub now: Instant,
    /// Time of day.
    pub wall: SystemTime,
}

impl LeaseTime {
    /// The time by a clock.
    pub fn of<ClockSource>(clock: &ClockSource) -> Self
    where
        ClockSource: Clock,
    {
        Self {
            now: clock.now(),
            wall: clock.wall(),
        }
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// Time went by; comes at least every half of [`LeaseSettings::gap`].
    Tick,
    /// Answer to [`LeaseAction::Get`].
    Read(Result<Option<ObjectValue>, StoreError>),
    /// Answer to [`LeaseAction::Put`].
    Written(Result<Version, StoreError>),
    /// The process gives the lease back.
    Release,
}

/// What the shell has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Read the lease object.
    Get(ObjectName),
    /// Write the lease object.
    Put {
        /// The object.
        name: ObjectName,
        /// The condition.
        condition: PutCondition,
        /// The content.
        body: Arc<str>,
    },
}

/// Content of a lease object.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LeaseBody {
    stamp: WriteStamp,
    /// Whether the holder gave the lease back.
    released: bool,
}

#[derive(Clone, Debug)]
struct SentWrite {
    stamp: WriteStamp,
    sent: Instant,
    is_release: bool,
}

/// One process's view of one lease.
#[derive(Debug)]
pub struct LeaseMachine {
    settings: LeaseSettings,
    machine: ChartMachine<LeaseState, LeaseSight>,
    stamps: StampSource,
    /// Version of the object as it was read or written last.
    version: Option<Version>,
    /// When the present version was first seen.
    seen: Option<Instant>,
    term_end: Option<Instant>,
    write: Option<SentWrite>,
    is_calling: bool,
    next_call: Option<Instant>,
    last: Option<LeaseTime>,
    terms: u64,
}

impl LeaseMachine {
    /// A contender that knows nothing yet.
    ///
    /// # Errors
    ///
    /// The chart file is not sound.
    pub fn new(settings: LeaseSettings) -> Result<Self, ChartError> {
        let instance = Arc::clone(&settings.instance);
        Ok(Self {
            machine: ChartMachine::new(lease_chart()?),
            stamps: StampSource::new(instance, settings.incarnation),
            settings,
            version: None,
            seen: None,
            term_end: None,
            write: None,
            is_calling: false,
            next_call: None,
            last: None,
            terms: 0,
        })
    }

    /// The state, which may be out of date; [`LeaseMachine::fence`] decides about actions.
    pub fn state(&self) -> LeaseState {
        self.machine.state()
    }

    /// The fencing number, if this process holds the lease at this moment.
    ///
    /// Has to be asked just before each action.
    pub fn fence(&mut self, time: LeaseTime) -> Option<FencingNumber> {
        self.look(time);
        self.version
            .filter(|_version| self.state() == LeaseState::Held)
    }

    /// Number of terms begun so far; one that was in doubt for a moment counts as a new one.
    pub fn terms(&self) -> u64 {
        self.terms
    }

    /// End of this process's term on its own clock.
    pub fn term_end(&self) -> Option<Instant> {
        self.term_end
    }

    /// Takes an event and tells what to do.
    pub fn handle(&mut self, event: LeaseEvent, time: LeaseTime) -> Option<LeaseAction> {
        self.look(time);
        match event {
            LeaseEvent::Tick => {}
            LeaseEvent::Read(result) => self.read(result, time.now),
            LeaseEvent::Written(result) => self.written(result, time.now),
            LeaseEvent::Release => return self.release(time.now),
        }
        if self.is_calling || self.next_call.is_some_and(|next| time.now < next) {
            return None;
        }
        self.call(time.now)
    }

    /// Ends the term if it is over, or if the process was paused.
    fn look(&mut self, time: LeaseTime) {
        let is_paused = self.last.is_some_and(|last| {
            let monotonic = time.now.saturating_duration_since(last.now);
            let wall = time.wall.duration_since(last.wall).unwrap_or_default();
            monotonic.max(wall) > self.settings.gap
        });
        self.last = Some(time);
        if is_paused {
            self.apply(LeaseSight::Doubt);
            self.next_call = None;
        }
        if self.term_end.is_some_and(|end| time.now >= end) {
            self.apply(LeaseSight::Lapse);
        }
    }

    fn read(&mut self, result: Result<Option<ObjectValue>, StoreError>, now: Instant) {
        self.is_calling = false;
        self.next_call = Some(now + self.settings.interval);
        let Ok(value) = result else {
            return;
        };
        let version = value.as_ref().map(|value| value.version);
        if self.version != version || self.seen.is_none() {
            self.version = version;
            self.seen = Some(now);
        }
        let body = value.and_then(|value| serde_json::from_str::<LeaseBody>(&value.body).ok());
        let sight = self.sight(body.as_ref(), now);
        if sight == LeaseSight::Own {
            self.begin_term();
        }
        self.apply(sight);
        if self.state() == LeaseState::Contending {
            self.next_call = None;
        }
    }

    fn sight(&self, body: Option<&LeaseBody>, now: Instant) -> LeaseSight {
        let Some(body) = body.filter(|body| !body.released) else {
            return LeaseSight::Free;
        };
        let sent = self.write.as_ref();
        if sent.is_some_and(|sent| !sent.is_release && sent.stamp == body.stamp) {
            return LeaseSight::Own;
        }
        let is_older_own = body.stamp.instance == self.settings.instance
            && body.stamp.incarnation == self.settings.incarnation;
        let life = self.settings.life + self.settings.margin;
        let is_over = self.seen.is_some_and(|seen| now >= seen + life);
        if is_older_own || is_over {
            LeaseSight::Free
        } else {
            LeaseSight::Other
        }
    }

    fn written(&mut self, result: Result<Version, StoreError>, now: Instant) {
        self.is_calling = false;
        self.next_call = Some(now + self.settings.interval);
        match result {
            Ok(version) => {
                self.version = Some(version);
                self.seen = Some(now);
                self.begin_term();
                self.apply(LeaseSight::Own);
            }
            // Nothing was written: a term that runs goes on.
            Err(error) if error.is_not_written() && !error.is_conflict() => {}
            Err(_open) => {
                // The version is not known any more, and with it the fencing number.
                self.apply(LeaseSight::Doubt);
                self.next_call = None;
            }
        }
    }

    /// Counts the term from before the write was sent.
    fn begin_term(&mut self) {
        let length = self.settings.life.saturating_sub(self.settings.margin);
        self.term_end = self.write.as_ref().map(|write| write.sent + length);
    }

    fn call(&mut self, now: Instant) -> Option<LeaseAction> {
        self.is_calling = true;
        match self.state() {
            LeaseState::Unknown | LeaseState::Waiting => {
                Some(LeaseAction::Get(Arc::clone(&self.settings.name)))
            }
            LeaseState::Contending | LeaseState::Held => Some(self.put(false, now)),
            LeaseState::Released => {
                self.is_calling = false;
                None
            }
        }
    }

    fn put(&mut self, is_release: bool, now: Instant) -> LeaseAction {
        let stamp = self.stamps.stamp();
        let body = LeaseBody {
            stamp: stamp.clone(),
            released: is_release,
        };
        self.write = Some(SentWrite {
            stamp,
            sent: now,
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

    fn release(&mut self, now: Instant) -> Option<LeaseAction> {
        let is_held = self.state() == LeaseState::Held && !self.is_calling;
        self.apply(LeaseSight::Release);
        is_held.then(|| self.put(true, now))
    }

    fn apply(&mut self, sight: LeaseSight) {
        // The chart refuses no sight in any state.
        let before = self.state();
        let state = self.machine.apply(sight).unwrap_or(before);
        self.terms += u64::from(state == LeaseState::Held && before != LeaseState::Held);
        if state != LeaseState::Held {
            self.term_end = None;
        }
    }
}
