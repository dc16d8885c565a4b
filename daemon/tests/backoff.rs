//! The backoff before a failed connection is tried again.

use daemon::backoff::Backoff;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[test]
fn waits_grow_to_the_maximum_and_are_spread() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let waits: Vec<f64> = {
        let mut backoff = Backoff::new(100.0, 5_000.0);
        (0..12).map(|_| backoff.next_wait(&mut rng)).collect()
    };
    assert!(waits.iter().zip(0..).all(|(&wait, i)| wait <= (100.0 * 2f64.powi(i)).min(5_000.0)), "{waits:?}");
    assert!(waits.iter().all(|&wait| wait >= 10.0));
    let first_waits: Vec<f64> = (0..100).map(|_| Backoff::new(100.0, 5_000.0).next_wait(&mut rng)).collect();
    let below = first_waits.iter().filter(|&&wait| wait < 55.0).count();
    assert!((30..70).contains(&below), "proxies that lost their connections at once do not return together");
}

#[test]
fn a_connection_that_fails_at_once_does_not_reset_the_backoff() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut backoff = Backoff::new(100.0, 5_000.0);
    (0..8).for_each(|_| {
        backoff.next_wait(&mut rng);
        backoff.record_lifetime(20.0);
    });
    assert!(backoff.next_wait(&mut rng) >= 500.0);
    backoff.record_lifetime(5_000.0);
    assert!(backoff.next_wait(&mut rng) <= 100.0);
}
