//! Outgoing packets, each within the cap.

use std::net::SocketAddr;

use super::{Node, Outgoing, RUMOURS_PER_PACKET, STATEMENTS_PER_PACKET};
use crate::budget::Priority;
use crate::keys::Id;
use crate::wire::{self, MAX_DATAGRAM_BYTES, Message, Packet};

impl Node {
    /// Sends a message to a known member.
    pub(super) fn send(&mut self, now: f64, to: Id, message: Message, priority: Priority) -> bool {
        let Some(address) = self.members.get(to).map(|member| member.address) else { return false };
        self.send_to(now, address, message, priority)
    }

    /// Sends a message with as many pending statements as fit, unless the cap forbids it. Returns whether it
    /// was sent.
    pub(super) fn send_to(
        &mut self,
        now: f64,
        peer: SocketAddr,
        message: Message,
        priority: Priority,
    ) -> bool {
        let authors = self.statements.authors_to_send(self.terms.max_faulty);
        self.send_with(now, peer, message, priority, authors)
    }

    /// Sends a message with the statements of these authors.
    pub(super) fn send_with(
        &mut self,
        now: f64,
        peer: SocketAddr,
        message: Message,
        priority: Priority,
        authors: Vec<Id>,
    ) -> bool {
        let mut rumours = self.members.next_rumours(RUMOURS_PER_PACKET);
        rumours.extend(self.members.doubt_about(peer));
        let mut size = Packet::max_overhead(&message, rumours.len());
        let mut carried = Vec::new();
        let mut statements = Vec::new();
        // The own statement is included where the receiver may not know it.
        let own = [self.id];
        let introduces = matches!(message, Message::Ping { .. });
        for id in own
            .iter()
            .filter(|_| introduces)
            .chain(authors.iter().filter(|id| !introduces || **id != self.id))
        {
            let Some(signed) = self.statements.signed(*id) else { continue };
            if size + signed.size() > MAX_DATAGRAM_BYTES || statements.len() >= STATEMENTS_PER_PACKET {
                break;
            }
            size += signed.size();
            statements.push(signed.clone());
            carried.push(*id);
        }
        self.counter += 1;
        let packet = Packet {
            version: wire::VERSION,
            from: self.id,
            incarnation: self.incarnation,
            counter: self.counter,
            message,
            rumours,
            statements,
        };
        // Charged with the upper bound of the size, before the expensive signing.
        if !self.budget.try_spend(now, size, priority) {
            return false;
        }
        let bytes = packet.authenticate(&self.secrets);
        debug_assert!(bytes.len() <= size, "{} over {size}", bytes.len());
        carried.into_iter().for_each(|id| self.statements.mark_transmitted(id));
        self.counts.sent_bytes += bytes.len() as u64;
        self.counts.packets += 1;
        self.send_queue.push_back(Outgoing { peer, bytes });
        true
    }
}
