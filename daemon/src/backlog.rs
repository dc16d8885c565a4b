//! Datagrams that found their socket's buffer full. They wait in order behind the others of the same
//! socket, and one full socket holds up no other: [`Backlog::send`], and [`Backlog::flush`] when there may
//! be room again.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use border::{Outbound, Side};

/// The socket that a datagram leaves by: servers have one each.
pub type SocketKey = (Side, Option<SocketAddr>);

pub fn socket_key(datagram: &Outbound) -> SocketKey {
    (datagram.side, (datagram.side == Side::Servers).then_some(datagram.peer))
}

pub struct Backlog {
    waiting: BTreeMap<SocketKey, VecDeque<Outbound>>,
    length: usize,
    max: usize,
    dropped: u64,
}

impl Backlog {
    /// Keeps at most so many datagrams, over all sockets; what comes on top is dropped and counted.
    pub fn new(max: usize) -> Self {
        Self { waiting: BTreeMap::new(), length: 0, max, dropped: 0 }
    }

    /// `try_send` gives false where there was no room.
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

    /// Tries each socket's first again, and what follows while there is room.
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

    /// A socket that something waits for.
    pub fn first(&self) -> Option<SocketKey> {
        self.waiting.keys().next().copied()
    }

    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
