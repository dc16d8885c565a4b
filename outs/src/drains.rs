//! Drains of central servers by the fleet's decision: no proxy sends a drained server anything new, its
//! established conversations go on, until the drain is revoked.
//!
//! A drain command states how many servers of the pool may be unavailable, and how many are by the pool
//! list that its requester has. As the command contains all of that, every replica comes to the same
//! verdict, and servers drained by others count even if the requester did not know of them.

use std::collections::BTreeMap;

use agree::Index;
use distribution::{Change, Key, Scope};
use serde::{Deserialize, Serialize};

/// Longest name, and longest reason.
pub const MAX_NAME_BYTES: usize = 120;
pub const MAX_REASON_BYTES: usize = 120;
/// Most servers drained at the same time.
pub const MAX_DRAINS: usize = 1024;
/// Drained servers that an answer names; more would not fit.
const MAX_REPORTED_DRAINS: usize = 8;

/// A command about drains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    Drain {
        server: String,
        pool: u16,
        /// How many servers of the pool may be unavailable at the same time, and how many are by the list
        /// without any drain.
        max_unavailable: u16,
        listed_unavailable: u16,
        /// Who requested it, why, and the requester's wall-clock time in Unix milliseconds.
        by: String,
        why: String,
        unix_ms: u64,
    },
    Undrain {
        server: String,
    },
}

impl Command {
    /// The server that the command is about.
    pub fn server(&self) -> &str {
        match self {
            Self::Drain { server, .. } | Self::Undrain { server } => server,
        }
    }
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Done,
    /// The server was already in that state.
    Unchanged,
    /// This many servers of the pool would be unavailable, more than allowed; `drained` are those drained
    /// already.
    OverBudget {
        unavailable: u16,
        max_unavailable: u16,
        drained: Vec<String>,
    },
    /// A name or reason is too long or empty, or too many servers are drained.
    Invalid,
}

/// A drained server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    pub pool: u16,
    pub by: String,
    pub why: String,
    pub unix_ms: u64,
    pub decision: Index,
}

/// Key prefix of distributed drains, in the scope of their pool.
const KEY_PREFIX: &str = "drain/";

/// The value of a distributed drain; its server and pool are in the key and the scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    pub by: String,
    pub why: String,
    pub unix_ms: u64,
}

impl Notice {
    /// Reads an entry's value; `None` if its form is unknown.
    pub fn decode(value: &[u8]) -> Option<Self> {
        crate::decode(crate::VERSION, value)
    }
}

/// The scope in which drains of a pool's servers are distributed.
pub fn scope(pool: u16) -> Scope {
    Scope::Service(u32::from(pool))
}

/// The server that an entry with that key drains.
pub fn server_of(key: &Key) -> Option<&str> {
    key.as_str().strip_prefix(KEY_PREFIX)
}

/// The distributed change that a decision on a drain causes; `None` if the server's name cannot be a key.
pub(crate) fn change(decision: Index, server: &str, pool: u16, drain: Option<&Drain>) -> Option<Change> {
    let notice = |drain: &Drain| {
        let (by, why) = (drain.by.clone(), drain.why.clone());
        crate::encode(crate::VERSION, &Notice { by, why, unix_ms: drain.unix_ms })
    };
    Some(Change {
        scope: scope(pool),
        key: Key::new(format!("{KEY_PREFIX}{server}")).ok()?,
        version: decision,
        value: drain.map(notice),
    })
}

/// All drained servers by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drains {
    drains: BTreeMap<String, Drain>,
}

/// How many of a pool's servers may be unavailable at the same time: a fraction of them, at least one.
pub fn max_unavailable(fraction: f64, servers: usize) -> u16 {
    ((fraction * servers as f64).floor().max(1.0)).min(f64::from(u16::MAX)) as u16
}

impl Drains {
    /// The drain of a server.
    pub fn get(&self, server: &str) -> Option<&Drain> {
        self.drains.get(server)
    }

    /// All drains in order of the servers' names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Drain)> {
        self.drains.iter().map(|(server, drain)| (&server[..], drain))
    }

    /// Applies a command with the index of its decision.
    pub fn decide(&mut self, decision: Index, command: Command) -> Verdict {
        match command {
            Command::Undrain { server } => match self.drains.remove(&server) {
                Some(_) => Verdict::Done,
                None => Verdict::Unchanged,
            },
            Command::Drain { server, pool, max_unavailable, listed_unavailable, by, why, unix_ms } => {
                if self.drains.contains_key(&server) {
                    return Verdict::Unchanged;
                }
                let is_valid_name = |name: &String| (1..=MAX_NAME_BYTES).contains(&name.len());
                let is_valid = is_valid_name(&server) && is_valid_name(&by) && why.len() <= MAX_REASON_BYTES;
                if !is_valid || self.drains.len() >= MAX_DRAINS {
                    return Verdict::Invalid;
                }
                let in_pool = self.drains.iter().filter(|(_, drain)| drain.pool == pool);
                let mut drained: Vec<String> = in_pool.map(|(server, _)| server.clone()).collect();
                let unavailable = listed_unavailable.saturating_add(drained.len() as u16).saturating_add(1);
                if unavailable > max_unavailable {
                    drained.truncate(MAX_REPORTED_DRAINS);
                    return Verdict::OverBudget { unavailable, max_unavailable, drained };
                }
                self.drains.insert(server, Drain { pool, by, why, unix_ms, decision });
                Verdict::Done
            }
        }
    }
}
