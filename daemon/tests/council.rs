//! The council: five processes apply decisions in one order, three of them vote, while processes are killed,
//! stopped or cut off, and one loses its disk. Whether drains hold is checked at the central servers.

mod cluster;

use std::cell::Cell;
use std::fs;

use cluster::{Cluster, PROXIES};
use serde_json::Value;

const COUNCIL: &str = "[council]\nmembers = [\"p0\", \"p1\", \"p2\"]\nbeat = \"50 ms\"\nlease = \"2 s\"\n\n[outs]\npool_part = 0.5\n";

fn start_cluster() -> Cluster {
    let cluster = Cluster::new(4, COUNCIL);
    cluster.wait_until("a leader that all have heard from", |cluster| {
        (0..PROXIES).all(|proxy| state(cluster, proxy)["age_ms"].is_number())
    });
    cluster
}

fn state(cluster: &Cluster, proxy: usize) -> Value {
    cluster.query(proxy, &["council", "state"])
}

fn leader(cluster: &Cluster, among: &[usize]) -> Option<usize> {
    among.iter().copied().find(|&proxy| state(cluster, proxy)["role"] == "leads")
}

/// Waits for a leader: one that is delayed for longer than its heartbeats is replaced.
fn wait_for_leader(cluster: &Cluster, among: &[usize]) -> usize {
    let found = Cell::new(None);
    cluster.wait_until("a leader", |cluster| {
        found.set(leader(cluster, among));
        found.get().is_some()
    });
    found.get().expect("waited for")
}

fn drained(cluster: &Cluster, proxy: usize) -> Vec<String> {
    let outs = cluster.query(proxy, &["outs"]);
    let drains = outs["drains"].as_array().expect("drains");
    drains.iter().map(|drain| drain["server"].as_str().expect("a name").to_owned()).collect()
}

/// Waits until all have applied the same decisions with the same result.
fn wait_for_agreement(cluster: &Cluster, among: &[usize]) {
    cluster.wait_until("the same state at all", |cluster| {
        let all: Vec<_> = among.iter().map(|&proxy| state(cluster, proxy)).collect();
        let same = |a: &Value, b: &Value| a["applied"] == b["applied"] && a["hash"] == b["hash"];
        all.windows(2).all(|pair| same(&pair[0], &pair[1])) && all[0]["applied"].as_u64() > Some(0)
    });
}

fn set_ups_at(cluster: &Cluster, server: usize, since: f64) -> usize {
    cluster.set_ups.lock().expect("whole").iter().filter(|(at, _, to)| *to == server && *at >= since).count()
}

#[test]
fn a_drain_requested_at_any_proxy_holds_at_all_until_undrained() {
    let cluster = start_cluster();
    cluster.set_demand([30.0; PROXIES]);
    cluster.wait_until("calls at the first server", |cluster| set_ups_at(cluster, 0, 0.0) > 20);
    let dry_run = cluster.command(4, &["drain", "s-0", "--dry-run"]);
    assert!(dry_run.status.success() && drained(&cluster, 4).is_empty(), "{dry_run:?}");
    let output = cluster.command(4, &["drain", "s-0", "--why", "disk"]);
    assert!(output.status.success(), "{output:?}");
    cluster
        .wait_until("known to all", |cluster| (0..PROXIES).all(|proxy| drained(cluster, proxy) == ["s-0"]));
    // Set-ups already sent may still arrive.
    cluster.sleep(300.0);
    let since = cluster.now();
    cluster.sleep(1500.0);
    assert_eq!(set_ups_at(&cluster, 0, since), 0, "set-ups at a drained server");
    assert!(set_ups_at(&cluster, 1, since) > 20, "another server gets them");
    let row = &cluster.query(0, &["outs"])["drains"][0];
    assert_eq!((&row["by"], &row["why"]), (&"p4".into(), &"disk".into()), "{row}");

    assert!(cluster.command(0, &["drain", "s-2"]).status.success());
    let third = cluster.command(1, &["drain", "s-3"]);
    assert_eq!(third.status.code(), Some(3), "half of a pool of four may be drained: {third:?}");
    assert!(String::from_utf8_lossy(&third.stdout).contains("2 may be"), "{third:?}");
    assert!(cluster.command(2, &["undrain", "s-0"]).status.success());
    let since = cluster.now();
    cluster.wait_until("used again", |cluster| set_ups_at(cluster, 0, since) > 20);
    wait_for_agreement(&cluster, &[0, 1, 2, 3, 4]);
}

