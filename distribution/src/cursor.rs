//! A position in the changes of a scope, ordered by version and, within a version, by key.

use std::ops::Bound;

use serde::{Deserialize, Serialize};

use crate::Version;
use crate::entry::Key;

/// The position up to which the changes of a scope are known. A key that changes again moves to its newer
/// position, so reading on from a cursor never misses a change, whatever changed in between.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cursor {
    /// All changes of earlier versions are known.
    pub version: Version,
    /// The last known key of this version; `None` if all of them are known.
    pub key: Option<Key>,
}

impl Cursor {
    /// The position after all changes of a version.
    pub fn end_of(version: Version) -> Self {
        Self { version, key: None }
    }

    /// The position after one change.
    pub fn at(version: Version, key: Key) -> Self {
        Self { version, key: Some(key) }
    }

    /// The lower bound from which reading continues.
    pub(crate) fn bound(&self) -> Bound<(Version, Option<Key>)> {
        match &self.key {
            Some(key) => Bound::Excluded((self.version, Some(key.clone()))),
            // `None` sorts before every key.
            None => Bound::Included((self.version.saturating_add(1), None)),
        }
    }

    /// Whether the change of a key at a version is known at this position.
    pub fn covers(&self, version: Version, key: &Key) -> bool {
        version < self.version
            || version == self.version && self.key.as_ref().is_none_or(|last_known| key <= last_known)
    }
}

impl PartialOrd for Cursor {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Cursor {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let sort_key = |cursor: &Self| (cursor.version, cursor.key.is_none());
        sort_key(self).cmp(&sort_key(other)).then_with(|| self.key.cmp(&other.key))
    }
}
