//! Packets in: dropped, taken, answered.

use std::net::SocketAddr;

use rand::Rng;

use super::{CLASH_BEATS, DIGESTS, MOST_WORDS, Node, Ping};
use crate::budget::Priority;
use crate::wire::{self, Dropped, Message, Packet, Signed, Statement};

impl Node {
    /// A datagram came. Anything may stand in it.
    pub fn receive(&mut self, now: f64, from: SocketAddr, datagram: &[u8]) {
        let packet = match wire::verify(datagram, &self.secrets, &self.roster) {
            Ok(packet) => packet,
            Err(dropped) => {
                let count = match dropped {
                    Dropped::Tag => &mut self.counts.untagged,
                    Dropped::Stranger | Dropped::Signature => &mut self.counts.forged,
                    _ => &mut self.counts.malformed,
                };
                *count += 1;
                return;
            }
        };
        if packet.from == self.id {
            return;
        }
        if !self.windows.entry(packet.from).or_default().admit(packet.incarnation, packet.counter) {
            self.counts.replayed += 1;
            return;
        }
        self.members.seen(now, packet.from);
        for signed in &packet.statements {
            // Most are known already: only what would be new is worth the proof.
            match signed.read() {
                Some(known) if !self.statements.newer(&known) => {}
                Some(statement) if signed.proved(&statement, &self.roster) => {
                    self.take(now, statement, signed.clone())
                }
                _ => self.counts.bad_statements += 1,
            }
        }
        for rumour in &packet.rumours {
            if self.members.heard(now, *rumour, self.incarnation) {
                // Refuted by speaking up in a later incarnation.
                self.incarnation = rumour.incarnation.max(self.incarnation) + 1;
                self.version = 0;
                self.say(now);
            }
        }
        self.answer(now, from, packet);
    }

    fn take(&mut self, now: f64, statement: Statement, signed: Signed) {
        if statement.author == self.id {
            // A former generation of its own, or another process with its key: it speaks up after that one.
            let own = (self.incarnation, self.version);
            if (statement.incarnation, statement.version) > own
                && now - self.clash_at > CLASH_BEATS * self.terms.probe_interval
            {
                self.counts.clashes += 1;
                self.clash_at = now;
                self.incarnation = statement.incarnation + 1;
                self.version = 0;
                self.say(now);
            }
            return;
        }
        let (author, incarnation) = (statement.author, statement.incarnation);
        let (address, leaves) = (statement.address, statement.leaves);
        let passes = self.members.passes();
        if self.statements.merge(now, statement, signed, passes) {
            self.members.spoke(now, author, incarnation, address, leaves);
        }
    }

    fn answer(&mut self, now: f64, from: SocketAddr, packet: Packet) {
        match packet.message {
            Message::Ping { nonce } => {
                let (of, generation, clock) = (self.id, self.generation, self.clock(now));
                self.send_to(now, from, Message::Ack { nonce, of, generation, clock }, Priority::Answer);
            }
            Message::Clock { nonce } => {
                let (of, generation, clock) = (self.id, self.generation, self.clock(now));
                let answer = Message::Ack { nonce, of, generation, clock };
                self.send_with(now, from, answer, Priority::Answer, Vec::new());
            }
            Message::Ack { nonce, of, generation, clock } => {
                let Some(ping) = self.pings.get(&nonce) else { return };
                // Only it can answer for itself, unless helpers were asked.
                if of != ping.target || (packet.from != of && !ping.helped) {
                    return;
                }
                let ping = self.pings.remove(&nonce).expect("just seen");
                self.members.answered(now, of);
                // A helper could say what it likes of another's clock.
                if packet.from == of {
                    self.statements.clock(of, generation, clock, ping.asked, now);
                }
                if let Some((asker, nonce)) = ping.for_other {
                    self.send_to(now, asker, Message::Ack { nonce, of, generation, clock }, Priority::Answer);
                }
            }
            Message::PingFor { nonce, target } => {
                let own = self.chance.random();
                if self.send(now, target, Message::Ping { nonce: own }, Priority::Answer) {
                    let until = now + self.members.patience();
                    let for_other = Some((from, nonce));
                    self.pings.insert(
                        own,
                        Ping { target, until, asked: now, helped: true, for_clock: false, for_other },
                    );
                }
            }
            Message::Compare { from: low, to, have, asks } => {
                let wanted = self.statements.wanted_by(low, to, &have);
                if asks && self.statements.lacks(&have) {
                    let mut own = self.statements.digests(low, DIGESTS);
                    own.retain(|digest| digest.0 <= to);
                    self.send(
                        now,
                        packet.from,
                        Message::Compare { from: low, to, have: own, asks: false },
                        Priority::Repair,
                    );
                }
                if !wanted.is_empty() {
                    self.send_with(now, from, Message::Carry, Priority::Repair, wanted);
                }
            }
            Message::Payload { subsystem, bytes } => {
                let words = self.words.entry(subsystem).or_default();
                if words.len() < MOST_WORDS {
                    words.push_back((packet.from, bytes));
                }
            }
            Message::Carry => {}
        }
    }
}
