//! Names one write of one process, so that its effect can be recognised later.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use dandeliondeal_types::{Incarnation, InstanceId};

/// Stamp that a write carries in its body.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{instance}.{incarnation}.{sequence}")]
pub struct WriteStamp {
    /// The instance that wrote.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Counts the stamps of this incarnation.
    pub sequence: u64,
}

/// Gives out the stamps of one process.
#[derive(Clone, Debug)]
pub struct StampSource {
    next: WriteStamp,
}

impl StampSource {
    /// Starts with sequence 1.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            next: WriteStamp {
                instance,
                incarnation,
                sequence: 1,
            },
        }
    }

    /// The next stamp; no two are equal.
    pub fn stamp(&mut self) -> WriteStamp {
        let stamp = self.next.clone();
        self.next.sequence += 1;
        stamp
    }
}
