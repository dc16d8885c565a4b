//! The pool list: its changes, and what each proxy has received of them after a delay.

use std::collections::{BTreeMap, VecDeque};

use border::pool::{PoolEntry, PoolUpdates, Readiness};

/// What one proxy has received.
#[derive(Default)]
struct ProxyView {
    version: u64,
    servers: BTreeMap<String, PoolEntry>,
    /// Changes not yet delivered, in order.
    pending: VecDeque<(f64, u64, PoolEntry)>,
}

/// The list feeds of all proxies of a drill.
pub struct Feed {
    version: u64,
    views: Vec<ProxyView>,
}

impl Feed {
    pub fn new(proxies: usize, entries: &[PoolEntry]) -> Self {
        let servers: BTreeMap<String, PoolEntry> =
            entries.iter().map(|e| (e.name.clone(), e.clone())).collect();
        let view = || ProxyView { version: 1, servers: servers.clone(), pending: VecDeque::new() };
        Self { version: 1, views: (0..proxies).map(|_| view()).collect() }
    }

    /// Changes a server's entry; `deliver_at` gives the time when each proxy receives it. Changes arrive in
    /// order.
    pub fn change(&mut self, entry: &PoolEntry, mut deliver_at: impl FnMut(usize) -> f64) {
        self.version += 1;
        for (proxy, view) in self.views.iter_mut().enumerate() {
            let earliest = view.pending.back().map_or(0.0, |last| last.0);
            view.pending.push_back((deliver_at(proxy).max(earliest), self.version, entry.clone()));
        }
    }

    /// When the next change reaches a proxy.
    pub fn due(&self) -> f64 {
        let first = self.views.iter().filter_map(|view| view.pending.front());
        first.map(|change| change.0).fold(f64::INFINITY, f64::min)
    }

    /// Takes the changes that have reached proxies by now.
    pub fn deliver(&mut self, now: f64) -> Vec<(usize, PoolUpdates)> {
        let mut updates = Vec::new();
        for (proxy, view) in self.views.iter_mut().enumerate() {
            while let Some((_, version, entry)) = view.pending.pop_front_if(|change| change.0 <= now) {
                view.version = version;
                if entry.state == Readiness::Gone {
                    view.servers.remove(&entry.name);
                } else {
                    view.servers.insert(entry.name.clone(), entry.clone());
                }
                updates.push((proxy, PoolUpdates { version, whole: false, servers: vec![entry] }));
            }
        }
        updates
    }

    /// The whole list as the proxy has received it.
    pub fn whole(&self, proxy: usize) -> PoolUpdates {
        let view = &self.views[proxy];
        PoolUpdates { version: view.version, whole: true, servers: view.servers.values().cloned().collect() }
    }
}
