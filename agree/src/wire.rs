//! The form of what proxies say to each other about decisions, in postcard's compact encoding. Who says it is
//! proved by what carries it. [`write`] and [`read`] are the two ways; what is read has bounded lists, and
//! nothing else of it is checked.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::certificate::{Certificate, CouncilProof, SIGNATURE_BYTES};
use crate::council::MAX_VOTERS;
use crate::freshness::Nonce;
use crate::log::{Entry, Hash, Index, MAX_COMMAND_BYTES, Payload, Term};

pub const VERSION: u8 = 2;
/// Bytes of the longest message: with all that a packet of gossip's takes along it stays a datagram.
pub const MAX_MESSAGE_BYTES: usize = 780;
/// Bytes of entries in a message, of which a command of full length must find room.
pub const MAX_ENTRIES_BYTES: usize = 640;
/// Bytes of a snapshot in a message.
pub const CHUNK_BYTES: usize = 640;
const MAX_ENTRIES: usize = 64;

/// Where a founder's seat stands with its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Its disk was empty, or not to be trusted: it has no vote.
    New,
    /// It has heard that nobody has a vote yet.
    Ready,
    /// It votes.
    Voting,
}

/// Signed by its sender: it knows all up to `index` to be decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StatementSignature {
    pub index: Index,
    pub signature: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// I have started: how do you stand, and what do you know of me?
    Hello {
        nonce: u64,
        stage: Stage,
        disk_id: u64,
    },
    /// Known of the life that asked: the latest term it spoke in, and up to where it said that it has the log.
    HelloResponse {
        nonce: u64,
        stage: Stage,
        term: Term,
        acked: Index,
    },
    /// Please vote for me; `trial` where nobody is to be bound by it yet. `index` and `of` are my log's end.
    RequestVote {
        term: Term,
        pre_vote: bool,
        disk_id: u64,
        last_index: Index,
        last_term: Term,
    },
    Vote {
        term: Term,
        pre_vote: bool,
        granted: bool,
        disk_id: u64,
    },
    /// The leader's entries after `prev`, and what is decided.
    Append {
        term: Term,
        round: u64,
        disk_id: u64,
        prev: Index,
        hash: Hash,
        entries: Vec<Entry>,
        decided: Index,
    },
    /// Up to `index` my log is the leader's, on my disk; or, where it did not fit, where to begin anew.
    AppendResponse {
        term: Term,
        round: u64,
        disk_id: u64,
        index: Index,
        fits: bool,
        signed: Option<StatementSignature>,
    },
    /// The newest proof.
    Certificate {
        certificate: Certificate,
    },
    /// Please send what follows my log, or the proof of the council after mine, or a piece of the snapshot
    /// there; `sealed` is the newest proof that I have.
    Pull {
        index: Index,
        hash: Hash,
        council_version: Index,
        certified: Index,
        chunk: Option<(Index, u32)>,
    },
    Entries {
        prev: Index,
        hash: Hash,
        entries: Vec<Entry>,
    },
    Council {
        proof: Box<CouncilProof>,
    },
    /// A piece of the snapshot at an index, of `of` bytes in all, from byte `at` on.
    SnapshotChunk {
        index: Index,
        hash: Hash,
        term: Term,
        offset: u32,
        total_bytes: u32,
        bytes: Vec<u8>,
    },
    /// Please have this decided.
    Propose {
        request: u64,
        payload: Payload,
    },
    /// That is not for the log; `leader` where the one asked knows it and is not it.
    Refused {
        request: u64,
        refusal: crate::Refusal,
    },
    /// How far were decisions, at any time after you heard this?
    FreshnessRequest {
        nonce: Nonce,
    },
    /// The answer, signed as in [`crate::FreshnessProof`].
    FreshnessResponse {
        nonce: Nonce,
        index: Index,
        signature: Vec<u8>,
    },
}

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    #[error("longer than any message")]
    Oversized,
    #[error("field version: not known")]
    Version,
    #[error("not of its form")]
    Form,
    #[error("a list or a command is longer than any")]
    Bounds,
}

pub fn encode(message: &Message) -> Vec<u8> {
    postcard::to_extend(message, vec![VERSION]).expect("plain data")
}

fn within_bounds(payload: &Payload) -> bool {
    match payload {
        Payload::Begin => true,
        Payload::Council(council) => council.voters().len() <= MAX_VOTERS,
        Payload::Decide { command, .. } => command.len() <= MAX_COMMAND_BYTES,
    }
}

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
