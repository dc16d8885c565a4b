//! A bounded queue of datagrams whose socket buffer was full. Each socket's datagrams stay in order, and a
//! full socket does not delay the others. [`Backlog::send`] sends or queues, [`Backlog::flush`] retries.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use border::{Outbound, Side};

/// Identifies the socket that a datagram is sent by: each server has its own.
pub type SocketKey = (Side, Option<SocketAddr>);

/// Returns the socket that a datagram is sent by.
pub fn socket_key(datagram: &Outbound) -> SocketKey {
    (datagram.side, (datagram.side == Side::Servers).then_some(datagram.peer))
}

/// Datagrams waiting for space in their socket's buffer.
pub struct Backlog {
    waiting: BTreeMap<SocketKey, VecDeque<Outbound>>,
    length: usize,
    max: usize,
    dropped: u64,
}

impl Backlog {
    /// Creates a backlog of at most `max` datagrams over all sockets; further ones are dropped and counted.
    pub fn new(max: usize) -> Self {
        Self { waiting: BTreeMap::new(), length: 0, max, dropped: 0 }
    }

    /// Sends a datagram, or queues it where others wait or `try_send` returns false: the buffer is full.
    pub fn send(&mut self, datagram: Outbound, try_send: impl FnOnce(&Outbound) -> bool) {
        let key = socket_key(&datagram);
        if !self.waiting.contains_key(&key) && try_send(&datagram) {
            return;
        }
        if self.length < self.max {
            self.length += 1;
            self.waiting.entry(key).or_default().push_back(datagram);
        } else {
            self.dropped += 1;
        }
    }

    /// Sends each socket's queued datagrams until `try_send` returns false for that socket.
    pub fn flush(&mut self, mut try_send: impl FnMut(&Outbound) -> bool) {
        let length = &mut self.length;
        self.waiting.retain(|_, queue| {
            while queue.front().is_some_and(&mut try_send) {
                queue.pop_front();
                *length -= 1;
            }
            !queue.is_empty()
        });
    }

    /// Returns one socket that has queued datagrams.
    pub fn first(&self) -> Option<SocketKey> {
        self.waiting.keys().next().copied()
    }

    /// Returns how many datagrams were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
