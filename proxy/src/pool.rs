//! The pool list: one JSON object per line, first a complete list, then changes with consecutive versions.
//!
//! [`PoolUpdates::read`] checks a line, and [`PoolList::apply`] applies it and returns entries for the
//! module. [`PoolList::to_cache`] and [`PoolList::from_cache`] preserve the last list over a restart.
//! docs/wire.md specifies the format.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hasher;
use std::net::SocketAddr;

use frostthread::host::{Server, ServerEntry, State};
use gossip::wire::Generation;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use thiserror::Error;

/// The maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 1 << 20;
/// The maximum number of servers in a line.
pub const MAX_SERVERS: usize = 10_000;

/// An error in a line of the feed or in the cached list.
#[derive(Debug, Error)]
pub enum PoolListError {
    #[error("pool list: {0}")]
    Json(#[from] serde_json::Error),
    /// There are more servers than [`MAX_SERVERS`].
    #[error("pool list: {0} servers, at most {MAX_SERVERS} are accepted")]
    TooMany(usize),
    /// A field of an entry is invalid.
    #[error("pool list: servers[{index}].{field}: {why}")]
    Field { index: usize, field: &'static str, why: String },
    /// A change arrived before any complete list.
    #[error("pool list: changes to version {0} came without a complete list before")]
    MissingFullList(u64),
    /// The version does not follow the last one.
    #[error("pool list: version {found} came after {last}")]
    VersionGap { last: u64, found: u64 },
    /// The cached list is damaged or of another format.
    #[error("cached pool list: {0}")]
    Cache(&'static str),
}

/// The state of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Readiness {
    /// It accepts set-ups.
    Running,
    /// It gets no new set-ups.
    Draining,
    /// It no longer exists.
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

/// A server as the feed names it. The name remains the same over restarts of the server's process; a
/// replacement machine gets a new name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolEntry {
    /// 1 to 255 bytes.
    pub name: String,
    pub address: SocketAddr,
    pub state: Readiness,
    /// The number of its pool.
    pub pool: u16,
    /// When its process last started, in milliseconds of Unix time; `None` if that is long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<f64>,
}

/// A line of the feed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolUpdates {
    /// Grows by one with each line.
    pub version: u64,
    /// Whether this is the complete list; otherwise it contains the changes since the previous version.
    #[serde(default)]
    pub whole: bool,
    pub servers: Vec<PoolEntry>,
}

/// The first line that a subscriber sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRequest {
    /// The version that it already has, if any.
    pub have: Option<u64>,
}

impl PoolUpdates {
    /// Parses and checks a line.
    pub fn read(line: &str) -> Result<Self, PoolListError> {
        let updates: Self = serde_json::from_str(line)?;
        updates.check()?;
        Ok(updates)
    }

    /// Checks the values.
    pub fn check(&self) -> Result<(), PoolListError> {
        if self.servers.len() > MAX_SERVERS {
            return Err(PoolListError::TooMany(self.servers.len()));
        }
        for (index, entry) in self.servers.iter().enumerate() {
            let invalid = |field, why: String| Err(PoolListError::Field { index, field, why });
            if entry.name.is_empty() || entry.name.len() > 255 {
                return invalid("name", format!("{} bytes, 1 to 255 wanted", entry.name.len()));
            }
            if entry.started.is_some_and(|started| !started.is_finite() || started < 0.0) {
                return invalid("started", "must be a finite time of at least 0 ms".to_owned());
            }
            if entry.address.port() == 0 {
                return invalid("address", "port 0, 1 to 65535 wanted".to_owned());
            }
        }
        Ok(())
    }

    /// The line to send, with its line break.
    pub fn write(&self) -> String {
        let mut line = serde_json::to_string(self).expect("plain data");
        line.push('\n');
        line
    }
}

struct KnownServer {
    entry: PoolEntry,
    server: Server,
    /// The start on this proxy's clock. It is computed once for each reported start, so that a step of the
    /// wall clock does not make a server look restarted.
    started: Option<f64>,
}

/// The list as this proxy has it.
#[derive(Default)]
pub struct PoolList {
    version: Option<u64>,
    by_name: BTreeMap<String, KnownServer>,
    addresses: Vec<SocketAddr>,
    names: Vec<String>,
    by_address: HashMap<SocketAddr, Server>,
    /// Servers that get no new set-ups by decision of the fleet, whatever the list says.
    drained: BTreeSet<String>,
}

impl PoolList {
    /// The version of the last update.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The server's latest address.
    pub fn address(&self, server: Server) -> SocketAddr {
        self.addresses[server.0 as usize]
    }

    /// The server's name.
    pub fn name(&self, server: Server) -> &str {
        &self.names[server.0 as usize]
    }

    /// The server of a name.
    pub fn server_by_name(&self, name: &str) -> Option<Server> {
        self.by_name.get(name).map(|known| known.server)
    }

    /// The server's state; a server drained by the fleet is not running.
    pub fn state(&self, server: Server) -> State {
        self.by_name.get(self.name(server)).map_or(State::Gone, |known| self.effective_state(&known.entry))
    }

