//! Splits a byte stream into complete events.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Maximum size of a buffered event in bytes; an engine's event holds only a few tokens.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Error that ends the delivery of a stream.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event is too long.
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// Event ids are not consecutive, so an event is missing.
    #[display("event {found} follows event {last}")]
    Gap {
        /// Id of the last event before the gap.
        last: u64,
        /// Id of the event after the gap.
        found: u64,
    },
}

/// Buffers received bytes and returns complete events, each once and in order.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter that continues after the event `last_id`; `None` starts a new stream.
    pub fn starting_after(last_id: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the id of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds received bytes and returns the events that they complete.
    ///
    /// Events with an id up to the last one are dropped, because a restarted run repeats them.
    ///
    /// # Errors
    ///
    /// Returns [`EventError`] if an event is missing or too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            let Some(id) = event_id(&event) else {
                events.extend_from_slice(&event);
                continue;
            };
            match self.last_id {
                Some(last) if id <= last => {}
                Some(last) if id != last + 1 => return Err(EventError::Gap { last, found: id }),
                _ => {
                    self.last_id = Some(id);
                    events.extend_from_slice(&event);
                }
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(events.freeze())
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the incomplete event that a broken stream left in the buffer.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }
}

/// Returns the length of the first event, including the blank line that ends it.
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
