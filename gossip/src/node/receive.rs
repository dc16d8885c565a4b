//! Incoming packets: verification, merging and answers.

use std::net::SocketAddr;

use rand::Rng;

use super::{CLASH_INTERVALS, DIGESTS_PER_COMPARE, MAX_QUEUED_PAYLOADS, Node, Ping};
use crate::budget::Priority;
use crate::wire::{self, DropReason, Message, Packet, SignedStatement, Statement};

impl Node {
    /// Handles an untrusted datagram.
    pub fn receive(&mut self, now: f64, from: SocketAddr, datagram: &[u8]) {
        let packet = match wire::verify(datagram, &self.secrets, &self.roster) {
            Ok(packet) => packet,
            Err(reason) => {
                let count = match reason {
                    DropReason::InvalidTag => &mut self.counts.untagged,
                    DropReason::UnknownSender | DropReason::InvalidSignature => &mut self.counts.forged,
                    _ => &mut self.counts.malformed,
                };
                *count += 1;
                return;
            }
        };
        if packet.from == self.id {
            return;
        }
        if !self.replay_windows.entry(packet.from).or_default().admit(packet.incarnation, packet.counter) {
            self.counts.replayed += 1;
            return;
        }
        self.members.packet_received(now, packet.from);
        for signed in &packet.statements {
            // Most statements are known already, so the signature is verified only for new ones.
            match signed.decode() {
                Some(known) if !self.statements.is_newer(&known) => {}
                Some(statement) if signed.is_signed_by_author(&statement, &self.roster) => {
                    self.apply_statement(now, statement, signed.clone())
                }
                _ => self.counts.bad_statements += 1,
            }
        }
        for rumour in &packet.rumours {
            if self.members.apply_rumour(now, *rumour, self.incarnation) {
                // Refutes the rumour with a statement of a later incarnation.
                self.incarnation = rumour.incarnation.max(self.incarnation) + 1;
                self.version = 0;
                self.publish_statement(now);
            }
        }
        self.handle_message(now, from, packet);
    }

    fn apply_statement(&mut self, now: f64, statement: Statement, signed: SignedStatement) {
        if statement.author == self.id {
            // An earlier process of this member, or another process with its key: this one continues with a
            // later incarnation.
            let own = (self.incarnation, self.version);
            if (statement.incarnation, statement.version) > own
                && now - self.last_clash_at > CLASH_INTERVALS * self.terms.probe_interval
            {
                self.counts.clashes += 1;
                self.last_clash_at = now;
                self.incarnation = statement.incarnation + 1;
                self.version = 0;
                self.publish_statement(now);
            }
            return;
        }
        let (author, incarnation) = (statement.author, statement.incarnation);
        let (address, leaving) = (statement.address, statement.leaving);
        let transmissions = self.members.transmissions();
        if self.statements.merge(now, statement, signed, transmissions) {
            self.members.apply_statement(now, author, incarnation, address, leaving);
        }
    }

    fn handle_message(&mut self, now: f64, from: SocketAddr, packet: Packet) {
        match packet.message {
            Message::Ping { nonce } => {
                let (member, generation, clock) = (self.id, self.generation, self.own_clock(now));
                self.send_to(now, from, Message::Ack { nonce, member, generation, clock }, Priority::Answer);
            }
            Message::ClockRequest { nonce } => {
                let (member, generation, clock) = (self.id, self.generation, self.own_clock(now));
                let answer = Message::Ack { nonce, member, generation, clock };
                self.send_with(now, from, answer, Priority::Answer, Vec::new());
            }
            Message::Ack { nonce, member, generation, clock } => {
                let Some(ping) = self.pending_pings.get(&nonce) else { return };
                // Only the member may answer for itself, unless helpers were asked.
                if member != ping.target || (packet.from != member && !ping.indirect) {
                    return;
                }
                let ping = self.pending_pings.remove(&nonce).expect("looked up above");
                self.members.probe_answered(now, member);
                // A helper could report any clock for another member.
                if packet.from == member {
                    self.statements.record_clock(member, generation, clock, ping.sent_at, now);
                }
                if let Some((requester, nonce)) = ping.on_behalf_of {
                    self.send_to(
                        now,
                        requester,
                        Message::Ack { nonce, member, generation, clock },
                        Priority::Answer,
                    );
                }
            }
            Message::PingRequest { nonce, target } => {
                let own_nonce = self.rng.random();
                if self.send(now, target, Message::Ping { nonce: own_nonce }, Priority::Answer) {
                    let deadline = now + self.members.probe_timeout();
                    let on_behalf_of = Some((from, nonce));
                    self.pending_pings.insert(
                        own_nonce,
                        Ping {
                            target,
                            deadline,
                            sent_at: now,
                            indirect: true,
                            clock_only: false,
                            on_behalf_of,
                        },
                    );
                }
            }
            Message::Compare { from: low, to, have, reply_wanted } => {
                let wanted = self.statements.missing_at_peer(low, to, &have);
                if reply_wanted && self.statements.is_behind(&have) {
                    let mut own = self.statements.digests(low, DIGESTS_PER_COMPARE);
                    own.retain(|digest| digest.0 <= to);
                    self.send(
                        now,
                        packet.from,
                        Message::Compare { from: low, to, have: own, reply_wanted: false },
                        Priority::Repair,
                    );
                }
                if !wanted.is_empty() {
                    self.send_with(now, from, Message::PiggybackOnly, Priority::Repair, wanted);
                }
            }
            Message::Payload { subsystem, bytes } => {
                let queue = self.payloads.entry(subsystem).or_default();
                if queue.len() < MAX_QUEUED_PAYLOADS {
                    queue.push_back((packet.from, bytes));
                }
            }
            Message::PiggybackOnly => {}
        }
    }
}
