//! Datagrams that found their socket's buffer full. They wait in order behind the others of the same
//! socket, and one full socket holds up no other: [`Backlog::send`], and [`Backlog::flush`] when there may
//! be room again.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use border::{Outbound, Side};

/// The socket that a datagram leaves by: servers have one each.
pub type Way = (Side, Option<SocketAddr>);

pub fn way(out: &Outbound) -> Way {
    (out.side, (out.side == Side::Servers).then_some(out.peer))
}

pub struct Backlog {
    waiting: BTreeMap<Way, VecDeque<Outbound>>,
    length: usize,
    most: usize,
    dropped: u64,
}

impl Backlog {
    /// Keeps at most so many datagrams, over all sockets; what comes on top is dropped and counted.
    pub fn new(most: usize) -> Self {
        Self { waiting: BTreeMap::new(), length: 0, most, dropped: 0 }
    }

    /// `try_send` gives false where there was no room.
    pub fn send(&mut self, out: Outbound, try_send: impl FnOnce(&Outbound) -> bool) {
        let way = way(&out);
        if !self.waiting.contains_key(&way) && try_send(&out) {
            return;
        }
        if self.length < self.most {
            self.length += 1;
            self.waiting.entry(way).or_default().push_back(out);
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
    pub fn first(&self) -> Option<Way> {
        self.waiting.keys().next().copied()
    }

    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
