//! When a connection that broke is tried again: one way for all that the program keeps. No I/O.
//!
//! [`Backoff::gap`] gives the wait before the next try: drawn evenly up to a bound that doubles with each
//! failure in a row, so that many proxies that lost the same peer at once come back spread out.
//! [`Backoff::lived`] takes back the growth, but only for a connection that lived longer than its longest
//! gap: one that is accepted and dropped at once counts as another failure.

use rand::Rng;

/// The first bound and the longest, in milliseconds, of a connection that has no wishes of its own.
const FIRST: f64 = 100.0;
const LONGEST: f64 = 5_000.0;

/// The waits of one connection, in milliseconds.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: f64,
    longest: f64,
    failures: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new(FIRST, LONGEST)
    }
}

impl Backoff {
    pub fn new(first: f64, longest: f64) -> Self {
        Self { first, longest: longest.max(first), failures: 0 }
    }

    /// The wait before the next try.
    pub fn gap(&mut self, chance: &mut impl Rng) -> f64 {
        let bound = (self.first * 2f64.powi(self.failures.min(60) as i32)).min(self.longest);
        self.failures = self.failures.saturating_add(1);
        // Never at once: a peer that refuses in no time is not asked without end.
        bound * (0.1 + 0.9 * chance.random::<f64>())
    }

    /// The connection stood for so long before it broke.
    pub fn lived(&mut self, span: f64) {
        if span >= self.longest {
            self.failures = 0;
        }
    }
}
