//! Divides a hard cap of bytes per second among background work by priority: a token bucket that knows
//! nothing about gossip.
//!
//! Call [`Budget::try_spend`] before each piece of work; refused work waits for a later turn. Any one second,
//! wherever it begins, holds at most the cap: the bucket holds `BURST_FRACTION` of the cap and refills at
//! less than the remaining rate, so that packets which bunch up a little in transit do not exceed it either.

/// Fraction of the cap that can be spent at once.
const BURST_FRACTION: f64 = 0.2;
/// Fraction of the cap that is refilled per second. With the burst it makes 0.95 of the cap: bytes sent
/// within 1.07 s may arrive within one.
const FILL_FRACTION: f64 = 0.75;

/// What the work is for, most urgent first. Each priority may spend only while a given fraction of the bucket
/// is left, so that less urgent work cannot starve more urgent work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Answers that a peer waits for.
    Answer,
    /// Updates that change a decision here or at one other member.
    Update,
    /// Regular probes, which also carry updates. With a lower priority than [`Priority::Spread`] they starved
    /// while there were many updates.
    Probe,
    /// Updates pushed to random members.
    Spread,
    /// Repair of losses over a longer time.
    Repair,
}

impl Priority {
    /// Fraction of a full bucket that must be left for more urgent work.
    fn reserve(self) -> f64 {
        match self {
            Self::Answer => 0.0,
            Self::Update => 0.1,
            Self::Probe => 0.1,
            Self::Spread => 0.2,
            Self::Repair => 0.5,
        }
    }
}

/// A token bucket of bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_second: f64,
    level: f64,
    refilled_at: f64,
    refused: u64,
}

impl Budget {
    /// Creates a full bucket; `bytes_per_second` is the cap.
    pub fn new(bytes_per_second: f64, now: f64) -> Self {
        Self { bytes_per_second, level: bytes_per_second * BURST_FRACTION, refilled_at: now, refused: 0 }
    }

    fn refill(&mut self, now: f64) {
        let passed = (now - self.refilled_at).max(0.0) / 1000.0;
        self.level = (self.level + passed * self.bytes_per_second * FILL_FRACTION)
            .min(self.bytes_per_second * BURST_FRACTION);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Spends the bytes if enough are left for this priority, else none. Returns whether they were spent.
    pub fn try_spend(&mut self, now: f64, bytes: usize, priority: Priority) -> bool {
        self.refill(now);
        let remaining = self.level - bytes as f64;
        let granted = remaining >= self.bytes_per_second * BURST_FRACTION * priority.reserve();
        if granted {
            self.level = remaining;
        } else {
            self.refused += 1;
        }
        granted
    }

    /// How often work was refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
