//! Signs of life of one engine, by the way on which they were learned.

use std::time::Instant;

/// Way on which a sign of life was learned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LifeSource {
    /// An own stream or check.
    Own,
    /// The report of an observer to this instance.
    Member,
    /// A report that another hub passed on.
    Relayed,
}

/// Last signs of life of an engine.
///
/// They are kept apart so that none is passed on twice: the age of a sign grows by less than the time
/// that its message takes, and two hubs that returned it to each other would keep a lost engine alive.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineLife {
    own: Option<Instant>,
    member: Option<Instant>,
    relayed: Option<Instant>,
}

impl EngineLife {
    /// Creates the state after one sign of life.
    pub(crate) fn new(source: LifeSource, at: Instant) -> Self {
        let mut life = Self::default();
        life.record(source, at);
        life
    }

    /// Records a sign of life.
    pub(crate) fn record(&mut self, source: LifeSource, at: Instant) {
        let last = match source {
            LifeSource::Own => &mut self.own,
            LifeSource::Member => &mut self.member,
            LifeSource::Relayed => &mut self.relayed,
        };
        *last = Some(at).max(*last);
    }

    /// Returns the last sign of life that this instance observed itself.
    pub(crate) fn own(&self) -> Option<Instant> {
        self.own
    }

    /// Returns the last sign of life that may be passed on.
    pub(crate) fn own_or_member(&self) -> Option<Instant> {
        self.own.max(self.member)
    }

    /// Returns the last sign of life.
    pub(crate) fn latest(&self) -> Option<Instant> {
        self.own_or_member().max(self.relayed)
    }
}
