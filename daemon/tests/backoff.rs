//! The wait before a connection that broke is tried again.

use daemon::backoff::Backoff;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[test]
fn gaps_grow_to_the_longest_and_are_spread() {
    let mut chance = Pcg64Mcg::seed_from_u64(1);
    let gaps: Vec<f64> = {
        let mut backoff = Backoff::new(100.0, 5_000.0);
        (0..12).map(|_| backoff.gap(&mut chance)).collect()
    };
    assert!(gaps.iter().zip(0..).all(|(&gap, i)| gap <= (100.0 * 2f64.powi(i)).min(5_000.0)), "{gaps:?}");
    assert!(gaps.iter().all(|&gap| gap >= 10.0));
    let firsts: Vec<f64> = (0..100).map(|_| Backoff::new(100.0, 5_000.0).gap(&mut chance)).collect();
    let below = firsts.iter().filter(|&&gap| gap < 55.0).count();
    assert!((30..70).contains(&below), "a fleet that broke off at one moment does not return together");
}

#[test]
fn a_connection_that_breaks_at_once_does_not_start_over() {
    let mut chance = Pcg64Mcg::seed_from_u64(2);
    let mut backoff = Backoff::new(100.0, 5_000.0);
    (0..8).for_each(|_| {
        backoff.gap(&mut chance);
        backoff.lived(20.0);
    });
    assert!(backoff.gap(&mut chance) >= 500.0);
    backoff.lived(5_000.0);
    assert!(backoff.gap(&mut chance) <= 100.0);
}
