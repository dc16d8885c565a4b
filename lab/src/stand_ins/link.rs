//! The link: loses, duplicates, delays and reorders datagrams at random, by seed.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::drill::LinkFaults;

/// Largest extra delay of a reordered datagram.
const MAX_REORDER_DELAY_MS: f64 = 25.0;
/// Delay on the link, and its largest variation.
const BASE_DELAY_MS: f64 = 1.0;
const JITTER_MS: f64 = 1.0;

/// A link with faults.
pub struct Link {
    faults: LinkFaults,
    rng: Pcg64Mcg,
}

impl Link {
    pub fn new(faults: LinkFaults, rng: Pcg64Mcg) -> Self {
        Self { faults, rng }
    }

    /// Arrival times of the copies of a datagram sent now: none, one or two.
    pub fn pass(&mut self, now: f64) -> impl Iterator<Item = f64> + use<> {
        let LinkFaults { loss, double, reorder } = self.faults;
        let copies = match self.rng.random::<f64>() {
            x if x < loss => 0,
            x if x < loss + double => 2,
            _ => 1,
        };
        let mut at = [0.0; 2];
        for at in &mut at[..copies] {
            *at = now + BASE_DELAY_MS + JITTER_MS * self.rng.random::<f64>();
            if self.rng.random::<f64>() < reorder {
                *at += MAX_REORDER_DELAY_MS * self.rng.random::<f64>();
            }
        }
        at.into_iter().take(copies)
    }
}
