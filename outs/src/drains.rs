//! Central servers that are drained by the fleet's decision: no proxy sends them anything new, what stands
//! there goes on, until the decision is taken back.
//!
//! A drain says how many of its pool may be out, and how many are by the list as its asker has it. All of it
//! stands in the command, so that the machine comes to the same verdict everywhere, and what is out already
//! by another's drain counts though its asker did not know of it.

use std::collections::BTreeMap;

use agree::Index;
use distribution::{Change, Key, Scope};
use serde::{Deserialize, Serialize};

/// Bytes of names, and of the reason that is kept.
pub const MAX_NAME_BYTES: usize = 120;
pub const MAX_REASON_BYTES: usize = 120;
/// Servers drained at once.
pub const MAX_DRAINS: usize = 1024;

/// What may be asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    Drain {
        server: String,
        pool: u16,
        /// How many of the pool may be out at once, and how many are by the list without any drain.
        max_unavailable: u16,
        listed_unavailable: u16,
        /// Who asked, why, and when by its wall clock, in Unix milliseconds.
        by: String,
        why: String,
        unix_ms: u64,
    },
    Undrain {
        server: String,
    },
}

impl Command {
    /// The server that it is about.
    pub fn server(&self) -> &str {
        match self {
            Self::Drain { server, .. } | Self::Undrain { server } => server,
        }
    }
}

/// What became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Done,
    /// It was so before.
    Unchanged,
    /// So many of its pool would be out, more than may be; by drains there are these.
    OverBudget {
        unavailable: u16,
        max_unavailable: u16,
        drained: Vec<String>,
    },
    /// A name or reason is too long or empty, or too many servers are drained.
    Invalid,
}

/// A server that is drained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    pub pool: u16,
    pub by: String,
    pub why: String,
    pub unix_ms: u64,
    pub decision: Index,
}

/// Under what a drain is distributed, in the scope of its pool.
const KEY_PREFIX: &str = "drain/";

/// What a drain that is distributed says, beside its server and its pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    pub by: String,
    pub why: String,
    pub unix_ms: u64,
}

impl Notice {
    /// What the value of an entry says; nothing where its form is not known.
    pub fn read(value: &[u8]) -> Option<Self> {
        crate::decode(crate::VERSION, value)
    }
}

/// The scope that drains of a pool's servers belong to.
pub fn scope(pool: u16) -> Scope {
    Scope::Service(u32::from(pool))
}

/// The server that is drained by an entry of that key.
pub fn server_of(key: &Key) -> Option<&str> {
    key.as_str().strip_prefix(KEY_PREFIX)
}

/// What a decision on a drain changes for those who are told by scope; nothing where the name is no key's.
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

/// All servers that are drained, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drains {
    drains: BTreeMap<String, Drain>,
}

/// How many of a pool of so many servers may be out: that part of them, and one at least.
pub fn max_unavailable(fraction: f64, servers: usize) -> u16 {
    ((fraction * servers as f64).floor().max(1.0)).min(f64::from(u16::MAX)) as u16
}

impl Drains {
    pub fn get(&self, server: &str) -> Option<&Drain> {
        self.drains.get(server)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &Drain)> {
        self.drains.iter().map(|(server, drain)| (&server[..], drain))
    }

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
                    // As many as an answer has room for.
                    drained.truncate(8);
                    return Verdict::OverBudget { unavailable, max_unavailable, drained };
                }
                self.drains.insert(server, Drain { pool, by, why, unix_ms, decision });
                Verdict::Done
            }
        }
    }
}
