//! Shares out a hard cap of bytes a second among background work by priority. Nothing in it is about gossip.
//!
//! Ask [`Budget::try_spend`] before each piece of work; what is refused waits for a later beat. Any one second,
//! wherever it begins, holds at most the cap: the bucket holds [`BURST_FRACTION`] of it and fills with less than the
//! rest, so that packets which bunch up a little on their way do not break it either.

/// The part of the cap that can be spent at once.
const BURST_FRACTION: f64 = 0.2;
/// The part of the cap that comes in each second. With the burst it makes up 0.95 of the cap: what is sent
/// within 1.07 s may be seen within one.
const FILL_FRACTION: f64 = 0.75;

/// What the work is for; the first goes first. Each may only spend while so much of the bucket is left, so
/// that the less urgent cannot starve the more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Answers that somebody waits for.
    Answer,
    /// What changes a decision here or at one other.
    Update,
    /// The regular look at others, which carries news along. Behind what only spreads news it starved while
    /// much was new.
    Probe,
    /// News pushed to any others.
    Spread,
    /// What repairs losses over a longer time.
    Repair,
}

impl Priority {
    /// The part of a full bucket that must be left for more urgent work.
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

/// A bucket of bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_second: f64,
    level: f64,
    refilled_at: f64,
    refused: u64,
}

impl Budget {
    /// `cap` is in bytes a second.
    pub fn new(bytes_per_second: f64, now: f64) -> Self {
        Self { bytes_per_second, level: bytes_per_second * BURST_FRACTION, refilled_at: now, refused: 0 }
    }

    fn refill(&mut self, now: f64) {
        let passed = (now - self.refilled_at).max(0.0) / 1000.0;
        self.level = (self.level + passed * self.bytes_per_second * FILL_FRACTION)
            .min(self.bytes_per_second * BURST_FRACTION);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes so many bytes, or none.
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
