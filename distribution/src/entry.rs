//! Entries of a scope, and changes to them.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Version;
use crate::scope::Scope;

/// Maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Maximum length of a value in bytes: as long as a command of the log can be.
pub const MAX_VALUE_BYTES: usize = agree::log::MAX_COMMAND_BYTES;

/// A key or a value that no state accepts.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum InvalidEntry {
    /// The key is empty.
    #[error("the key is empty")]
    EmptyKey,
    /// The key has more than [`MAX_KEY_BYTES`] bytes.
    #[error("the key has {0} bytes, at most {MAX_KEY_BYTES} are allowed")]
    LongKey(usize),
    /// The value has more than [`MAX_VALUE_BYTES`] bytes.
    #[error("the value has {0} bytes, at most {MAX_VALUE_BYTES} are allowed")]
    LongValue(usize),
}

/// The name of an entry within its scope: 1 to [`MAX_KEY_BYTES`] bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(String);

impl Key {
    /// Checks and wraps a key.
    ///
    /// # Errors
    ///
    /// [`InvalidEntry`] if it is empty or too long.
    pub fn new(key: impl Into<String>) -> Result<Self, InvalidEntry> {
        let key = key.into();
        match key.len() {
            0 => Err(InvalidEntry::EmptyKey),
            1..=MAX_KEY_BYTES => Ok(Self(key)),
            bytes => Err(InvalidEntry::LongKey(bytes)),
        }
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Key {
    type Error = InvalidEntry;

    fn try_from(key: String) -> Result<Self, InvalidEntry> {
        Self::new(key)
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A key of a scope with its value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Name within the scope.
    pub key: Key,
    /// The decision that set the value.
    pub version: Version,
    /// The value; its meaning is up to the application.
    pub value: Vec<u8>,
}

/// What a decision does to one key of one scope.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The scope of the key.
    pub scope: Scope,
    /// The key that changes.
    pub key: Key,
    /// The decision that changes it.
    pub version: Version,
    /// The new value; `None` if the entry is removed.
    pub value: Option<Vec<u8>>,
}

impl Change {
    /// Checks that a state accepts the change.
    ///
    /// # Errors
    ///
    /// [`InvalidEntry::LongValue`] if the value is longer than [`MAX_VALUE_BYTES`].
    pub fn check(&self) -> Result<(), InvalidEntry> {
        let bytes = self.value.as_ref().map_or(0, Vec::len);
        if bytes > MAX_VALUE_BYTES { Err(InvalidEntry::LongValue(bytes)) } else { Ok(()) }
    }
}
