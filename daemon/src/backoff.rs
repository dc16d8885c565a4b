//! The backoff before a failed connection is tried again, for all connections of the program. No I/O.
//!
//! [`Backoff::next_wait`] returns the wait before the next try, drawn uniformly up to a bound that doubles
//! with each failure in a row, so that many proxies that lost the same peer at once return spread out.
//! [`Backoff::record_lifetime`] resets the bound, but only for a connection that lived at least as long as
//! the maximum wait: one that is accepted and dropped at once counts as another failure.

use rand::Rng;

/// The default first and maximum bounds of the wait, in milliseconds.
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
    /// Creates a backoff whose bound grows from `first_ms` to `max_ms`.
    pub fn new(first_ms: f64, max_ms: f64) -> Self {
        Self { first_ms, max_ms: max_ms.max(first_ms), failures: 0 }
    }

    /// Returns the wait before the next try, in milliseconds, and counts a failure.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> f64 {
        let bound = (self.first_ms * 2f64.powi(self.failures.min(60) as i32)).min(self.max_ms);
        self.failures = self.failures.saturating_add(1);
        // At least a tenth of the bound, so that a peer that refuses at once is not tried in a tight loop.
        bound * (0.1 + 0.9 * rng.random::<f64>())
    }

    /// Records how long the connection lived before it failed, in milliseconds.
    pub fn record_lifetime(&mut self, lifetime_ms: f64) {
        if lifetime_ms >= self.max_ms {
            self.failures = 0;
        }
    }
}
