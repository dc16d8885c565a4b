//! Authenticated packets between two processes that are not members of the same gossip: the same encoding and
//! keys, with only other subsystems' payloads and nothing piggybacked.
//!
//! [`Channel::authenticate`] encodes and [`Channel::verify`] decodes. Memory is bounded by the roster: one
//! replay window for each member on it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::keys::{Id, Roster, Secrets};
use crate::node::ReplayWindow;
use crate::wire::{self, DropReason, MAX_DATAGRAM_BYTES, Message, Packet, Subsystem};

/// Bytes of the longest payload that fits one packet.
pub const MAX_PAYLOAD_BYTES: usize = 1_000;

/// Packets sent, received and dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChannelCounts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// Not a well-formed packet, or longer than any.
    pub malformed: u64,
    /// Of an unknown version.
    pub version: u64,
    /// Not tagged with a fleet key.
    pub untagged: u64,
    /// From a sender that is not on the roster or did not sign the packet.
    pub forged: u64,
    /// Already seen, or of an earlier incarnation.
    pub replayed: u64,
    /// Own packets, gossip messages, or payloads longer than [`MAX_PAYLOAD_BYTES`].
    #[serde(rename = "stray")]
    pub unexpected: u64,
}

/// A received payload, with its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    pub from: Id,
    pub subsystem: Subsystem,
    pub bytes: Vec<u8>,
}

/// One end of a channel: its keys, and what it has seen of others.
pub struct Channel {
    secrets: Secrets,
    roster: Roster,
    incarnation: u64,
    counter: u64,
    replay_windows: BTreeMap<Id, ReplayWindow>,
    counts: ChannelCounts,
}

impl Channel {
    /// `wall_clock_ms` is Unix time in milliseconds. It orders this end's incarnations, so that packets of an
    /// earlier one are not accepted again.
    pub fn new(secrets: Secrets, roster: Roster, wall_clock_ms: f64) -> Self {
        Self {
            secrets,
            roster,
            incarnation: wall_clock_ms.max(1.0) as u64,
            counter: 0,
            replay_windows: BTreeMap::new(),
            counts: ChannelCounts::default(),
        }
    }

    /// This end's id.
    pub fn id(&self) -> Id {
        self.secrets.id()
    }

    /// The current roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The counters since the start.
    pub fn counts(&self) -> ChannelCounts {
        self.counts
    }

    /// Replaces the keys and the roster, as in a key rotation. The own key must be the same; members that are
    /// no longer on the roster are forgotten.
    pub fn rekey(&mut self, secrets: Secrets, roster: Roster) {
        if secrets.id() != self.id() {
            return;
        }
        self.replay_windows.retain(|&id, _| roster.contains(id));
        (self.secrets, self.roster) = (secrets, roster);
    }

    /// The datagram that carries the payload, or `None` if it is longer than [`MAX_PAYLOAD_BYTES`].
    pub fn authenticate(&mut self, subsystem: Subsystem, bytes: Vec<u8>) -> Option<Vec<u8>> {
        if bytes.len() > MAX_PAYLOAD_BYTES {
            return None;
        }
        self.counter += 1;
        let packet = Packet {
            version: wire::VERSION,
            from: self.id(),
            incarnation: self.incarnation,
            counter: self.counter,
            message: Message::Payload { subsystem, bytes },
            rumours: Vec::new(),
            statements: Vec::new(),
        };
        let datagram = packet.authenticate(&self.secrets);
        debug_assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{} bytes", datagram.len());
        self.counts.sent += 1;
        self.counts.sent_bytes += datagram.len() as u64;
        Some(datagram)
    }

    /// The sender that a datagram names, not authenticated: only to find out whom the datagram is for.
    pub fn sender(datagram: &[u8]) -> Option<Id> {
        wire::sender(datagram)
    }

    /// Verifies an untrusted datagram and returns its payload if it is authentic and new.
    pub fn verify(&mut self, datagram: &[u8]) -> Option<Received> {
        self.counts.received_bytes += datagram.len() as u64;
        let packet = match wire::verify(datagram, &self.secrets, &self.roster) {
            Ok(packet) => packet,
            Err(reason) => {
                *self.counter_of(reason) += 1;
                return None;
            }
        };
        if packet.from == self.id() {
            self.counts.unexpected += 1;
            return None;
        }
        if !self.replay_windows.entry(packet.from).or_default().admit(packet.incarnation, packet.counter) {
            self.counts.replayed += 1;
            return None;
        }
        match packet.message {
            Message::Payload { subsystem, bytes } if bytes.len() <= MAX_PAYLOAD_BYTES => {
                self.counts.received += 1;
                Some(Received { from: packet.from, subsystem, bytes })
            }
            _ => {
                self.counts.unexpected += 1;
                None
            }
        }
    }

    fn counter_of(&mut self, reason: DropReason) -> &mut u64 {
        let counts = &mut self.counts;
        match reason {
            DropReason::InvalidTag => &mut counts.untagged,
            DropReason::UnknownSender | DropReason::InvalidSignature => &mut counts.forged,
            DropReason::UnknownVersion => &mut counts.version,
            DropReason::Replayed => &mut counts.replayed,
            DropReason::TooShort | DropReason::TooLong | DropReason::Malformed => &mut counts.malformed,
        }
    }
}
