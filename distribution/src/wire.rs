//! The messages between subscribers and control machines, in postcard's compact encoding. The packet that
//! carries a datagram authenticates its sender.
//!
//! A datagram holds a version byte and one or more messages. [`encode`] and [`decode`] convert both ways;
//! decoding checks the bounds of keys, values and lists, and nothing else.

use agree::certificate::{Certificate, CouncilProof};
use agree::council::MAX_VOTERS;
use agree::freshness::FreshnessProof;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Version;
use crate::batch::BatchPath;
use crate::cursor::Cursor;
use crate::entry::{Key, MAX_VALUE_BYTES};
use crate::merkle::MAX_PATH_LEN;
use crate::scope::Scope;
use crate::state::ScopeProof;

/// First byte of a datagram.
pub const VERSION: u8 = 1;
/// Maximum length of a datagram in bytes: with the packet around it, it is not fragmented on any path.
pub const MAX_DATAGRAM_BYTES: usize = 1000;
/// Maximum bytes of changes in one message: the longest change fits, and the other fields of the message (two
/// cursors with keys of full length) still leave it within a datagram.
pub const MAX_CHANGES_BYTES: usize = 640;
/// Maximum number of scopes in one message.
pub const MAX_MESSAGE_SCOPES: usize = 64;

/// Progress of a transfer of a scope, from which any control machine can continue.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Transfer {
    /// The version that it started from: removals after it must not be left out.
    pub base: Version,
    /// The newest state that a part of it came from: an older control machine cannot continue it.
    pub source_version: Version,
    /// The position up to which changes have arrived.
    pub after: Cursor,
}

/// What a subscriber has of a scope.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position {
    /// The index of the certificate that proved what is in force; 0 if nothing is.
    pub in_force: Version,
    /// What has arrived of newer content that is not in force yet.
    pub transfer: Option<Transfer>,
}

/// A subscriber's poll: it is present, acknowledges what it has and requests what follows. Scopes that do not
/// fit go in further polls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Poll {
    /// Unique to each poll.
    pub nonce: u64,
    /// The decision since which the newest council votes whose proof the subscriber has.
    pub council_since: Version,
    /// Some of its scopes, with its position in each.
    pub scopes: Vec<(Scope, Position)>,
}

/// One key's change within [`Changes`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyChange {
    /// The decision that changed it.
    pub version: Version,
    /// The key that changed.
    pub key: Key,
    /// The value; `None` if the entry was removed.
    pub value: Option<Vec<u8>>,
}

/// A run of changes of a scope, in the order of version and key. A snapshot is such a run from the beginning,
/// so what changes while it is read follows later in the run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Changes {
    /// The scope.
    pub scope: Scope,
    /// Removals up to this version are left out.
    pub base: Version,
    /// The state that the changes were read from.
    pub source_version: Version,
    /// The cursor that the changes follow without a gap.
    pub after: Cursor,
    /// The changes.
    pub changes: Vec<KeyChange>,
    /// Whether nothing follows in the state that the changes were read from.
    pub complete: bool,
}

impl Changes {
    /// The position after these changes.
    pub fn end(&self) -> Cursor {
        let last = self.changes.last();
        match last {
            _ if self.complete => Cursor::end_of(self.source_version),
            Some(last) => Cursor::at(last.version, last.key.clone()),
            None => self.after.clone(),
        }
    }
}