#[test]
fn decisions_survive_the_leader_and_a_restart_of_all_processes() {
    let mut cluster = start_cluster();
    assert!(cluster.command(3, &["drain", "s-0"]).status.success());
    let first = wait_for_leader(&cluster, &[0, 1, 2]);
    cluster.kill(first);
    let others: Vec<usize> = (0..3).filter(|&proxy| proxy != first).collect();
    cluster.wait_until("another leader", |cluster| leader(cluster, &others).is_some());
    assert!(cluster.command(4, &["drain", "s-2"]).status.success());
    cluster.start(first);
    wait_for_agreement(&cluster, &[0, 1, 2, 3, 4]);
    (0..PROXIES).for_each(|proxy| cluster.kill(proxy));
    (0..PROXIES).for_each(|proxy| cluster.start(proxy));
    cluster.wait_until("known again", |cluster| {
        (0..PROXIES).all(|proxy| drained(cluster, proxy) == ["s-0", "s-2"])
    });
    wait_for_agreement(&cluster, &[0, 1, 2, 3, 4]);
}

#[test]
fn without_a_majority_nothing_is_decided_and_earlier_decisions_hold() {
    let cluster = start_cluster();
    cluster.set_demand([20.0; PROXIES]);
    assert!(cluster.command(0, &["drain", "s-3"]).status.success());
    cluster
        .wait_until("known to all", |cluster| (0..PROXIES).all(|proxy| drained(cluster, proxy) == ["s-3"]));
    // 0 and 3 on one side; 1, 2 and 4 with a majority on the other.
    cluster.set_cut(&[0, 3], &[1, 2, 4], true);
    cluster.set_cut(&[1, 2, 4], &[0, 3], true);
    cluster.wait_until("a leader beyond the cut", |cluster| leader(cluster, &[1, 2]).is_some());
    let (minority, majority) = std::thread::scope(|scope| {
        let minority = scope.spawn(|| cluster.command(3, &["undrain", "s-3"]));
        let majority = scope.spawn(|| cluster.command(4, &["drain", "s-0"]));
        (minority.join().expect("ran"), majority.join().expect("ran"))
    });
    assert!(majority.status.success(), "{majority:?}");
    assert_eq!(minority.status.code(), Some(1), "{minority:?}");
    assert!(String::from_utf8_lossy(&minority.stderr).contains("no majority"), "{minority:?}");
    assert_eq!(drained(&cluster, 0), ["s-3"], "what was decided holds");
    assert!(state(&cluster, 3)["age_ms"].as_f64() > Some(2_000.0), "it reports that its state is old");
    let since = cluster.now();
    cluster.sleep(500.0);
    assert!(set_ups_at(&cluster, 0, since) + set_ups_at(&cluster, 1, since) > 0, "calls go on");
    assert_eq!(set_ups_at(&cluster, 3, since), 0);
    cluster.set_cut(&[0, 3], &[1, 2, 4], false);
    cluster.set_cut(&[1, 2, 4], &[0, 3], false);
    wait_for_agreement(&cluster, &[0, 1, 2, 3, 4]);
}

#[test]
fn a_member_that_lost_its_disk_is_readmitted_and_a_paused_leader_is_replaced() {
    let mut cluster = start_cluster();
    assert!(cluster.command(1, &["drain", "s-1"]).status.success());
    let lost = (0..3).find(|&proxy| Some(proxy) != leader(&cluster, &[0, 1, 2])).expect("follows");
    cluster.kill(lost);
    for file in ["council", "council.lock"] {
        fs::remove_file(cluster.path(&format!("p{lost}")).join(file)).expect("was there");
    }
    cluster.start(lost);
    cluster.wait_until("barred", |cluster| state(cluster, lost)["role"] == "barred");
    let name = format!("p{lost}");
    let current_leader = wait_for_leader(&cluster, &[0, 1, 2]);
    cluster.wait_until("its generation known", |cluster| {
        state(cluster, current_leader)["voteless"]
            .as_array()
            .is_some_and(|all| all.iter().any(|voter| voter["name"] == name[..]))
    });
    cluster.wait_until("removed", |cluster| {
        cluster.command(current_leader, &["council", "remove", &name]).status.success()
    });
    cluster.wait_until("readmitted", |cluster| {
        cluster.command(current_leader, &["council", "add", &name]).status.success()
    });
    cluster.wait_until("it votes", |cluster| state(cluster, lost)["role"] == "follows");

    let current_leader = wait_for_leader(&cluster, &[0, 1, 2]);
    cluster.signal(current_leader, "-STOP");
    let others: Vec<usize> = (0..3).filter(|&proxy| proxy != current_leader).collect();
    cluster.wait_until("another leader", |cluster| leader(cluster, &others).is_some());
    assert!(cluster.command(4, &["undrain", "s-1"]).status.success(), "the readmitted member votes");
    cluster.signal(current_leader, "-CONT");
    cluster.wait_until("the undrain is known", |cluster| drained(cluster, current_leader).is_empty());
    wait_for_agreement(&cluster, &[0, 1, 2, 3, 4]);
}