    /// The number of the server's pool; 0 if it was never listed.
    pub fn pool(&self, server: Server) -> u16 {
        self.by_name.get(self.name(server)).map_or(0, |known| known.entry.pool)
    }

    fn effective_state(&self, entry: &PoolEntry) -> State {
        match entry.state.into() {
            State::Running if self.drained.contains(&entry.name) => State::Draining,
            state => state,
        }
    }

    /// The number of listed servers of a pool, and how many of those the list itself drains.
    pub fn count_listed_and_draining(&self, pool: u16) -> (usize, usize) {
        let of_pool = self.by_name.values().filter(|known| known.entry.pool == pool);
        let states: Vec<Readiness> = of_pool.map(|known| known.entry.state).collect();
        let listed = states.iter().filter(|state| **state != Readiness::Gone).count();
        (listed, states.iter().filter(|state| **state == Readiness::Draining).count())
    }

    /// Sets the servers that the fleet drains; returns entries for those whose state changed.
    pub fn set_drained(&mut self, drained: &BTreeSet<String>) -> Vec<ServerEntry> {
        let previous = std::mem::replace(&mut self.drained, drained.clone());
        let changed = previous.symmetric_difference(drained).filter_map(|name| self.by_name.get(name));
        let running = changed.filter(|known| known.entry.state == Readiness::Running);
        running.map(|known| self.listed(known)).collect()
    }

    fn listed(&self, known: &KnownServer) -> ServerEntry {
        let state = self.effective_state(&known.entry);
        ServerEntry { server: known.server, state, pool: known.entry.pool, started_at: known.started }
    }

    /// The server listed last at an address.
    pub fn server_at(&self, address: SocketAddr) -> Option<Server> {
        self.by_address.get(&address).copied()
    }

    /// The server's current generation, by which proxies refer to it. Name and start time distinguish it from
    /// an earlier process and from another machine at the same address.
    pub fn generation(&self, server: Server) -> Option<Generation> {
        let known = self.by_name.get(self.name(server))?;
        let mut hasher = SipHasher13::new();
        hasher.write(known.entry.name.as_bytes());
        Some(Generation { server: hasher.finish(), started: known.entry.started.unwrap_or(0.0) as u64 })
    }

    /// All servers ever listed, in order of their indices.
    pub fn servers(&self) -> impl Iterator<Item = Server> {
        (0..self.names.len() as u32).map(Server)
    }

    /// Applies an update and returns the changed entries. `now` is the proxy's clock and `unix` the wall
    /// clock, both in milliseconds.
    pub fn apply(
        &mut self,
        updates: &PoolUpdates,
        now: f64,
        unix: f64,
    ) -> Result<Vec<ServerEntry>, PoolListError> {
        if !updates.whole {
            let last = self.version.ok_or(PoolListError::MissingFullList(updates.version))?;
            if updates.version != last + 1 {
                return Err(PoolListError::VersionGap { last, found: updates.version });
            }
        }
        self.version = Some(updates.version);
        if updates.whole {
            for known in self.by_name.values_mut() {
                known.entry.state = Readiness::Gone;
            }
        }
        Ok(updates.servers.iter().map(|entry| self.apply_entry(entry, now, unix)).collect())
    }

    fn apply_entry(&mut self, entry: &PoolEntry, now: f64, unix: f64) -> ServerEntry {
        let local_time = |started: f64| now - (unix - started).max(0.0);
        let known = self.by_name.entry(entry.name.clone()).or_insert_with(|| {
            self.names.push(entry.name.clone());
            self.addresses.push(entry.address);
            let server = Server(self.names.len() as u32 - 1);
            KnownServer { entry: entry.clone(), server, started: entry.started.map(local_time) }
        });
        if known.entry.started != entry.started {
            known.started = entry.started.map(local_time);
        }
        known.entry = entry.clone();
        self.addresses[known.server.0 as usize] = entry.address;
        if entry.state != Readiness::Gone {
            self.by_address.insert(entry.address, known.server);
        }
        self.listed(&self.by_name[&entry.name])
    }

    /// The list in its cached format: a line with a checksum, then the update that restores it.
    pub fn to_cache(&self) -> String {
        let servers = self.by_name.values().map(|known| known.entry.clone());
        let servers = servers.filter(|entry| entry.state != Readiness::Gone).collect();
        let body = PoolUpdates { version: self.version.unwrap_or(0), whole: true, servers }.write();
        format!("frostthread-pool 1 {:08x}\n{body}", crc32fast::hash(body.as_bytes()))
    }

    /// Reads the update from a cached list, if it is complete and undamaged.
    pub fn from_cache(text: &str) -> Result<PoolUpdates, PoolListError> {
        let (header, body) =
            text.split_once('\n').ok_or(PoolListError::Cache("its first line is missing"))?;
        let sum = header
            .strip_prefix("frostthread-pool 1 ")
            .ok_or(PoolListError::Cache("unknown format or version"))?;
        if u32::from_str_radix(sum, 16) != Ok(crc32fast::hash(body.as_bytes())) {
            return Err(PoolListError::Cache("its checksum does not match"));
        }
        PoolUpdates::read(body)
    }
}