/// A message in either direction.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// From a subscriber: see [`Poll`].
    Poll(Poll),
    /// From a subscriber: it no longer wants these scopes from this control machine.
    Unsubscribe {
        /// The scopes.
        scopes: Vec<Scope>,
    },
    /// From a control machine: the answer to a poll.
    Alive {
        /// The poll's nonce.
        nonce: u64,
        /// The certified index that the control machine serves.
        index: Version,
    },
    /// From a control machine: a voter's statement of how far decisions were after a poll was sent.
    Freshness {
        /// The poll's nonce.
        nonce: u64,
        /// The path from the poll's nonce to the one that was sent to the voter.
        path: BatchPath,
        /// The statement that the voter signed.
        proof: FreshnessProof,
    },
    /// From a control machine: changes of a scope.
    Changes(Changes),
    /// From a control machine: proof of a scope in the certified state at an index.
    Proof {
        /// The scope.
        scope: Scope,
        /// The index of the certificate.
        index: Version,
        /// The path to the state's root.
        proof: ScopeProof,
    },
    /// From a control machine: a majority's signatures on the state at an index.
    Certificate(Certificate),
    /// From a control machine: the proof of the council that follows the one that the subscriber knows.
    CouncilProof(CouncilProof),
    /// From a control machine that is full: poll again after a delay.
    RetryLater {
        /// Delay in milliseconds.
        after_ms: u32,
    },
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("the datagram has more than {MAX_DATAGRAM_BYTES} bytes")]
    Oversized,
    /// Its version is not known.
    #[error("the version is unknown, wanted is {VERSION}")]
    Version,
    /// It cannot be decoded, or holds no message.
    #[error("the datagram cannot be decoded or is empty")]
    Form,
    /// A list or a value in it is longer than allowed.
    #[error("a list or a value is too long")]
    Bounds,
}

/// Encodes messages into datagrams in their order, as many into each as fit. A message that fits none is left
/// out.
pub fn encode(messages: &[Message]) -> Vec<Vec<u8>> {
    let mut datagrams: Vec<Vec<u8>> = Vec::new();
    for message in messages {
        let bytes = postcard::to_stdvec(message).expect("plain data always serializes");
        if bytes.len() + 1 > MAX_DATAGRAM_BYTES {
            continue;
        }
        match datagrams.last_mut() {
            Some(last) if last.len() + bytes.len() <= MAX_DATAGRAM_BYTES => last.extend(bytes),
            _ => datagrams.push([&[VERSION], &bytes[..]].concat()),
        }
    }
    datagrams
}

/// Decodes the messages of a datagram.
///
/// # Errors
///
/// [`DecodeError`] if any part of it is invalid; nothing of it is used then.
pub fn decode(bytes: &[u8]) -> Result<Vec<Message>, DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::Oversized);
    }
    let (&version, mut body) = bytes.split_first().ok_or(DecodeError::Form)?;
    if version != VERSION {
        return Err(DecodeError::Version);
    }
    let mut messages = Vec::new();
    while !body.is_empty() {
        let (message, remaining) =
            postcard::take_from_bytes::<Message>(body).map_err(|_| DecodeError::Form)?;
        if !is_bounded(&message) {
            return Err(DecodeError::Bounds);
        }
        messages.push(message);
        body = remaining;
    }
    if messages.is_empty() { Err(DecodeError::Form) } else { Ok(messages) }
}

fn is_bounded(message: &Message) -> bool {
    let has_valid_size = |certificate: &Certificate| certificate.signatures.len() <= MAX_VOTERS;
    match message {
        Message::Poll(poll) => poll.scopes.len() <= MAX_MESSAGE_SCOPES,
        Message::Unsubscribe { scopes } => scopes.len() <= MAX_MESSAGE_SCOPES,
        Message::Changes(changes) => changes.changes.iter().all(|change| {
            let length = change.value.as_ref().map_or(0, Vec::len);
            length <= MAX_VALUE_BYTES
        }),
        Message::Proof { proof, .. } => proof.path.len() <= MAX_PATH_LEN,
        Message::Certificate(certificate) => has_valid_size(certificate),
        Message::CouncilProof(council_proof) => {
            has_valid_size(&council_proof.certificate) && council_proof.council.voters().len() <= MAX_VOTERS
        }
        Message::Freshness { path, .. } => path.is_bounded(),
        Message::Alive { .. } | Message::RetryLater { .. } => true,
    }
}
