//! When a connection that broke is tried again: one way for all that the program keeps. No I/O.
//!
//! [`Again::gap`] gives the wait before the next try: drawn evenly up to a bound that doubles with each
//! failure in a row, so that many proxies that lost the same peer at once come back spread out.
//! [`Again::lived`] takes back the growth, but only for a connection that lived longer than its longest
//! gap: one that is accepted and dropped at once counts as another failure.

use rand::Rng;

/// The first bound and the longest, in milliseconds, of a connection that has no wishes of its own.
const FIRST: f64 = 100.0;
const LONGEST: f64 = 5_000.0;

/// The waits of one connection, in milliseconds.
#[derive(Clone, Debug)]
pub struct Again {
    first: f64,
    longest: f64,
    failures: u32,
}

impl Default for Again {
    fn default() -> Self {
        Self::new(FIRST, LONGEST)
    }
}

impl Again {
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

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_pcg::Pcg64Mcg;

    #[test]
    fn gaps_grow_to_the_longest_and_are_spread() {
        let mut chance = Pcg64Mcg::seed_from_u64(1);
        let gaps: Vec<f64> = {
            let mut again = Again::new(100.0, 5_000.0);
            (0..12).map(|_| again.gap(&mut chance)).collect()
        };
        assert!(gaps.iter().zip(0..).all(|(&gap, i)| gap <= (100.0 * 2f64.powi(i)).min(5_000.0)), "{gaps:?}");
        assert!(gaps.iter().all(|&gap| gap >= 10.0));
        let firsts: Vec<f64> = (0..100).map(|_| Again::new(100.0, 5_000.0).gap(&mut chance)).collect();
        let below = firsts.iter().filter(|&&gap| gap < 55.0).count();
        assert!((30..70).contains(&below), "a fleet that broke off at one moment does not return together");
    }

    #[test]
    fn a_connection_that_breaks_at_once_does_not_start_over() {
        let mut chance = Pcg64Mcg::seed_from_u64(2);
        let mut again = Again::new(100.0, 5_000.0);
        (0..8).for_each(|_| {
            again.gap(&mut chance);
            again.lived(20.0);
        });
        assert!(again.gap(&mut chance) >= 500.0);
        again.lived(5_000.0);
        assert!(again.gap(&mut chance) <= 100.0);
    }
}
