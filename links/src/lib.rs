//! Links between members under a virtual clock: what is sent comes later, twice, or never. [`Links::send`]
//! puts something on its way, [`Links::next_arrival`] gives what has come by a time. The same seed gives the same
//! order.

#![forbid(unsafe_code)]

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A member, by its place.
pub type NodeIndex = usize;

/// All links there are, and what is on its way.
#[derive(Clone, Debug)]
pub struct Links<T> {
    /// Shares of what is sent that are lost, and that come twice.
    pub loss: f64,
    pub duplication: f64,
    /// The longest that anything is on its way, in milliseconds.
    pub max_delay: f64,
    cut: BTreeSet<(NodeIndex, NodeIndex)>,
    in_flight: BTreeMap<(u64, u64), (NodeIndex, NodeIndex, T)>,
    sequence: u64,
    /// What was sent, cut or lost with the rest.
    pub messages: u64,
    rng: Pcg64Mcg,
}

impl<T: Clone> Links<T> {
    pub fn new(max_delay: f64, seed: u64) -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            max_delay,
            cut: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            messages: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// One way: what the ones say does not reach the others any more, or again.
    pub fn cut(&mut self, from: &[NodeIndex], to: &[NodeIndex], cut: bool) {
        for link in from.iter().flat_map(|&from| to.iter().map(move |&to| (from, to))) {
            if cut {
                self.cut.insert(link)
            } else {
                self.cut.remove(&link)
            };
        }
    }

    /// Both ways.
    pub fn partition(&mut self, left: &[NodeIndex], right: &[NodeIndex]) {
        self.cut(left, right, true);
        self.cut(right, left, true);
    }

    /// All links are whole again; what was lost stays so.
    pub fn heal(&mut self) {
        self.cut.clear();
        (self.loss, self.duplication) = (0.0, 0.0);
    }

    pub fn is_cut(&self, from: NodeIndex, to: NodeIndex) -> bool {
        self.cut.contains(&(from, to))
    }

    pub fn send(&mut self, now: f64, from: NodeIndex, to: NodeIndex, message: T) {
        self.messages += 1;
        if self.is_cut(from, to) || self.rng.random::<f64>() < self.loss {
            return;
        }
        let copies = if self.rng.random::<f64>() < self.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let arrives_at = now + self.max_delay * self.rng.random::<f64>();
            self.sequence += 1;
            // Whole microseconds keep the order and can be compared.
            self.in_flight.insert(((arrives_at * 1000.0) as u64, self.sequence), (from, to, message.clone()));
        }
    }

    /// The next that has come by now.
    pub fn next_arrival(&mut self, now: f64) -> Option<(NodeIndex, NodeIndex, T)> {
        let first = self.in_flight.first_entry().filter(|entry| entry.key().0 as f64 / 1000.0 <= now)?;
        Some(first.remove())
    }
}
