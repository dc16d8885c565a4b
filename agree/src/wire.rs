//! The encoding of messages between replicas, in postcard's compact format. The carrier authenticates the
//! sender. [`encode`] and [`decode`] convert; decoding bounds the lengths of lists and checks nothing else.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::certificate::{Certificate, CouncilProof, SIGNATURE_BYTES};
use crate::council::MAX_VOTERS;
use crate::freshness::Nonce;
use crate::log::{Entry, Hash, Index, MAX_COMMAND_BYTES, Payload, Term};

/// The version of the encoding, the first byte of each message.
pub const VERSION: u8 = 2;
/// Longest message: with everything else in a gossip packet it still fits a datagram.
pub const MAX_MESSAGE_BYTES: usize = 780;
/// Bytes of entries in a message; a command of maximum length has to fit.
pub const MAX_ENTRIES_BYTES: usize = 640;
/// Bytes of a snapshot in a message.
pub const CHUNK_BYTES: usize = 640;
/// Most entries in a message.
const MAX_ENTRIES: usize = 64;

/// How far a member is in verifying that its disk may vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The disk was empty or is not trusted: no vote.
    New,
    /// All other members have reported that nobody votes yet.
    Ready,
    /// The member votes.
    Voting,
}

/// The sender's signature on its statement that everything up to `index` is decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StatementSignature {
    pub index: Index,
    pub signature: Vec<u8>,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Sent after a start: asks for the receiver's stage and what it knows of the sender.
    Hello { nonce: u64, stage: Stage, disk_id: u64 },
    /// What is known of the sender under that disk id: the latest term it used, and the last index it
    /// acknowledged.
    HelloResponse { nonce: u64, stage: Stage, term: Term, acked: Index },
    /// Requests a vote; `pre_vote` is not binding. `last_index` and `last_term` are the end of the sender's
    /// log.
    RequestVote { term: Term, pre_vote: bool, disk_id: u64, last_index: Index, last_term: Term },
    /// The answer to a vote request.
    Vote { term: Term, pre_vote: bool, granted: bool, disk_id: u64 },
    /// The leader's entries after `prev`, and the decided index.
    Append {
        term: Term,
        round: u64,
        disk_id: u64,
        prev: Index,
        hash: Hash,
        entries: Vec<Entry>,
        decided: Index,
    },
    /// The sender's log matches the leader's up to `index`, on disk; if it does not match, where to start
    /// again.
    AppendResponse {
        term: Term,
        round: u64,
        disk_id: u64,
        index: Index,
        fits: bool,
        signed: Option<StatementSignature>,
    },
    /// The newest certificate.
    Certificate { certificate: Certificate },
    /// Requests the entries after the sender's log, the proof of the next council, or a chunk of a
    /// snapshot; `certified` is the index of the sender's newest certificate.
    Pull { index: Index, hash: Hash, council_version: Index, certified: Index, chunk: Option<(Index, u32)> },
    /// Decided entries after `prev`.
    Entries { prev: Index, hash: Hash, entries: Vec<Entry> },
    /// A council with its proof.
    Council { proof: Box<CouncilProof> },
    /// A chunk of the snapshot at an index, which has `total_bytes` in all, from byte `offset` on.
    SnapshotChunk { index: Index, hash: Hash, term: Term, offset: u32, total_bytes: u32, bytes: Vec<u8> },
    /// Requests a decision.
    Propose { request: u64, payload: Payload },
    /// The request was refused.
    Refused { request: u64, refusal: crate::Refusal },
    /// Asks how far decisions have come, at any time after the receiver got this.
    FreshnessRequest { nonce: Nonce },
    /// The answer, signed as in [`crate::FreshnessProof`].
    FreshnessResponse { nonce: Nonce, index: Index, signature: Vec<u8> },
}

/// Why a message could not be decoded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    #[error("longer than the longest message")]
    Oversized,
    #[error("unknown version")]
    Version,
    #[error("malformed")]
    Form,
    #[error("a list or a command is longer than its maximum")]
    Bounds,
}

/// Encodes a message.
pub fn encode(message: &Message) -> Vec<u8> {
    postcard::to_extend(message, vec![VERSION]).expect("plain data can be encoded")
}

/// Whether an entry's lists and command are not too long.
fn within_bounds(payload: &Payload) -> bool {
    match payload {
        Payload::Begin => true,
        Payload::Council(council) => council.voters().len() <= MAX_VOTERS,
        Payload::Decide { command, .. } => command.len() <= MAX_COMMAND_BYTES,
    }
}

/// Decodes a message.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::Oversized);
    }
    let (&version, body) = bytes.split_first().ok_or(DecodeError::Form)?;
    if version != VERSION {
        return Err(DecodeError::Version);
    }
    let (message, rest) = postcard::take_from_bytes::<Message>(body).map_err(|_| DecodeError::Form)?;
    if !rest.is_empty() {
        return Err(DecodeError::Form);
    }
    let is_bounded = match &message {
        Message::Append { entries, .. } | Message::Entries { entries, .. } => {
            entries.len() <= MAX_ENTRIES && entries.iter().all(|entry| within_bounds(&entry.payload))
        }
        Message::Propose { payload, .. } => within_bounds(payload),
        Message::Certificate { certificate } => certificate.signatures.len() <= MAX_VOTERS,
        Message::Council { proof } => {
            proof.certificate.signatures.len() <= MAX_VOTERS && proof.council.voters().len() <= MAX_VOTERS
        }
        Message::FreshnessResponse { signature, .. } => signature.len() <= SIGNATURE_BYTES,
        _ => true,
    };
    if is_bounded { Ok(message) } else { Err(DecodeError::Bounds) }
}
