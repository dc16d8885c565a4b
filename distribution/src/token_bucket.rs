//! A token bucket.

/// A token bucket: tokens are added at a constant rate, up to a capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    tokens_per_second: f64,
    capacity: f64,
    tokens: f64,
    updated_at: f64,
}

impl TokenBucket {
    /// Creates a full bucket to which `tokens_per_second` are added, up to `capacity`. Times are in
    /// milliseconds.
    pub fn new(tokens_per_second: f64, capacity: f64, now: f64) -> Self {
        Self { tokens_per_second, capacity, tokens: capacity, updated_at: now }
    }

    fn fill(&mut self, now: f64) {
        let refill = (now - self.updated_at).max(0.0) / 1000.0 * self.tokens_per_second;
        (self.tokens, self.updated_at) =
            ((self.tokens + refill).min(self.capacity), self.updated_at.max(now));
    }

    /// Tokens available now; negative if more were spent than there were.
    pub fn available(&mut self, now: f64) -> f64 {
        self.fill(now);
        self.tokens
    }

    /// The fraction of the capacity that was available at the last update.
    pub fn fraction_left(&self) -> f64 {
        self.tokens / self.capacity
    }

    /// Spends tokens even if there are fewer; the debt is paid from later ones.
    pub fn spend(&mut self, now: f64, units: f64) {
        self.fill(now);
        self.tokens -= units;
    }

    /// Spends tokens if there are enough; returns whether there were.
    pub fn try_spend(&mut self, now: f64, units: f64) -> bool {
        let enough = self.available(now) >= units;
        if enough {
            self.tokens -= units;
        }
        enough
    }

    /// When that many tokens will be available if none are spent, in milliseconds.
    pub fn available_at(&self, units: f64) -> f64 {
        let shortfall = units.min(self.capacity) - self.tokens;
        self.updated_at + shortfall.max(0.0) / self.tokens_per_second * 1000.0
    }
}
