//! The pool list: what is true, and what each proxy has been told of it, late.

use std::collections::{BTreeMap, VecDeque};

use border::pool::{PoolEntry, PoolUpdates, Readiness};

/// What one proxy has been told.
#[derive(Default)]
struct Told {
    version: u64,
    servers: BTreeMap<String, PoolEntry>,
    /// Changes on their way, in order.
    coming: VecDeque<(f64, u64, PoolEntry)>,
}

/// The feed of all proxies of a drill.
pub struct Feed {
    version: u64,
    told: Vec<Told>,
}

impl Feed {
    pub fn new(proxies: usize, entries: &[PoolEntry]) -> Self {
        let servers: BTreeMap<String, PoolEntry> =
            entries.iter().map(|e| (e.name.clone(), e.clone())).collect();
        let told = || Told { version: 1, servers: servers.clone(), coming: VecDeque::new() };
        Self { version: 1, told: (0..proxies).map(|_| told()).collect() }
    }

    /// A server's entry changes; `at` says when each proxy hears of it. Changes come in order.
    pub fn change(&mut self, entry: &PoolEntry, mut at: impl FnMut(usize) -> f64) {
        self.version += 1;
        for (proxy, told) in self.told.iter_mut().enumerate() {
            let after = told.coming.back().map_or(0.0, |last| last.0);
            told.coming.push_back((at(proxy).max(after), self.version, entry.clone()));
        }
    }

    /// When the next change reaches a proxy.
    pub fn due(&self) -> f64 {
        let first = self.told.iter().filter_map(|told| told.coming.front());
        first.map(|change| change.0).fold(f64::INFINITY, f64::min)
    }

    /// The changes that reach proxies by now.
    pub fn deliver(&mut self, now: f64) -> Vec<(usize, PoolUpdates)> {
        let mut news = Vec::new();
        for (proxy, told) in self.told.iter_mut().enumerate() {
            while let Some((_, version, entry)) = told.coming.pop_front_if(|change| change.0 <= now) {
                told.version = version;
                if entry.state == Readiness::Gone {
                    told.servers.remove(&entry.name);
                } else {
                    told.servers.insert(entry.name.clone(), entry.clone());
                }
                news.push((proxy, PoolUpdates { version, whole: false, servers: vec![entry] }));
            }
        }
        news
    }

    /// The whole list as the proxy has been told it.
    pub fn whole(&self, proxy: usize) -> PoolUpdates {
        let told = &self.told[proxy];
        PoolUpdates { version: told.version, whole: true, servers: told.servers.values().cloned().collect() }
    }
}
