//! The log of decisions. Each entry is chained to all entries before it by a hash, so that two logs with
//! the same hash at an index are equal up to that index.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::council::Council;

/// The index of a log entry; the first entry has index 1.
pub type Index = u64;
/// The term of a leader.
pub type Term = u64;
/// A BLAKE3 hash.
pub type Hash = [u8; 32];

/// Longest command of a part of the machine.
pub const MAX_COMMAND_BYTES: usize = 400;

/// The contents of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a leader. Deciding it also decides what earlier leaders left undecided.
    Begin,
    /// The council that votes from this entry on.
    Council(Council),
    /// A command for one of the machine's parts.
    Decide { part: u8, command: Vec<u8> },
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    /// A random number of the requester, by which a resent request is applied once; 0 if nobody requested
    /// the entry.
    pub request: u64,
    pub payload: Payload,
}

impl Entry {
    /// The encoded length in bytes.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).expect("plain data can be encoded")
    }

    fn chain_hash(&self, previous: &Hash) -> Hash {
        let mut hasher = blake3::Hasher::new();
        hasher.update(previous);
        hasher.update(&postcard::to_stdvec(self).expect("plain data can be encoded"));
        *hasher.finalize().as_bytes()
    }
}

/// A position in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    pub index: Index,
    pub term: Term,
    pub hash: Hash,
}

/// The entries after a base position. Entries up to the base are compacted into a snapshot.
#[derive(Clone, Debug)]
pub struct Log {
    base: LogPosition,
    entries: VecDeque<(Entry, Hash)>,
    /// The councils of the log, with the index since which each votes; the first is the council at the
    /// base.
    councils: Vec<(Index, Council)>,
}

impl Log {
    /// An empty log after a base, with the council that votes there and the index since which it votes.
    pub fn new(base: LogPosition, version: Index, council: Council) -> Self {
        Self { base, entries: VecDeque::new(), councils: vec![(version, council)] }
    }

    /// The position after which the entries start.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// The position of the last entry, or the base.
    pub fn last(&self) -> LogPosition {
        let index = self.base.index + self.entries.len() as u64;
        self.entries.back().map_or(self.base, |(entry, hash)| LogPosition {
            index,
            term: entry.term,
            hash: *hash,
        })
    }

    fn offset_of(&self, index: Index) -> Option<usize> {
        index.checked_sub(self.base.index + 1).map(|at| at as usize)
    }

    /// The entry at an index.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.entries.get(self.offset_of(index)?).map(|(entry, _)| entry)
    }

    /// The position at an index, if the log still has it.
    pub fn position_at(&self, index: Index) -> Option<LogPosition> {
        if index == self.base.index {
            return Some(self.base);
        }
        let (entry, hash) = self.entries.get(self.offset_of(index)?)?;
        Some(LogPosition { index, term: entry.term, hash: *hash })
    }

    /// Whether the log has an entry with this hash at the index.
    pub fn contains(&self, index: Index, hash: &Hash) -> bool {
        self.position_at(index).is_some_and(|log_position| log_position.hash == *hash)
    }

    /// Appends an entry and returns its position.
    pub fn append(&mut self, entry: Entry) -> LogPosition {
        let previous = self.last();
        let hash = entry.chain_hash(&previous.hash);
        let index = previous.index + 1;
        if let Payload::Council(council) = &entry.payload {
            self.councils.push((index, council.clone()));
        }
        let term = entry.term;
        self.entries.push_back((entry, hash));
        LogPosition { index, term, hash }
    }

    /// Appends several entries.
    pub fn extend(&mut self, entries: impl IntoIterator<Item = Entry>) {
        for entry in entries {
            self.append(entry);
        }
    }

    /// Removes all entries after an index.
    pub fn truncate_after(&mut self, after: Index) {
        let kept = after.saturating_sub(self.base.index) as usize;
        self.entries.truncate(kept);
        self.councils.retain({
            let mut first = true;
            move |(index, _)| std::mem::take(&mut first) || *index <= after
        });
    }

    /// Entries after an index, as many as fit into `max_bytes`; none if the index is before the base.
    pub fn entries_after(&self, index: Index, mut max_bytes: usize) -> Vec<Entry> {
        let Some(from) = index.checked_sub(self.base.index) else { return Vec::new() };
        let mut entries = Vec::new();
        for (entry, _) in self.entries.iter().skip(from as usize) {
            let Some(remaining) = max_bytes.checked_sub(entry.size()) else { break };
            max_bytes = remaining;
            entries.push(entry.clone());
        }
        entries
    }

    /// Removes the entries up to an index, which a snapshot covers.
    pub fn compact(&mut self, to: Index) {
        let Some(base) = self.position_at(to).filter(|log_position| log_position.index > self.base.index)
        else {
            return;
        };
        self.entries.drain(..(to - self.base.index) as usize);
        self.base = base;
        while self.councils.get(1).is_some_and(|(index, _)| *index <= to) {
            self.councils.remove(0);
        }
    }

    /// The council by the newest entry, whether that is decided or not.
    pub fn council(&self) -> &Council {
        &self.councils.last().expect("the base has a council").1
    }

    /// The index since which the newest council votes.
    pub fn council_version(&self) -> Index {
        self.councils.last().expect("the base has a council").0
    }

    /// The council at an index, with the index since which it votes.
    pub fn council_at(&self, index: Index) -> &(Index, Council) {
        self.councils.iter().rfind(|(from, _)| *from <= index).unwrap_or(&self.councils[0])
    }
}
