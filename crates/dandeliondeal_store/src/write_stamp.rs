//! Unique stamps by which a process recognises its own writes.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use dandeliondeal_types::{Incarnation, InstanceId};

/// Unique identifier of a write, stored in the body of the written object.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{instance}.{incarnation}.{sequence}")]
pub struct WriteStamp {
    /// Instance that sent the write.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Sequence number of the stamp within the incarnation.
    pub sequence: u64,
}

/// Generator of the stamps of one process.
#[derive(Clone, Debug)]
pub struct StampSource {
    next: WriteStamp,
}

impl StampSource {
    /// Creates a generator whose first stamp has sequence number 1.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            next: WriteStamp {
                instance,
                incarnation,
                sequence: 1,
            },
        }
    }

    /// Returns the next stamp; each one is unique.
    pub fn next_stamp(&mut self) -> WriteStamp {
        let stamp = self.next.clone();
        self.next.sequence += 1;
        stamp
    }
}
