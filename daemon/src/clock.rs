//! The clocks of a running proxy: [`Clock`] is monotonic, [`unix_ms`] may step.

use std::time::{Instant, SystemTime};

/// The proxy's monotonic clock, in milliseconds since it started.
pub struct Clock(pub Instant);

impl Clock {
    /// Returns the time now.
    pub fn now(&self) -> f64 {
        self.elapsed_at(Instant::now())
    }

    /// Returns the time of an instant; negative before the start.
    pub fn elapsed_at(&self, instant: Instant) -> f64 {
        let before_start = self.0.saturating_duration_since(instant).as_secs_f64();
        (instant.saturating_duration_since(self.0).as_secs_f64() - before_start) * 1000.0
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0.0, |since_epoch| since_epoch.as_secs_f64() * 1000.0)
}
