//! When a connection that broke is tried again: one way for all that the program keeps. No I/O.
//!
//! [`Backoff::next_wait`] gives the wait before the next try: drawn evenly up to a bound that doubles with each
//! failure in a row, so that many proxies that lost the same peer at once come back spread out.
//! [`Backoff::record_lifetime`] takes back the growth, but only for a connection that lived longer than its longest
//! gap: one that is accepted and dropped at once counts as another failure.

use rand::Rng;

/// The first bound and the longest, in milliseconds, of a connection that has no wishes of its own.
const FIRST_MS: f64 = 100.0;
const MAX_MS: f64 = 5_000.0;

/// The waits of one connection, in milliseconds.
#[derive(Clone, Debug)]
pub struct Backoff {
    first_ms: f64,
    max_ms: f64,
    failures: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new(FIRST_MS, MAX_MS)
    }
}

impl Backoff {
    pub fn new(first_ms: f64, max_ms: f64) -> Self {
        Self { first_ms, max_ms: max_ms.max(first_ms), failures: 0 }
    }

    /// The wait before the next try.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> f64 {
        let bound = (self.first_ms * 2f64.powi(self.failures.min(60) as i32)).min(self.max_ms);
        self.failures = self.failures.saturating_add(1);
        // Never at once: a peer that refuses in no time is not asked without end.
        bound * (0.1 + 0.9 * rng.random::<f64>())
    }

    /// The connection stood for so long before it broke.
    pub fn record_lifetime(&mut self, lifetime_ms: f64) {
        if lifetime_ms >= self.max_ms {
            self.failures = 0;
        }
    }
}
