//! The encoding of datagrams: a packet in postcard's compact encoding, its sender's signature and the fleet's
//! tag.
//!
//! [`Packet::authenticate`] encodes and [`verify`] decodes. A verified packet has bounded lists and an
//! authentic sender; nothing else in it is checked.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::keys::{Id, Roster, SIGNATURE_BYTES, Secrets, TAG_BYTES};

/// Version of the packet format.
pub const VERSION: u8 = 3;
/// Bytes of the largest datagram, which fits any path without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum number of claims in one statement.
pub const MAX_CLAIMS: usize = 24;
/// Maximum number of rumours in one packet.
const MAX_RUMOURS: usize = 32;
/// Maximum number of statements in one packet.
const MAX_STATEMENTS: usize = 16;
/// Maximum number of digests in one comparison.
const MAX_DIGESTS: usize = 64;
/// Maximum encoded bytes of a packet's fixed fields and of its message without lists.
const FIXED_FIELDS_BYTES: usize = 80;
/// Maximum encoded bytes of one digest.
const DIGEST_BYTES: usize = 25;
/// Maximum encoded bytes of one rumour.
const RUMOUR_BYTES: usize = 21;
/// Maximum encoded bytes of a payload's length.
const PAYLOAD_LENGTH_BYTES: usize = 2;
/// Maximum encoded bytes that an [`Message::Ack`] has beyond a ping.
const ACK_FIELDS_BYTES: usize = 16;
/// Maximum encoded bytes of the two lengths in a [`SignedStatement`].
const LIST_LENGTHS_BYTES: usize = 4;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DropReason {
    #[error("datagram is shorter than a signature and a tag")]
    TooShort,
    #[error("datagram is longer than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    #[error("tag: not made with a fleet key")]
    InvalidTag,
    #[error("field version: unknown, wanted is {VERSION}")]
    UnknownVersion,
    #[error("body: not a well-formed packet")]
    Malformed,
    #[error("field from: not on the roster")]
    UnknownSender,
    #[error("signature: not made with the sender's key")]
    InvalidSignature,
    #[error("field counter: already seen")]
    Replayed,
}

/// What a claim says about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimKind {
    /// Attempts have been unanswered since then.
    Silent,
    /// An attempt was answered then.
    Answering,
}

/// One process of a server: a hash of the server's name, and when the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation {
    pub server: u64,
    pub started: u64,
}

/// What a member observed of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub generation: Generation,
    pub kind: ClaimKind,
    /// Milliseconds since the author's process started, on its own clock.
    pub observed_at: u32,
    /// Number of attempts that the claim is based on.
    pub attempts: u16,
}

/// Everything that a member states at present. A later statement replaces it, so claims that it no longer
/// contains are withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    pub author: Id,
    /// Grows with each start of the member's process, and when the member refutes its own death.
    pub incarnation: u64,
    pub version: u32,
    /// The incarnation that the author's process started with: its clock counts from that start.
    pub generation: u64,
    pub address: SocketAddr,
    /// The author's clock when it made the statement, in milliseconds.
    pub clock: u32,
    /// The member is about to leave.
    pub leaving: bool,
    pub claims: Vec<Claim>,
}

/// An encoded statement with its author's signature, as members pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedStatement {
    pub body: Vec<u8>,
    pub signature: Vec<u8>,
}

impl SignedStatement {
    /// Encodes and signs a statement.
    pub fn new(statement: &Statement, secrets: &Secrets) -> Self {
        let body = postcard::to_stdvec(statement).expect("plain data");
        let signature = secrets.sign(&body).to_vec();
        Self { body, signature }
    }

    /// Decodes the statement if its lists are bounded. The signature is not verified.
    pub fn decode(&self) -> Option<Statement> {
        let (statement, remaining) = postcard::take_from_bytes::<Statement>(&self.body).ok()?;
        (remaining.is_empty() && statement.claims.len() <= MAX_CLAIMS).then_some(statement)
    }

    /// Whether the statement's author signed it.
    pub fn is_signed_by_author(&self, statement: &Statement, roster: &Roster) -> bool {
        let signature: Option<&[u8; SIGNATURE_BYTES]> = self.signature.as_slice().try_into().ok();
        signature.is_some_and(|signature| roster.verify_signature(statement.author, &self.body, signature))
    }

    /// Upper bound of the encoded size in bytes.
    pub fn size(&self) -> usize {
        self.body.len() + SIGNATURE_BYTES + LIST_LENGTHS_BYTES
    }
}

/// State of a member as another member sees it, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    Suspect,
    Dead,
}

/// The state of a member, as reported by the packet's sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    pub member: Id,
    pub incarnation: u64,
    pub state: MemberState,
}

/// The subsystem that a payload belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subsystem {
    /// Permits of limits that hold for the whole fleet.
    Limits,
    /// Messages of the agreement on one order of decisions.
    Agreement,
    /// Outcomes of conversations, for the council to compare.
    Evidence,
    /// Decided state by scope, between a control machine and its subscribers.
    State,
}

/// What a packet asks for, answers or carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an [`Message::Ack`] with the same nonce.
    Ping { nonce: u64 },
    /// Answers a ping: the member that was reached, with its generation and its clock at that time.
    Ack { nonce: u64, member: Id, generation: u64, clock: u32 },
    /// Requests the receiver to ping the target (SWIM's ping-req).
    PingRequest { nonce: u64, target: Id },
    /// What the sender has of the authors from `from` to `to`; the receiver sends what is newer. With
    /// `reply_wanted` the receiver may answer with its own digests.
    Compare { from: Id, to: Id, have: Vec<(Id, u64, u32)>, reply_wanted: bool },
    /// No message: the packet only carries piggybacked rumours and statements.
    PiggybackOnly,
    /// A payload of another subsystem, for the receiver alone.
    Payload { subsystem: Subsystem, bytes: Vec<u8> },
    /// Requests the receiver's clock; the answer carries no statements.
    ClockRequest { nonce: u64 },
}

/// One packet, before it is signed and tagged.
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
    /// Encodes the packet with its sender's signature and the fleet's tag.
    pub fn authenticate(&self, secrets: &Secrets) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).expect("plain data");
        let signature = secrets.sign(&bytes);
        bytes.extend(signature);
        let tag = secrets.tag(&bytes);
        bytes.extend(tag);
        bytes
    }

    /// Upper bound in bytes of a packet with this message and number of rumours, without its statements.
    pub fn max_overhead(message: &Message, rumours: usize) -> usize {
        let digests = match message {
            Message::Compare { have, .. } => have.len() * DIGEST_BYTES,
            Message::Payload { bytes, .. } => bytes.len() + PAYLOAD_LENGTH_BYTES,
            Message::Ack { .. } => ACK_FIELDS_BYTES,
            _ => 0,
        };
        FIXED_FIELDS_BYTES + SIGNATURE_BYTES + TAG_BYTES + digests + rumours * RUMOUR_BYTES
    }
}

/// Decodes a packet and returns it with the bytes that follow. Neither the sender is authenticated nor the
/// lists are bounded.
pub fn unauthenticated(bytes: &[u8]) -> Option<(Packet, &[u8])> {
    postcard::take_from_bytes(bytes).ok()
}

/// The sender that a datagram names in its first bytes, not authenticated.
pub fn sender(datagram: &[u8]) -> Option<Id> {
    let (&VERSION, remaining) = datagram.split_first()? else { return None };
    postcard::take_from_bytes::<Id>(remaining).ok().map(|(id, _)| id)
}

/// Decodes and authenticates a datagram, cheapest check first.
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
