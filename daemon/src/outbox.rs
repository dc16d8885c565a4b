//! Bytes that wait to be written to a connection. Those for all callers share a limit, so that callers who read
//! nothing do not fill the memory together.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Buf, BytesMut};

/// Unwritten bytes kept for a peer that does not read; a connection that exceeds this is closed.
const MAX_OUTBOX_BYTES: usize = 256 * 1024;

/// The unwritten bytes of several connections, and how many there may be.
#[derive(Clone)]
pub struct SharedLimit {
    max_bytes: usize,
    used: Rc<Cell<usize>>,
}

impl SharedLimit {
    /// Creates a limit of which nothing is used.
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, used: Rc::default() }
    }

    fn free(&self) -> usize {
        self.max_bytes.saturating_sub(self.used.get())
    }
}

/// The unwritten bytes of one connection.
pub struct Outbox {
    bytes: BytesMut,
    limit: Option<SharedLimit>,
}

impl Outbox {
    /// Creates an empty outbox, under a shared limit if there is one.
    pub fn new(limit: Option<SharedLimit>) -> Self {
        Self { bytes: BytesMut::new(), limit }
    }

    /// The bytes that wait.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether no bytes wait.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds bytes; false if there would be too many. Under a shared limit an outbox may hold no more than what is free
    /// of it, so that the connections with the most unwritten bytes exceed it first.
    #[must_use]
    pub fn add(&mut self, bytes: &[u8]) -> bool {
        let shared = self.limit.as_ref().map_or(usize::MAX, SharedLimit::free);
        if self.bytes.len() + bytes.len() > MAX_OUTBOX_BYTES.min(shared) {
            return false;
        }
        self.bytes.extend_from_slice(bytes);
        if let Some(limit) = &self.limit {
            limit.used.set(limit.used.get() + bytes.len());
        }
        true
    }

    /// Removes bytes that have been written. An empty outbox holds no memory.
    pub fn written(&mut self, length: usize) {
        self.bytes.advance(length);
        self.release(length);
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
    }

    fn release(&self, length: usize) {
        if let Some(limit) = &self.limit {
            limit.used.set(limit.used.get() - length);
        }
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.release(self.bytes.len());
    }
}
