//! The decisions in their order. Each entry is chained to all before it by a hash, so that two logs that have
//! the same hash at an index are the same up to there.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::council::Council;

pub type Index = u64;
pub type Term = u64;
pub type Hash = [u8; 32];

/// Bytes of the longest command of a part.
pub const MAX_COMMAND_BYTES: usize = 400;

/// What an entry is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// A leader's first one: what earlier leaders left behind is decided with it.
    Begin,
    /// Who votes from here on.
    Council(Council),
    /// A command of one of the machine's parts.
    Decide { part: u8, command: Vec<u8> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    /// Drawn by who asks: asked for twice, it is done once. 0 where nobody asked.
    pub request: u64,
    pub payload: Payload,
}

impl Entry {
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).expect("plain data")
    }

    fn chain_hash(&self, previous: &Hash) -> Hash {
        let mut hasher = blake3::Hasher::new();
        hasher.update(previous);
        hasher.update(&postcard::to_stdvec(self).expect("plain data"));
        *hasher.finalize().as_bytes()
    }
}

/// A place in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    pub index: Index,
    pub term: Term,
    pub hash: Hash,
}

/// Entries after a base, whose own are folded into a snapshot.
#[derive(Clone, Debug)]
pub struct Log {
    base: LogPosition,
    entries: VecDeque<(Entry, Hash)>,
    /// The councils of the log, with the index from which each votes; the first is the base's.
    councils: Vec<(Index, Council)>,
}

impl Log {
    pub fn new(base: LogPosition, version: Index, council: Council) -> Self {
        Self { base, entries: VecDeque::new(), councils: vec![(version, council)] }
    }

    pub fn base(&self) -> LogPosition {
        self.base
    }

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

    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.entries.get(self.offset_of(index)?).map(|(entry, _)| entry)
    }

    pub fn position_at(&self, index: Index) -> Option<LogPosition> {
        if index == self.base.index {
            return Some(self.base);
        }
        let (entry, hash) = self.entries.get(self.offset_of(index)?)?;
        Some(LogPosition { index, term: entry.term, hash: *hash })
    }

    /// Whether the log has that hash there.
    pub fn contains(&self, index: Index, hash: &Hash) -> bool {
        self.position_at(index).is_some_and(|log_position| log_position.hash == *hash)
    }

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

    pub fn extend(&mut self, entries: impl IntoIterator<Item = Entry>) {
        for entry in entries {
            self.append(entry);
        }
    }

    /// Takes back all that follows an index.
    pub fn truncate_after(&mut self, after: Index) {
        let kept = after.saturating_sub(self.base.index) as usize;
        self.entries.truncate(kept);
        self.councils.retain({
            let mut first = true;
            move |(index, _)| std::mem::take(&mut first) || *index <= after
        });
    }

    /// Entries that follow an index, as many as fit into so many bytes; none of an index before the base.
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

    /// Lets go of what is in a snapshot, up to an index.
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

    /// Who votes by the newest entry, decided or not, and since which one.
    pub fn council(&self) -> &Council {
        &self.councils.last().expect("the base's").1
    }

    pub fn council_version(&self) -> Index {
        self.councils.last().expect("the base's").0
    }

    /// Who votes at an index, and since which one.
    pub fn council_at(&self, index: Index) -> &(Index, Council) {
        self.councils.iter().rfind(|(from, _)| *from <= index).unwrap_or(&self.councils[0])
    }
}
