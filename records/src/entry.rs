//! What a journal holds, and the record that it comes to. Times are Unix milliseconds.

use serde::{Deserialize, Serialize};

/// One life of a proxy: its name, and a number that grows with each start. Two proxies with one name differ by it,
/// since it is drawn from the clock and from chance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Author {
    pub proxy: String,
    #[serde(rename = "life")]
    pub generation: u64,
}

/// A try: a caller's NEW at one proxy, numbered in the order in which that life took them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TryId {
    pub author: Author,
    pub serial: u64,
}

/// What a try came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It stood, and its caller or server ended it.
    #[serde(rename = "Stood")]
    Completed,
    /// It stood, and a failure ended it: not billed.
    Cut,
    Refused,
    Failed,
    /// The caller went before any answer.
    #[serde(rename = "Left")]
    CallerGone,
    /// Its proxy died over it.
    Lost,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A life begins; all that follows is its own.
    GenerationStarted(Author),
    /// Before the first shot leaves.
    Opened {
        serial: u64,
        unix_ms: u64,
        calling: String,
        called: String,
        grade: String,
        tenant: String,
    },
    Attempt {
        serial: u64,
        unix_ms: u64,
        server: String,
    },
    /// Before the caller hears that it stands.
    Answered {
        serial: u64,
        unix_ms: u64,
    },
    /// The final answer, or the end of what stood.
    Closed {
        serial: u64,
        unix_ms: u64,
        outcome: Outcome,
        over_share: bool,
    },
}

/// What became of one try, from one journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Try {
    pub id: TryId,
    pub calling: String,
    pub called: String,
    pub grade: String,
    pub tenant: String,
    pub opened: u64,
    #[serde(rename = "shots")]
    pub attempts: u32,
    /// The server that stood, or was asked last.
    pub server: Option<String>,
    pub answered: Option<u64>,
    pub closed: u64,
    pub outcome: Outcome,
    pub over_share: bool,
}
