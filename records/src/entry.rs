//! The entries of a journal, and the records built from them. Times are Unix milliseconds.

use serde::{Deserialize, Serialize};

/// A proxy's process: the proxy's name, and a generation that grows with each start. The generation is made from the
/// clock and a random number, so it also distinguishes two proxies with the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Author {
    /// The proxy's name.
    pub proxy: String,
    /// The number of the process start.
    #[serde(rename = "life")]
    pub generation: u64,
}

/// Identifies a try: a caller's NEW at one proxy, numbered in the order in which that generation accepted them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TryId {
    /// Who wrote its entries.
    pub author: Author,
    /// Its number within the generation.
    pub serial: u64,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was established, and its caller or server ended it.
    #[serde(rename = "Stood")]
    Completed,
    /// It was established, and a failure ended it. Not billed.
    Cut,
    /// The proxy refused it.
    Refused,
    /// The proxy gave it up after a failure.
    Failed,
    /// The caller gave up before any answer.
    #[serde(rename = "Left")]
    CallerGone,
    /// Its proxy's process ended while it was open.
    Lost,
}

/// An entry of a journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A generation starts. All entries after this one belong to it.
    GenerationStarted(Author),
    /// A try is accepted. Written before its first attempt is sent.
    Opened { serial: u64, unix_ms: u64, calling: String, called: String, grade: String, tenant: String },
    /// An attempt is sent to a server.
    Attempt { serial: u64, unix_ms: u64, server: String },
    /// The try's server has answered. Stored before the caller is notified; the caller of a try that is closed as
    /// neither completed nor cut was not notified.
    Answered { serial: u64, unix_ms: u64 },
    /// The try got its final answer, or the established call ended.
    Closed { serial: u64, unix_ms: u64, outcome: Outcome, over_share: bool },
}

/// An entry with its number: a generation's entries are numbered from 1 in the order in which they are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedEntry {
    /// The number.
    pub number: u64,
    /// The entry.
    pub entry: Entry,
}

/// Which entries are stored as the durability requires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// All entries up to this number are stored, apart from lost ones.
    pub through: u64,
    /// Entries up to this number may have been lost; none after it was.
    pub lost_through: u64,
}

impl Stored {
    /// Whether all entries from `first` to `last` are certain to be stored.
    pub fn covers(self, first: u64, last: u64) -> bool {
        first > self.lost_through && last <= self.through
    }
}

/// The record of one try, built from one journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Try {
    /// Identifies the try.
    pub id: TryId,
    /// The caller's number.
    pub calling: String,
    /// The called number.
    pub called: String,
    /// The name of the service grade.
    pub grade: String,
    /// The name of the tenant.
    pub tenant: String,
    /// When it was accepted.
    pub opened: u64,
    /// How many attempts were sent.
    #[serde(rename = "shots")]
    pub attempts: u32,
    /// The server of the last attempt, which established the call if any did.
    pub server: Option<String>,
    /// When it was established.
    pub answered: Option<u64>,
    /// When it ended.
    pub closed: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether its tenant was over its share.
    pub over_share: bool,
}
