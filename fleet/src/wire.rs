//! What members say to each other of limits, in postcard's compact encoding. Who says it is proved by what
//! carries it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The most words of one message, and its bytes: with the longest words and all the rumours that a packet
/// takes along it stays under what is read as a packet.
pub const MOST_WORDS: usize = 20;
pub const LARGEST: usize = 800;

/// A limit, by the hash of its name.
pub type LimitId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Please lend so many permits; `bare` where the asker has none at all.
    Ask { limit: LimitId, serial: u64, want: u16, bare: bool },
    /// So many are lent, for so many milliseconds from when it was asked; `left` more could be.
    Grant { limit: LimitId, serial: u64, count: u16, left: u16, lease: u32 },
    /// All that was lent up to this serial is used no more.
    Return { limit: LimitId, serial: u64 },
    /// The speaker has started: let go of what an earlier life of it lent.
    Started,
    /// That is done, for this life of the one spoken to.
    Cleared { life: u64 },
}

#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unfit {
    #[error("longer than any message")]
    Oversized,
    #[error("not of its form")]
    Form,
    #[error("more words than any message has")]
    Words,
}

/// `life` is the speaker's process: what was lent to an earlier one is not this one's. It is drawn at the
/// start, and no incarnation of the gossip's, which a member raises whenever others doubt it.
pub fn write(life: u64, words: &[Word]) -> Vec<u8> {
    postcard::to_stdvec(&(life, words)).expect("plain data")
}

pub fn read(bytes: &[u8]) -> Result<(u64, Vec<Word>), Unfit> {
    if bytes.len() > LARGEST {
        return Err(Unfit::Oversized);
    }
    let ((life, words), rest) =
        postcard::take_from_bytes::<(u64, Vec<Word>)>(bytes).map_err(|_| Unfit::Form)?;
    if !rest.is_empty() {
        return Err(Unfit::Form);
    }
    if words.len() > MOST_WORDS { Err(Unfit::Words) } else { Ok((life, words)) }
}
