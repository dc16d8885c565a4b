//! The clocks of a running proxy: [`Clock`] only goes forward, [`unix`] may step.

use std::time::{Instant, SystemTime};

/// The proxy's clock: milliseconds since it started.
pub struct Clock(pub Instant);

impl Clock {
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// Below 0 before the start.
    pub fn at(&self, then: Instant) -> f64 {
        let before = self.0.saturating_duration_since(then).as_secs_f64();
        (then.saturating_duration_since(self.0).as_secs_f64() - before) * 1000.0
    }
}

/// Milliseconds of Unix time.
pub fn unix() -> f64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0.0, |span| span.as_secs_f64() * 1000.0)
}
