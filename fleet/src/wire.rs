//! What members say to each other of limits, in postcard's compact encoding. Who says it is proved by what
//! carries it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The most words of one message, and its bytes: with the longest words and all the rumours that a packet
/// takes along it stays under what is read as a packet.
pub const MAX_MESSAGES: usize = 20;
pub const MAX_PAYLOAD_BYTES: usize = 800;

/// A limit, by the hash of its name.
pub type LimitId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Please lend so many permits; `bare` where the asker has none at all.
    Request { limit: LimitId, serial: u64, want: u16, no_permits: bool },
    /// So many are lent, for so many milliseconds from when it was asked; `left` more could be.
    Grant { limit: LimitId, serial: u64, count: u16, left: u16, lease: u32 },
    /// All that was lent up to this serial is used no more.
    Return { limit: LimitId, serial: u64 },
    /// The speaker has started: let go of what an earlier life of it lent.
    Started,
    /// That is done, for this life of the one spoken to.
    Cleared { generation: u64 },
}

#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    #[error("longer than any message")]
    TooLong,
    #[error("not of its form")]
    Malformed,
    #[error("more words than any message has")]
    TooManyMessages,
}

/// `life` is the speaker's process: what was lent to an earlier one is not this one's. It is drawn at the
/// start, and no incarnation of the gossip's, which a member raises whenever others doubt it.
pub fn encode(generation: u64, messages: &[Message]) -> Vec<u8> {
    postcard::to_stdvec(&(generation, messages)).expect("plain data")
}

pub fn decode(bytes: &[u8]) -> Result<(u64, Vec<Message>), DecodeError> {
    if bytes.len() > MAX_PAYLOAD_BYTES {
        return Err(DecodeError::TooLong);
    }
    let ((generation, messages), remaining) =
        postcard::take_from_bytes::<(u64, Vec<Message>)>(bytes).map_err(|_| DecodeError::Malformed)?;
    if !remaining.is_empty() {
        return Err(DecodeError::Malformed);
    }
    if messages.len() > MAX_MESSAGES { Err(DecodeError::TooManyMessages) } else { Ok((generation, messages)) }
}
