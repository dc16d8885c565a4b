//! The state of all scopes, as decided by the log.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Bound;

use agree::Hash;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Version;
use crate::content::Content;
use crate::cursor::Cursor;
use crate::entry::{Change, Entry, InvalidEntry, Key};
use crate::merkle::{MerklePath, PathError, ScopeSummary, Trie};
use crate::scope::Scope;

/// Number of removals that a scope remembers at least. Above that it remembers as many as it has live
/// entries: a reader that missed more of them has less to fetch by reading the whole scope. Forgotten
/// removals make readers that are so far behind start over; remembered ones cost memory on control machines.
pub const MIN_REMEMBERED_REMOVALS: usize = 64;

/// Why a change was not applied.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ApplyError {
    /// A later decision has already changed the scope.
    #[error("version {given} is older than {newest}, the newest in this scope")]
    Older {
        /// The version of the change.
        given: Version,
        /// The scope's newest version.
        newest: Version,
    },
    /// The key or the value has an invalid length.
    #[error(transparent)]
    InvalidEntry(#[from] InvalidEntry),
}

/// A reader is so far behind that removals it needs are forgotten: it has to read the whole scope.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("removals up to version {floor} are forgotten")]
pub struct SnapshotNeeded {
    /// Removals up to this version may be forgotten.
    pub floor: Version,
}

/// A scope's summary, with its path to the root.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ScopeProof {
    /// The scope's digest and the version of its last change.
    pub summary: ScopeSummary,
    /// The path to the root.
    pub path: MerklePath,
}

impl ScopeProof {
    /// Verifies that the root contains this summary of the scope.
    ///
    /// # Errors
    ///
    /// [`PathError`] if the path does not prove it.
    pub fn verify(&self, root: &Hash, scope: Scope) -> Result<(), PathError> {
        self.path.verify(root, scope, &self.summary)
    }
}

/// A run of changes of a scope, in the order of their versions and keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRun {
    /// Each key's newest change: version, key, and its value unless it was removed.
    pub changes: Vec<(Version, Key, Option<Vec<u8>>)>,
    /// Whether nothing follows.
    pub complete: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ScopeState {
    content: Content,
    /// The newest known change of each key, live or removed. The key is always `Some`.
    order: BTreeSet<(Version, Option<Key>)>,
    removed: BTreeMap<Key, Version>,
    /// Removals up to this version may be forgotten.
    floor: Version,
    summary: ScopeSummary,
}

/// The entries of all scopes, with a Merkle root over them. The same changes in the same order give the same
/// state, byte for byte. An empty scope keeps the version of its last change. `Debug` prints only the number
/// of scopes, the version and the start of the root.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "SerializedState", into = "SerializedState")]
pub struct ScopedState {
    scopes: BTreeMap<Scope, ScopeState>,
    trie: Trie,
}

impl fmt::Debug for ScopedState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (scopes, version) = (self.scopes.len(), self.version());
        write!(formatter, "ScopedState({scopes} scopes at {version}, root {:02x?})", &self.root()[..8])
    }
}

impl ScopedState {
    /// Applies a change of a decision. Several changes may have the same version.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if the scope is already at a later version, or the change has an invalid length;
    /// nothing is changed then.
    pub fn apply(&mut self, change: Change) -> Result<(), ApplyError> {
        change.check()?;
        let scope = self.scopes.entry(change.scope).or_default();
        let (given, newest) = (change.version, scope.summary.version);
        if given < newest {
            return Err(ApplyError::Older { given, newest });
        }
        scope.apply(change.key, given, change.value);
        self.trie.set(change.scope, &scope.summary);
        Ok(())
    }

    /// The Merkle root over every scope's digest and version.
    pub fn root(&self) -> Hash {
        self.trie.root()
    }

    /// The summary of a scope with its path, also of a scope that was never written to.
    pub fn proof(&self, scope: Scope) -> ScopeProof {
        ScopeProof { summary: self.summary(scope), path: self.trie.path(scope) }
    }

    /// The scope's digest and the version of its last change.
    pub fn summary(&self, scope: Scope) -> ScopeSummary {
        self.scopes.get(&scope).map(|state| state.summary).unwrap_or_default()
    }

    /// The live entries of a scope; `None` if it was never written to.
    pub fn content(&self, scope: Scope) -> Option<&Content> {
        self.scopes.get(&scope).map(|state| &state.content)
    }

    /// The value of a key, and the decision that set it.
    pub fn get(&self, scope: Scope, key: &Key) -> Option<(Version, &[u8])> {
        self.content(scope)?.get(key)
    }

    /// All scopes that were ever written to.
    pub fn scopes(&self) -> impl Iterator<Item = Scope> {
        self.scopes.keys().copied()
    }

    /// The newest version of any scope.
    pub fn version(&self) -> Version {
        self.scopes.values().map(|state| state.summary.version).max().unwrap_or(0)
    }

    /// The changes after a cursor that fit into `max_bytes`, at least one. Removals up to `base` are left
    /// out: the reader never held what they removed, since it began to read the scope at `base`, or held all
    /// of `base`.
    ///
    /// # Errors
    ///
    /// [`SnapshotNeeded`] if removals after `base` may be forgotten.
    pub fn changes(
        &self,
        scope: Scope,
        base: Version,
        after: &Cursor,
        max_bytes: usize,
    ) -> Result<ChangeRun, SnapshotNeeded> {
        let none = ChangeRun { changes: Vec::new(), complete: true };
        self.scopes.get(&scope).map_or(Ok(none), |state| state.changes(base, after, max_bytes))
    }
}

