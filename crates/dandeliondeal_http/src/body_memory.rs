//! Limits the memory that response bodies take while they are read, over all connections.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use crate::connection_error::ConnectionError;
use crate::endpoint_connection::EndpointConnection;

/// Size in bytes up to which a body is read even if no memory is left, so that endless bodies do not
/// break ordinary ones.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Memory for bodies that are being read; clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    state: Rc<MemoryState>,
}

#[derive(Debug)]
struct MemoryState {
    limit: usize,
    held: Cell<usize>,
    denials: Cell<u64>,
}

impl BodyMemory {
    /// Creates a limit of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            state: Rc::new(MemoryState {
                limit,
                held: Cell::new(0),
                denials: Cell::new(0),
            }),
        }
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.state.held.get()
    }

    /// Returns the number of bodies that were given up for want of memory.
    pub fn denials(&self) -> u64 {
        self.state.denials.get()
    }
}

/// Bytes of one body, which are returned when it is dropped.
struct HeldBytes<'memory> {
    state: &'memory MemoryState,
    bytes: usize,
}

impl HeldBytes<'_> {
    /// Adds bytes; returns `false` if the body is not small and no memory is left.
    fn try_grow(&mut self, bytes: usize) -> bool {
        let held = self.state.held.get() + bytes;
        if self.bytes + bytes > SMALL_BODY_BYTES && held > self.state.limit {
            self.state.denials.set(self.state.denials.get() + 1);
            return false;
        }
        self.bytes += bytes;
        self.state.held.set(held);
        true
    }
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        self.state.held.set(self.state.held.get() - self.bytes);
    }
}

impl EndpointConnection {
    /// Reads the complete body, of at most `limit` bytes, as far as `memory` allows.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is longer, if no memory is left for it, or if the connection failed
    /// before its end.
    pub async fn read_body_within(
        &mut self,
        limit: usize,
        memory: &BodyMemory,
    ) -> Result<Bytes, ConnectionError> {
        let mut held = HeldBytes {
            state: &memory.state,
            bytes: 0,
        };
        let mut body = BytesMut::new();
        while let Some(chunk) = self.read_chunk().await? {
            if body.len() + chunk.len() > limit {
                let text = format!("answer longer than {limit} bytes");
                return Err(ConnectionError::invalid_answer(&text));
            }
            if !held.try_grow(chunk.len()) {
                return Err(ConnectionError::invalid_answer(
                    "no memory is left for an answer of this length",
                ));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}
