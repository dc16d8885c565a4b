//! The pool list: one JSON object a line, a whole list first, then changes with versions.
//!
//! [`PoolUpdates::read`] checks a line, [`PoolList::apply`] takes it in and gives lines for the module.
//! [`PoolList::to_cache`] and [`PoolList::from_cache`] keep the last list over a restart. docs/wire.md has
//! the form.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hasher;
use std::net::SocketAddr;

use frostthread::host::{Listed, Server, State};
use gossip::wire::Life;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use thiserror::Error;

/// Bytes of the longest line that is read.
pub const MAX_LINE_BYTES: usize = 1 << 20;
/// Servers in the longest list that is taken.
pub const MAX_SERVERS: usize = 10_000;

/// What is wrong with a line of the feed or with the cached list.
#[derive(Debug, Error)]
pub enum PoolListError {
    #[error("pool list: {0}")]
    Json(#[from] serde_json::Error),
    #[error("pool list: {0} servers, at most {MAX_SERVERS} are taken")]
    TooMany(usize),
    #[error("pool list: servers[{index}].{field}: {why}")]
    Field { index: usize, field: &'static str, why: String },
    #[error("pool list: changes to version {0} came without a whole list")]
    MissingFullList(u64),
    #[error("pool list: version {found} came after {last}")]
    VersionGap { last: u64, found: u64 },
    #[error("cached pool list: {0}")]
    Cache(&'static str),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Readiness {
    Running,
    Draining,
    Gone,
}

impl From<Readiness> for State {
    fn from(readiness: Readiness) -> Self {
        match readiness {
            Readiness::Running => Self::Running,
            Readiness::Draining => Self::Draining,
            Readiness::Gone => Self::Gone,
        }
    }
}

/// A server as the feed names it. Its name stays the same over restarts of its process; a machine that
/// replaces it has a new one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolEntry {
    pub name: String,
    pub address: SocketAddr,
    pub state: Readiness,
    pub pool: u16,
    /// When its process last started, in milliseconds of Unix time; left out where that is long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<f64>,
}

/// A line of the feed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolUpdates {
    pub version: u64,
    /// Whether this is the whole list; else only what has changed since the version before.
    #[serde(default)]
    pub whole: bool,
    pub servers: Vec<PoolEntry>,
}

/// What a subscriber asks for, as the first line it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRequest {
    /// The version that it has, if any.
    pub have: Option<u64>,
}

impl PoolUpdates {
    pub fn read(line: &str) -> Result<Self, PoolListError> {
        let news: Self = serde_json::from_str(line)?;
        news.check()?;
        Ok(news)
    }

    /// Whether its values can be used.
    pub fn check(&self) -> Result<(), PoolListError> {
        if self.servers.len() > MAX_SERVERS {
            return Err(PoolListError::TooMany(self.servers.len()));
        }
        for (index, entry) in self.servers.iter().enumerate() {
            let wrong = |field, why: String| Err(PoolListError::Field { index, field, why });
            if entry.name.is_empty() || entry.name.len() > 255 {
                return wrong("name", format!("{} bytes, 1 to 255 wanted", entry.name.len()));
            }
            if entry.started.is_some_and(|at| !at.is_finite() || at < 0.0) {
                return wrong("started", "no time".to_owned());
            }
            if entry.address.port() == 0 {
                return wrong("address", "port 0".to_owned());
            }
        }
        Ok(())
    }

    pub fn write(&self) -> String {
        let mut line = serde_json::to_string(self).expect("plain data");
        line.push('\n');
        line
    }
}

struct KnownServer {
    entry: PoolEntry,
    server: Server,
    /// When it started, on this proxy's clock. Reckoned once for each start told, so that a step of the
    /// wall clock makes no server look restarted.
    started: Option<f64>,
}

/// The list as this proxy has it.
#[derive(Default)]
pub struct PoolList {
    version: Option<u64>,
    known: BTreeMap<String, KnownServer>,
    addresses: Vec<SocketAddr>,
    names: Vec<String>,
    by_address: HashMap<SocketAddr, Server>,
    /// Servers that get nothing new by the fleet's decision, whatever the list says.
    drained: BTreeSet<String>,
}

impl PoolList {
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    pub fn address(&self, server: Server) -> SocketAddr {
        self.addresses[server.0 as usize]
    }

    pub fn name(&self, server: Server) -> &str {
        &self.names[server.0 as usize]
    }

    /// The server of that name.
    pub fn server_by_name(&self, name: &str) -> Option<Server> {
        self.known.get(name).map(|known| known.server)
    }

    pub fn state(&self, server: Server) -> State {
        self.known.get(self.name(server)).map_or(State::Gone, |known| self.effective_state(&known.entry))
    }

    pub fn pool(&self, server: Server) -> u16 {
        self.known.get(self.name(server)).map_or(0, |known| known.entry.pool)
    }

