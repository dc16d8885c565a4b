//! Simulated network links between members on a virtual clock: messages arrive late, twice, or never.
//! [`Links::send`] sends a message, [`Links::next_arrival`] returns what has arrived. The same seed gives the
//! same order.

#![forbid(unsafe_code)]

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A member, by its index.
pub type NodeIndex = usize;

/// All links between members, and the messages in flight.
#[derive(Clone, Debug)]
pub struct Links<T> {
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Fraction of messages that arrive twice.
    pub duplication: f64,
    /// Maximum transit time of a message, in milliseconds.
    pub max_delay: f64,
    cut: BTreeSet<(NodeIndex, NodeIndex)>,
    in_flight: BTreeMap<(u64, u64), (NodeIndex, NodeIndex, T)>,
    sequence: u64,
    /// Number of messages sent, including those that were cut off or lost.
    pub messages: u64,
    rng: Pcg64Mcg,
}

impl<T: Clone> Links<T> {
    /// Creates links without faults; `max_delay` is in milliseconds.
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

    /// Cuts, or restores, the links from some members to others in one direction.
    pub fn cut(&mut self, from: &[NodeIndex], to: &[NodeIndex], cut: bool) {
        for link in from.iter().flat_map(|&from| to.iter().map(move |&to| (from, to))) {
            if cut {
                self.cut.insert(link)
            } else {
                self.cut.remove(&link)
            };
        }
    }

    /// Cuts the links between two groups in both directions.
    pub fn partition(&mut self, left: &[NodeIndex], right: &[NodeIndex]) {
        self.cut(left, right, true);
        self.cut(right, left, true);
    }

    /// Restores all links and ends losses and duplication. Messages already lost stay lost.
    pub fn heal(&mut self) {
        self.cut.clear();
        (self.loss, self.duplication) = (0.0, 0.0);
    }

    /// Whether messages in this direction are cut off.
    pub fn is_cut(&self, from: NodeIndex, to: NodeIndex) -> bool {
        self.cut.contains(&(from, to))
    }

    /// Sends a message, which may be cut off, lost or duplicated.
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

    /// The next message that has arrived by now, with its sender and its receiver.
    pub fn next_arrival(&mut self, now: f64) -> Option<(NodeIndex, NodeIndex, T)> {
        let first = self.in_flight.first_entry().filter(|entry| entry.key().0 as f64 / 1000.0 <= now)?;
        Some(first.remove())
    }
}
