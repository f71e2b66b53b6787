//! Splits a byte stream into complete events.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Maximum size of a buffered event in bytes; an engine's event holds only a few tokens.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// Maximum size in bytes of repeated events before a new one; a restarted run may repeat thousands.
const MAX_REPEATED_BYTES: usize = 1024 * 1024;

/// Error that ends the delivery of a stream.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event is too long.
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// There are too many events without an id.
    #[display("more than {MAX_EVENT_BYTES} bytes of events have no id")]
    Unnumbered,
    /// Events up to the last one are repeated too often.
    #[display("more than {MAX_REPEATED_BYTES} bytes of events are repeated")]
    Repeats,
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
    /// Length of the complete events without an id at the start of the buffer.
    unnumbered: usize,
    /// Position in the buffer up to which no event ends.
    searched: usize,
    /// Start of the line that contains this position.
    line_start: usize,
    /// Size of the events that were dropped since the last new one, in bytes.
    repeated_bytes: usize,
    last_id: Option<u64>,
    /// Error after the events that were returned.
    error: Option<EventError>,
}

impl EventSplitter {
    /// Creates a splitter that continues after the event `last_id`; `None` starts a new stream.
    pub fn starting_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the id of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds received bytes and returns the events that they complete.
    ///
    /// Events with an id up to the last one are dropped, because a restarted run repeats them. Events
    /// without an id are returned with the next event that has one, because they are no progress. An
    /// error after complete events is returned by the next call of this method or [`Self::check`].
    ///
    /// # Errors
    ///
    /// Returns [`EventError`] if an event is missing or too long, or if no new event comes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.check()?;
        self.buffer.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        self.error = self.split_events(&mut events).err();
        if events.is_empty() {
            self.check()?;
        }
        Ok(events.freeze())
    }

    /// Moves complete events from the buffer to `events`.
    fn split_events(&mut self, events: &mut BytesMut) -> Result<(), EventError> {
        while let Some(end) = self.find_event_end() {
            let Some(id) = event_id(&self.buffer[self.unnumbered..end]) else {
                self.unnumbered = end;
                self.searched = end;
                self.line_start = end;
                continue;
            };
            let event = self.buffer.split_to(end);
            self.unnumbered = 0;
            self.searched = 0;
            self.line_start = 0;
            match self.last_id {
                Some(last) if id <= last => {
                    self.repeated_bytes += event.len();
                    if self.repeated_bytes > MAX_REPEATED_BYTES {
                        return Err(EventError::Repeats);
                    }
                }
                Some(last) if id != last + 1 => return Err(EventError::Gap { last, found: id }),
                _ => {
                    self.last_id = Some(id);
                    self.repeated_bytes = 0;
                    events.extend_from_slice(&event);
                }
            }
        }
        match self.buffer.len() {
            0..=MAX_EVENT_BYTES => Ok(()),
            _ if self.unnumbered > 0 => Err(EventError::Unnumbered),
            _ => Err(EventError::TooLong),
        }
    }

    /// Returns the error that follows the returned events.
    ///
    /// # Errors
    ///
    /// Returns [`EventError`] if there is one.
    pub fn check(&self) -> Result<(), EventError> {
        self.error.map_or(Ok(()), Err)
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn is_partial(&self) -> bool {
        self.buffer.len() > self.unnumbered || self.error.is_some()
    }

    /// Returns the events without an id that follow the last event of a complete stream.
    pub fn take_rest(&mut self) -> Bytes {
        let rest = self.buffer.split_to(self.unnumbered).freeze();
        self.discard_partial();
        rest
    }

    /// Drops the incomplete event that a broken stream left in the buffer.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.error = None;
        self.unnumbered = 0;
        self.searched = 0;
        self.line_start = 0;
    }

    /// Returns the length of the first event, including the blank line that ends it.
    fn find_event_end(&mut self) -> Option<usize> {
        for (index, byte) in self.buffer.iter().enumerate().skip(self.searched) {
            if *byte != b'\n' {
                continue;
            }
            let line = &self.buffer[self.line_start..index];
            if line.is_empty() || line == b"\r" {
                return Some(index + 1);
            }
            self.line_start = index + 1;
        }
        self.searched = self.buffer.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
