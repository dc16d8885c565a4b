//! The part of the fleet that a change belongs to.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a change belongs to. A border proxy subscribes to the scopes that it uses, and holds no others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// Every border proxy.
    All,
    /// A region, by its number in the settings.
    Region(u16),
    /// A zone, by its number in the settings.
    Zone(u16),
    /// A service, by the number of its pool.
    Service(u32),
}

impl fmt::Display for Scope {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::All => write!(formatter, "all"),
            Self::Region(number) => write!(formatter, "region {number}"),
            Self::Zone(number) => write!(formatter, "zone {number}"),
            Self::Service(number) => write!(formatter, "service {number}"),
        }
    }
}
