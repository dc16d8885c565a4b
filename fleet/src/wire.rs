//! Messages between members about limits, in postcard's compact encoding. The transport that carries them
//! authenticates the sender.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of messages in one payload.
pub const MAX_MESSAGES: usize = 20;
/// Maximum bytes of one payload: with the longest messages and all rumours that a packet carries it stays
/// below the largest packet.
pub const MAX_PAYLOAD_BYTES: usize = 800;

/// A limit, by the hash of its name.
pub type LimitId = u64;

/// One message about a limit, or about a start of the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a loan of `want` permits; `no_permits` if the requester has none at all.
    Request { limit: LimitId, serial: u64, want: u16, no_permits: bool },
    /// `count` permits are lent for `lease` milliseconds from when they were requested; `left` more could be
    /// lent.
    Grant { limit: LimitId, serial: u64, count: u16, left: u16, lease: u32 },
    /// Everything lent up to this serial is no longer used.
    Return { limit: LimitId, serial: u64 },
    /// The sender has started: the receiver must stop using what an earlier generation of the sender lent.
    Started,
    /// Answers [`Message::Started`] of the receiver's generation: the loans are no longer used.
    Cleared { generation: u64 },
}

/// Why a payload is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    #[error("payload is longer than {MAX_PAYLOAD_BYTES} bytes")]
    TooLong,
    #[error("payload is not well formed")]
    Malformed,
    #[error("payload has more than {MAX_MESSAGES} messages")]
    TooManyMessages,
}

/// `generation` identifies the sender's process: loans to an earlier one are not this one's. It is drawn at
/// the start of the process; gossip's incarnation does not serve, since a member raises it whenever others
/// suspect it.
pub fn encode(generation: u64, messages: &[Message]) -> Vec<u8> {
    postcard::to_stdvec(&(generation, messages)).expect("plain data")
}

/// Decodes the sender's generation and its messages.
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
