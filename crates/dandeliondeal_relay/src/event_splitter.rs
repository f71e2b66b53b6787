//! Cuts a stream of events into whole events.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Longest event that is buffered, in bytes; events of engines hold a few tokens.
const EVENT_LIMIT: usize = 64 * 1024;

/// Why a stream cannot be passed on further.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event is too long.
    #[display("an event is longer than {EVENT_LIMIT} bytes")]
    TooLong,
    /// Ids do not rise by one, so an event is missing.
    #[display("event {found} follows event {last}")]
    Gap {
        /// The last event in order.
        last: u64,
        /// The event that came.
        found: u64,
    },
}

/// Collects bytes and gives out whole events, each once and in order.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Starts after the event `last`, if the stream is resumed.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last,
        }
    }

    /// Id of the last event that was given out.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes in bytes and returns the whole events they complete.
    ///
    /// Events up to the last id are left out: a run that starts over repeats them.
    ///
    /// # Errors
    ///
    /// [`EventError`] if an event is missing or too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            let Some(id) = event_id(&event) else {
                events.extend_from_slice(&event);
                continue;
            };
            match self.last {
                Some(last) if id <= last => {}
                Some(last) if id != last + 1 => return Err(EventError::Gap { last, found: id }),
                _ => {
                    self.last = Some(id);
                    events.extend_from_slice(&event);
                }
            }
        }
        if self.buffer.len() > EVENT_LIMIT {
            return Err(EventError::TooLong);
        }
        Ok(events.freeze())
    }

    /// Whether a part of an event is left over.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Gives up the part of an event that a broken stream left.
    pub fn discard(&mut self) {
        self.buffer.clear();
    }
}

/// Length of the first event with the blank line that ends it.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
