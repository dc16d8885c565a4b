//! Signed packets between two that are not members of one gossip: the same form and keys, with words of other
//! subsystems alone and nothing carried along.
//!
//! [`Channel::authenticate`] and [`Channel::verify`] are the two ways. Memory is bounded by the roster: one replay
//! window for each that is named there.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::keys::{Id, Roster, Secrets};
use crate::node::ReplayWindow;
use crate::wire::{self, DropReason, MAX_DATAGRAM_BYTES, Message, Packet, Subsystem};

/// Bytes of the longest words that a packet has room for.
pub const MAX_PAYLOAD_BYTES: usize = 1_000;

/// What was sent, taken and dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChannelCounts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// Not of the form of a packet, or longer than any.
    pub malformed: u64,
    /// Of a version that is not known.
    pub version: u64,
    /// Without the fleet's tag.
    pub untagged: u64,
    /// By nobody of the roster, or not signed by whom they name.
    pub forged: u64,
    /// Seen before, or of an earlier incarnation.
    pub replayed: u64,
    /// Packets of gossip, or words longer than [`MAX_PAYLOAD_BYTES`].
    #[serde(rename = "stray")]
    pub unexpected: u64,
}

/// A payload that came, with who sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    pub from: Id,
    pub subsystem: Subsystem,
    pub bytes: Vec<u8>,
}

/// One end: its keys, and what it has seen of others.
pub struct Channel {
    secrets: Secrets,
    roster: Roster,
    incarnation: u64,
    counter: u64,
    replay_windows: BTreeMap<Id, ReplayWindow>,
    counts: ChannelCounts,
}

impl Channel {
    /// `unix` is the wall clock in milliseconds: it orders this end's incarnations, so that packets of an
    /// earlier one are not taken again.
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

    pub fn id(&self) -> Id {
        self.secrets.id()
    }

    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    pub fn counts(&self) -> ChannelCounts {
        self.counts
    }

    /// Goes on with other keys, as in a rotation. Its own key must be the same; whoever is no more in the
    /// roster is forgotten.
    pub fn rekey(&mut self, secrets: Secrets, roster: Roster) {
        if secrets.id() != self.id() {
            return;
        }
        self.replay_windows.retain(|&id, _| roster.contains(id));
        (self.secrets, self.roster) = (secrets, roster);
    }

    /// The datagram that carries some words. Nothing where they are longer than [`MAX_PAYLOAD_BYTES`].
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

    /// Who a datagram names as its sender. Nothing of it is proved: only to find out whom it is for.
    pub fn sender(datagram: &[u8]) -> Option<Id> {
        wire::sender(datagram)
    }

    /// A datagram came. Anything may stand in it; gives the words of one that is proved and new.
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
