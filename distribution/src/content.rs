//! The live entries of one scope and their digest.

use std::collections::BTreeMap;
use std::fmt;

use agree::Hash;

use crate::Version;
use crate::entry::{Entry, Key};

/// The digest of a scope without entries, whether or not it ever had any.
pub const EMPTY_DIGEST: Hash = [0; 32];

#[derive(Clone, Debug, PartialEq, Eq)]
struct Stored {
    version: Version,
    value: Vec<u8>,
    hash: Hash,
}

/// The live entries of a scope, by key. `Debug` prints only their number and the start of the digest.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Content {
    entries: BTreeMap<Key, Stored>,
}

impl Content {
    /// Inserts an entry, replacing an earlier one with the same key.
    pub fn insert(&mut self, entry: Entry) {
        let hash = hash_entry(&entry);
        let Entry { key, version, value } = entry;
        self.entries.insert(key, Stored { version, value, hash });
    }

    /// Removes the entry of a key.
    pub fn remove(&mut self, key: &Key) {
        self.entries.remove(key);
    }

    /// The value of a key and the version that set it.
    pub fn get(&self, key: &Key) -> Option<(Version, &[u8])> {
        self.entries.get(key).map(|stored| (stored.version, &stored.value[..]))
    }

    /// Iterates over the entries in key order: key, version, value.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, Version, &[u8])> {
        self.entries.iter().map(|(key, stored)| (key, stored.version, &stored.value[..]))
    }

    /// Copies all entries, in key order.
    pub fn entries(&self) -> Vec<Entry> {
        let entry = |(key, version, value): (&Key, Version, &[u8])| {
            let (key, value) = (key.clone(), value.to_vec());
            Entry { key, version, value }
        };
        self.iter().map(entry).collect()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// BLAKE3 over the entries in key order (key, version, value); [`EMPTY_DIGEST`] if there are none.
    pub fn digest(&self) -> Hash {
        if self.is_empty() {
            return EMPTY_DIGEST;
        }
        let mut hasher = blake3::Hasher::new_derive_key("frostthread distribution 1 scope");
        for stored in self.entries.values() {
            hasher.update(&stored.hash);
        }
        *hasher.finalize().as_bytes()
    }
}

impl fmt::Debug for Content {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Content({} entries, digest {:02x?})", self.len(), &self.digest()[..8])
    }
}

impl FromIterator<Entry> for Content {
    fn from_iter<I: IntoIterator<Item = Entry>>(entries: I) -> Self {
        let mut content = Self::default();
        entries.into_iter().for_each(|entry| content.insert(entry));
        content
    }
}

fn hash_entry(entry: &Entry) -> Hash {
    let mut hasher = blake3::Hasher::new_derive_key("frostthread distribution 1 entry");
    hasher.update(&postcard::to_stdvec(entry).expect("plain data always serializes"));
    *hasher.finalize().as_bytes()
}
