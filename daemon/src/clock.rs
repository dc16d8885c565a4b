//! The clocks of a running proxy: [`Clock`] only goes forward, [`unix_ms`] may step.

use std::time::{Instant, SystemTime};

/// The proxy's clock: milliseconds since it started.
pub struct Clock(pub Instant);

impl Clock {
    pub fn now(&self) -> f64 {
        self.elapsed_at(Instant::now())
    }

    /// Below 0 before the start.
    pub fn elapsed_at(&self, instant: Instant) -> f64 {
        let before_start = self.0.saturating_duration_since(instant).as_secs_f64();
        (instant.saturating_duration_since(self.0).as_secs_f64() - before_start) * 1000.0
    }
}

/// Milliseconds of Unix time.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0.0, |since_epoch| since_epoch.as_secs_f64() * 1000.0)
}
