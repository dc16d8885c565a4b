//! Fleet limits: five processes keep one limit together while links between them fail and processes are
//! killed, stopped and started again. The limit is checked at the central server's socket.

mod cluster;

use std::sync::atomic::Ordering;
use std::time::Duration;

use cluster::{Cluster, PROXIES};

/// The limit: set-ups over all proxies in any window of [`WINDOW_MS`].
const PERMITS: usize = 10;
const WINDOW_MS: f64 = 500.0;
const LEASE: Duration = Duration::from_millis(800);
/// How much later one datagram may be handled than another, on a busy machine.
const SPREAD_MS: f64 = 400.0;

fn start_cluster() -> Cluster {
    let table = format!(
        "[fleet]\nwindow = \"{WINDOW_MS} ms\"\nbeat = \"40 ms\"\nlease = \"{} ms\"\nspread = \"{SPREAD_MS} ms\"\n\
         floor = 0.0\nmost = {}\n",
        LEASE.as_millis(),
        PERMITS as f64 * 1000.0 / WINDOW_MS,
    );
    let cluster = Cluster::new(1, &table);
    // Waits until permits lent by earlier processes would have expired, and all proxies know each other.
    cluster.sleep(LEASE.as_secs_f64() * 1000.0 + WINDOW_MS + SPREAD_MS + 500.0);
    cluster
}

/// Asserts that the central server received at most [`PERMITS`] set-ups in any window.
fn assert_limit_holds(cluster: &Cluster) {
    let set_ups = cluster.set_ups.lock().expect("whole");
    assert!(set_ups.len() > 2 * PERMITS, "too few set-ups for a check: {}", set_ups.len());
    assert!(cluster.switch.bytes.load(Ordering::Relaxed) > 0, "packets passed the switch");
    for (i, (at, ..)) in set_ups.iter().enumerate() {
        let in_window: Vec<_> = set_ups[..=i].iter().filter(|(then, ..)| *then > at - WINDOW_MS).collect();
        assert!(
            in_window.len() <= PERMITS,
            "{} set-ups in the window that ends at {at}: {in_window:?}",
            in_window.len()
        );
    }
}

fn limits_at(cluster: &Cluster, proxy: usize) -> serde_json::Value {
    cluster.query(proxy, &["limits"])
}

#[test]
fn a_proxy_with_all_the_demand_borrows_the_others_permits_then_another_does() {
    let cluster = start_cluster();
    cluster.set_demand([60.0, 0.0, 0.0, 0.0, 0.0]);
    cluster.sleep(2500.0);
    let since = cluster.now();
    cluster.sleep(2000.0);
    let limits = limits_at(&cluster, 0);
    let (own, borrowed) = (&limits["limits"][0]["part"], &limits["limits"][0]["borrowed"]);
    assert_eq!(own.as_u64(), Some((PERMITS / PROXIES) as u64), "{limits}");
    assert!(borrowed.as_u64() > Some(2), "{limits}");
    // Its own permits alone would allow four in two seconds, with the waits between attempts.
    assert!(cluster.set_ups_since(since) >= 9, "{} in two seconds: {limits}", cluster.set_ups_since(since));
    eprintln!("{} in two seconds: {limits}", cluster.set_ups_since(since));
    cluster.set_demand([0.0, 0.0, 0.0, 60.0, 0.0]);
    cluster.sleep(3000.0);
    let since = cluster.now();
    cluster.sleep(2000.0);
    let all: Vec<_> = (0..PROXIES).map(|proxy| limits_at(&cluster, proxy)).collect();
    assert!(
        cluster.set_ups_since(since) >= 9,
        "{} in two seconds elsewhere: {all:?}",
        cluster.set_ups_since(since)
    );
    assert_limit_holds(&cluster);
}

#[test]
fn separated_halves_keep_the_limit_and_recover() {
    let cluster = start_cluster();
    cluster.set_demand([60.0, 0.0, 60.0, 0.0, 10.0]);
    cluster.sleep(1500.0);
    cluster.set_cut(&[0, 1], &[2, 3, 4], true);
    cluster.set_cut(&[2, 3, 4], &[0, 1], true);
    cluster.sleep(2500.0);
    cluster.set_cut(&[0, 1], &[2, 3, 4], false);
    // Cut in one direction only, with losses.
    cluster.switch.loss_percent.store(30, Ordering::Relaxed);
    cluster.sleep(1500.0);
    cluster.set_cut(&[2, 3, 4], &[0, 1], false);
    cluster.sleep(1500.0);
    assert_limit_holds(&cluster);
}

#[test]
fn lenders_and_borrowers_that_restart_do_not_exceed_the_limit() {
    let mut cluster = start_cluster();
    cluster.set_demand([60.0, 0.0, 0.0, 0.0, 0.0]);
    cluster.sleep(1500.0);
    // The lenders forget what they lent, and need it themselves.
    for lender in [1, 2] {
        cluster.kill(lender);
        cluster.start(lender);
    }
    cluster.set_demand([60.0, 60.0, 60.0, 0.0, 0.0]);
    cluster.sleep(1500.0);
    cluster.kill(0);
    cluster.start(0);
    cluster.sleep(2500.0);
    assert_limit_holds(&cluster);
}

#[test]
fn a_paused_process_does_not_use_its_expired_lease() {
    let cluster = start_cluster();
    cluster.set_demand([60.0, 0.0, 0.0, 0.0, 0.0]);
    cluster.sleep(1500.0);
    cluster.signal(0, "-STOP");
    cluster.set_demand([60.0, 60.0, 60.0, 0.0, 0.0]);
    cluster.sleep(2500.0);
    cluster.signal(0, "-CONT");
    cluster.sleep(2000.0);
    assert_limit_holds(&cluster);
}