impl ScopeState {
    fn apply(&mut self, key: Key, version: Version, value: Option<Vec<u8>>) {
        let previous = self.content.get(&key).map(|(version, _)| version);
        let previous = previous.or_else(|| self.removed.remove(&key));
        if let Some(previous) = previous {
            self.order.remove(&(previous, Some(key.clone())));
        }
        self.order.insert((version, Some(key.clone())));
        match value {
            Some(value) => self.content.insert(Entry { key, version, value }),
            None => {
                self.content.remove(&key);
                self.removed.insert(key, version);
            }
        }
        self.forget_removals();
        self.summary = ScopeSummary { digest: self.content.digest(), version };
    }

    /// Forgets the oldest removals past the limit.
    fn forget_removals(&mut self) {
        while self.removed.len() > MIN_REMEMBERED_REMOVALS.max(self.content.len()) {
            let oldest = self.removed.iter().min_by_key(|(key, version)| (**version, *key));
            let (key, version) = oldest
                .map(|(key, version)| (key.clone(), *version))
                .expect("there are more removals than the limit");
            self.removed.remove(&key);
            self.order.remove(&(version, Some(key)));
            self.floor = self.floor.max(version);
        }
    }

    fn changes(&self, base: Version, after: &Cursor, max_bytes: usize) -> Result<ChangeRun, SnapshotNeeded> {
        if base < self.floor {
            return Err(SnapshotNeeded { floor: self.floor });
        }
        let (mut changes, mut remaining_bytes) = (Vec::new(), max_bytes);
        for (version, key) in self.order.range((after.bound(), Bound::Unbounded)) {
            let key = key.as_ref().expect("the key is always set");
            let value = self.content.get(key).map(|(_, value)| value);
            if value.is_none() && *version <= base {
                continue;
            }
            let size = change_size(key, value);
            if !changes.is_empty() && size > remaining_bytes {
                return Ok(ChangeRun { changes, complete: false });
            }
            remaining_bytes = remaining_bytes.saturating_sub(size);
            changes.push((*version, key.clone(), value.map(<[u8]>::to_vec)));
        }
        Ok(ChangeRun { changes, complete: true })
    }
}

/// Maximum bytes that a change takes in a message.
pub fn change_size(key: &Key, value: Option<&[u8]>) -> usize {
    /// A version, two lengths and whether there is a value.
    const OVERHEAD_BYTES: usize = 10 + 2 + 2 + 1;
    OVERHEAD_BYTES + key.as_str().len() + value.map_or(0, <[u8]>::len)
}

/// The serialized form of a state, without what can be computed from the rest.
#[derive(Serialize, Deserialize)]
struct SerializedState {
    scopes: Vec<SerializedScope>,
}

#[derive(Serialize, Deserialize)]
struct SerializedScope {
    scope: Scope,
    version: Version,
    floor: Version,
    entries: Vec<Entry>,
    removed: Vec<(Key, Version)>,
}

/// A serialized state that no changes lead to.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidState {
    /// A value is too long.
    #[error(transparent)]
    InvalidEntry(#[from] InvalidEntry),
    /// A key is repeated, a scope is repeated, or a version is out of range.
    #[error("a scope or a key is repeated, or a version is out of range")]
    Inconsistent,
}

impl From<ScopedState> for SerializedState {
    fn from(state: ScopedState) -> Self {
        let serialized = |(scope, state): (Scope, ScopeState)| SerializedScope {
            scope,
            version: state.summary.version,
            floor: state.floor,
            entries: state.content.entries(),
            removed: state.removed.into_iter().collect(),
        };
        Self { scopes: state.scopes.into_iter().map(serialized).collect() }
    }
}

impl TryFrom<SerializedState> for ScopedState {
    type Error = InvalidState;

    fn try_from(serialized: SerializedState) -> Result<Self, InvalidState> {
        let mut state = Self::default();
        for scope in serialized.scopes {
            let name = scope.scope;
            let restored = ScopeState::try_from(scope)?;
            state.trie.set(name, &restored.summary);
            if state.scopes.insert(name, restored).is_some() {
                return Err(InvalidState::Inconsistent);
            }
        }
        Ok(state)
    }
}

impl TryFrom<SerializedScope> for ScopeState {
    type Error = InvalidState;

    fn try_from(serialized: SerializedScope) -> Result<Self, InvalidState> {
        let mut order = BTreeSet::new();
        let live = serialized.entries.iter().map(|entry| (&entry.key, entry.version));
        let all: Vec<_> =
            live.chain(serialized.removed.iter().map(|(key, version)| (key, *version))).collect();
        let in_range = all.iter().all(|(_, version)| *version <= serialized.version);
        let sizes = serialized.entries.iter().map(|entry| entry.value.len());
        if let Some(bytes) = sizes.max().filter(|&bytes| bytes > crate::entry::MAX_VALUE_BYTES) {
            return Err(InvalidEntry::LongValue(bytes).into());
        }
        for (key, version) in &all {
            order.insert((*version, Some((*key).clone())));
        }
        let keys: BTreeSet<_> = all.iter().map(|(key, _)| *key).collect();
        if keys.len() != all.len() || !in_range || serialized.floor > serialized.version {
            return Err(InvalidState::Inconsistent);
        }
        let content: Content = serialized.entries.into_iter().collect();
        let summary = ScopeSummary { digest: content.digest(), version: serialized.version };
        Ok(Self {
            content,
            order,
            removed: serialized.removed.into_iter().collect(),
            floor: serialized.floor,
            summary,
        })
    }
}
