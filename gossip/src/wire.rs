//! The form of datagrams: a packet in postcard's compact encoding, its sender's signature, the fleet's tag.
//!
//! [`Packet::authenticate`] and [`verify`] are the two ways. What is opened has bounded lists and a sender that is
//! proved; nothing else of it is.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::keys::{Id, Roster, SIGNATURE_BYTES, Secrets, TAG_BYTES};

pub const VERSION: u8 = 3;
/// Bytes of the largest datagram, which fits any path without being cut up.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The longest lists.
pub const MAX_CLAIMS: usize = 24;
const MAX_RUMOURS: usize = 32;
const MAX_STATEMENTS: usize = 16;
const MAX_DIGESTS: usize = 64;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DropReason {
    #[error("shorter than any packet")]
    TooShort,
    #[error("longer than any packet")]
    TooLong,
    #[error("not tagged by the fleet")]
    InvalidTag,
    #[error("field version: not known")]
    UnknownVersion,
    #[error("body: not of its form")]
    Malformed,
    #[error("field from: no member of the fleet")]
    UnknownSender,
    #[error("signature: not its sender's")]
    InvalidSignature,
    #[error("field counter: seen before")]
    Replayed,
}

/// What is claimed of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimKind {
    /// Shots have gone unanswered since.
    Silent,
    /// A shot was answered then.
    Answering,
}

/// One generation of a server: a hash of its name, and when its process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation {
    pub server: u64,
    pub started: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub generation: Generation,
    pub kind: ClaimKind,
    /// On its author's clock, in milliseconds since it began.
    pub observed_at: u32,
    /// How many shots it rests on.
    pub attempts: u16,
}

/// All that a member says at present. A later one replaces it, so that what is no longer in it is withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    pub author: Id,
    /// Grows with each generation of the member, and when it refutes its own death.
    pub incarnation: u64,
    pub version: u32,
    /// The incarnation that this process began with: its clock counts from there.
    pub generation: u64,
    pub address: SocketAddr,
    /// The author's clock when it said this.
    pub clock: u32,
    /// It is about to go.
    pub leaving: bool,
    pub claims: Vec<Claim>,
}

/// A statement as it travels, whoever passes it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedStatement {
    pub body: Vec<u8>,
    pub signature: Vec<u8>,
}

impl SignedStatement {
    pub fn new(statement: &Statement, secrets: &Secrets) -> Self {
        let body = postcard::to_stdvec(statement).expect("plain data");
        let signature = secrets.sign(&body).to_vec();
        Self { body, signature }
    }

    /// The statement, if its lists are bounded; not yet proved to be its author's.
    pub fn decode(&self) -> Option<Statement> {
        let (statement, remaining) = postcard::take_from_bytes::<Statement>(&self.body).ok()?;
        (remaining.is_empty() && statement.claims.len() <= MAX_CLAIMS).then_some(statement)
    }

    /// Whether the author said it.
    pub fn is_signed_by_author(&self, statement: &Statement, roster: &Roster) -> bool {
        let signature: Option<&[u8; SIGNATURE_BYTES]> = self.signature.as_slice().try_into().ok();
        signature.is_some_and(|signature| roster.verify_signature(statement.author, &self.body, signature))
    }

    pub fn size(&self) -> usize {
        self.body.len() + SIGNATURE_BYTES + 4
    }
}

/// How a member is thought of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    Suspect,
    Dead,
}

/// A word on a member, by whoever sends the packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    pub member: Id,
    pub incarnation: u64,
    pub state: MemberState,
}

/// Whose words a packet carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subsystem {
    /// Permits of limits that hold for the whole fleet.
    Limits,
    /// Decisions in one order.
    Agreement,
    /// What became of conversations, for the council to compare.
    Evidence,
    /// Decided state by scope, between a control machine and its subscribers.
    State,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    Ping {
        nonce: u64,
    },
    /// Answers a ping; `of` is who was reached, with its generation and its clock then.
    Ack {
        nonce: u64,
        member: Id,
        generation: u64,
        clock: u32,
    },
    /// Please ping that one for me.
    PingRequest {
        nonce: u64,
        target: Id,
    },
    /// What the sender has of the authors from `from` to `to`: send what is newer. `asks` when the peer may
    /// show what it has in turn.
    Compare {
        from: Id,
        to: Id,
        have: Vec<(Id, u64, u32)>,
        reply_wanted: bool,
    },
    /// Nothing but what is carried along.
    PiggybackOnly,
    /// A payload of another subsystem, for the receiver alone.
    Payload {
        subsystem: Subsystem,
        bytes: Vec<u8>,
    },
    /// Please answer with your clock, and carry nothing else.
    ClockRequest {
        nonce: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    pub version: u8,
    pub from: Id,
    pub incarnation: u64,
    /// Grows with each packet of an incarnation.
    pub counter: u64,
    pub message: Message,
    pub rumours: Vec<Rumour>,
    pub statements: Vec<SignedStatement>,
}

impl Packet {
    pub fn authenticate(&self, secrets: &Secrets) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).expect("plain data");
        let signature = secrets.sign(&bytes);
        bytes.extend(signature);
        let tag = secrets.tag(&bytes);
        bytes.extend(tag);
        bytes
    }

    /// Bytes that a packet with these parts has at the most, beside what it carries.
    pub fn max_overhead(message: &Message, rumours: usize) -> usize {
        let digests = match message {
            Message::Compare { have, .. } => have.len() * 25,
            Message::Payload { bytes, .. } => bytes.len() + 2,
            Message::Ack { .. } => 16,
            _ => 0,
        };
        80 + SIGNATURE_BYTES + TAG_BYTES + digests + rumours * 21
    }
}

/// The packet that stands in some bytes, and what follows it; nothing of it is proved, nor its lists bounded.
pub fn unauthenticated(bytes: &[u8]) -> Option<(Packet, &[u8])> {
    postcard::take_from_bytes(bytes).ok()
}

/// Who a datagram names as its sender, by its first bytes; nothing of it is proved.
pub fn sender(datagram: &[u8]) -> Option<Id> {
    let (&VERSION, remaining) = datagram.split_first()? else { return None };
    postcard::take_from_bytes::<Id>(remaining).ok().map(|(id, _)| id)
}

/// Takes a datagram apart, cheapest check first.
pub fn verify(datagram: &[u8], secrets: &Secrets, roster: &Roster) -> Result<Packet, DropReason> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::TooLong);
    }
    let (signed, tag) = datagram.split_last_chunk::<TAG_BYTES>().ok_or(DropReason::TooShort)?;
    let (body, signature) = signed.split_last_chunk::<SIGNATURE_BYTES>().ok_or(DropReason::TooShort)?;
    if !secrets.verify_tag(signed, tag) {
        return Err(DropReason::InvalidTag);
    }
    if body.first() != Some(&VERSION) {
        return Err(DropReason::UnknownVersion);
    }
    let (packet, remaining) = unauthenticated(body).ok_or(DropReason::Malformed)?;
    let digests = if let Message::Compare { have, .. } = &packet.message { have.len() } else { 0 };
    let bounded = packet.rumours.len() <= MAX_RUMOURS
        && packet.statements.len() <= MAX_STATEMENTS
        && digests <= MAX_DIGESTS;
    if !remaining.is_empty() || !bounded {
        return Err(DropReason::Malformed);
    }
    if !roster.contains(packet.from) {
        return Err(DropReason::UnknownSender);
    }
    if !roster.verify_signature(packet.from, body, signature) {
        return Err(DropReason::InvalidSignature);
    }
    Ok(packet)
}