    fn effective_state(&self, entry: &PoolEntry) -> State {
        match entry.state.into() {
            State::Running if self.drained.contains(&entry.name) => State::Draining,
            state => state,
        }
    }

    /// How many servers of a pool are listed, and how many of them are out by the list itself.
    pub fn count_listed_and_draining(&self, pool: u16) -> (usize, usize) {
        let of_pool = self.known.values().filter(|known| known.entry.pool == pool);
        let states: Vec<Readiness> = of_pool.map(|known| known.entry.state).collect();
        let listed = states.iter().filter(|state| **state != Readiness::Gone).count();
        (listed, states.iter().filter(|state| **state == Readiness::Draining).count())
    }

    /// The fleet has decided which servers get nothing new; gives the lines that are others now.
    pub fn set_drained(&mut self, drained: &BTreeSet<String>) -> Vec<Listed> {
        let former = std::mem::replace(&mut self.drained, drained.clone());
        let changed = former.symmetric_difference(drained).filter_map(|name| self.known.get(name));
        let running = changed.filter(|known| known.entry.state == Readiness::Running);
        running.map(|known| self.listed(known)).collect()
    }

    fn listed(&self, known: &KnownServer) -> Listed {
        let state = self.effective_state(&known.entry);
        Listed { server: known.server, state, pool: known.entry.pool, started: known.started }
    }

    /// The server at an address, the latest to be listed there.
    pub fn server_at(&self, address: SocketAddr) -> Option<Server> {
        self.by_address.get(&address).copied()
    }

    /// The server's present life, by which proxies speak of it to each other. A name and start of their own
    /// keep what was said of an earlier process, or of another machine at the same address, apart.
    pub fn generation(&self, server: Server) -> Option<Life> {
        let known = self.known.get(self.name(server))?;
        let mut hasher = SipHasher13::new();
        hasher.write(known.entry.name.as_bytes());
        Some(Life { server: hasher.finish(), started: known.entry.started.unwrap_or(0.0) as u64 })
    }

    /// All servers ever listed, in the order of their indices.
    pub fn servers(&self) -> impl Iterator<Item = Server> {
        (0..self.names.len() as u32).map(Server)
    }

    /// Takes news in. `now` is the proxy's clock and `unix` the wall clock, both in milliseconds.
    pub fn apply(&mut self, news: &PoolUpdates, now: f64, unix: f64) -> Result<Vec<Listed>, PoolListError> {
        if !news.whole {
            let last = self.version.ok_or(PoolListError::MissingFullList(news.version))?;
            if news.version != last + 1 {
                return Err(PoolListError::VersionGap { last, found: news.version });
            }
        }
        self.version = Some(news.version);
        if news.whole {
            for known in self.known.values_mut() {
                known.entry.state = Readiness::Gone;
            }
        }
        Ok(news.servers.iter().map(|entry| self.apply_entry(entry, now, unix)).collect())
    }

    fn apply_entry(&mut self, entry: &PoolEntry, now: f64, unix: f64) -> Listed {
        let local = |at: f64| now - (unix - at).max(0.0);
        let known = self.known.entry(entry.name.clone()).or_insert_with(|| {
            self.names.push(entry.name.clone());
            self.addresses.push(entry.address);
            let server = Server(self.names.len() as u32 - 1);
            KnownServer { entry: entry.clone(), server, started: entry.started.map(local) }
        });
        if known.entry.started != entry.started {
            known.started = entry.started.map(local);
        }
        known.entry = entry.clone();
        self.addresses[known.server.0 as usize] = entry.address;
        if entry.state != Readiness::Gone {
            self.by_address.insert(entry.address, known.server);
        }
        self.listed(&self.known[&entry.name])
    }

    /// The list as it is kept on disk: a line with a checksum, then the news that would bring it.
    pub fn to_cache(&self) -> String {
        let servers = self.known.values().map(|known| known.entry.clone());
        let servers = servers.filter(|entry| entry.state != Readiness::Gone).collect();
        let body = PoolUpdates { version: self.version.unwrap_or(0), whole: true, servers }.write();
        format!("frostthread-pool 1 {:08x}\n{body}", crc32fast::hash(body.as_bytes()))
    }

    /// The news in a kept list, if it is whole and undamaged.
    pub fn from_cache(text: &str) -> Result<PoolUpdates, PoolListError> {
        let (head, body) = text.split_once('\n').ok_or(PoolListError::Cache("its first line is missing"))?;
        let sum = head
            .strip_prefix("frostthread-pool 1 ")
            .ok_or(PoolListError::Cache("of another kind or version"))?;
        if u32::from_str_radix(sum, 16) != Ok(crc32fast::hash(body.as_bytes())) {
            return Err(PoolListError::Cache("its checksum does not match"));
        }
        PoolUpdates::read(body)
    }
}
