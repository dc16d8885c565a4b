//! A budget that fills up with time: a token bucket.

/// So much a second may be used, and what was not used is kept for a while.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    tokens_per_second: f64,
    capacity: f64,
    tokens: f64,
    updated_at: f64,
}

impl TokenBucket {
    /// A full one: `tokens_per_second` units come each second, up to `capacity`.
    pub fn new(tokens_per_second: f64, capacity: f64, now: f64) -> Self {
        Self { tokens_per_second, capacity, tokens: capacity, updated_at: now }
    }

    fn fill(&mut self, now: f64) {
        let refill = (now - self.updated_at).max(0.0) / 1000.0 * self.tokens_per_second;
        (self.tokens, self.updated_at) =
            ((self.tokens + refill).min(self.capacity), self.updated_at.max(now));
    }

    /// What may be used now; less than nothing where more was used than there was.
    pub fn available(&mut self, now: f64) -> f64 {
        self.fill(now);
        self.tokens
    }

    /// The part of the capacity that was left when it was last looked at.
    pub fn fraction_left(&self) -> f64 {
        self.tokens / self.capacity
    }

    /// Uses so much, also where there is less: the rest comes off what is to come.
    pub fn spend(&mut self, now: f64, units: f64) {
        self.fill(now);
        self.tokens -= units;
    }

    /// Uses so much if there is as much.
    pub fn try_spend(&mut self, now: f64, units: f64) -> bool {
        let enough = self.available(now) >= units;
        if enough {
            self.tokens -= units;
        }
        enough
    }

    /// When there will be as much, as things stand.
    pub fn available_at(&self, units: f64) -> f64 {
        let shortfall = units.min(self.capacity) - self.tokens;
        self.updated_at + shortfall.max(0.0) / self.tokens_per_second * 1000.0
    }
}
