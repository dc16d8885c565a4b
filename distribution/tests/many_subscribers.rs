//! Many subscribers at once: admission, byte budgets, and a control machine that is full.

mod cluster;

use cluster::{Cluster, HEARTBEAT_MS, IN_FORCE_WITHIN_MS};
use distribution::Scope;
use rstest::rstest;

/// A zone's services, of 25 subscribers each.
fn service(number: usize) -> Scope {
    Scope::Service((number / 25) as u32)
}

/// One control machine with a zone's subscribers, all of them stopped; each service has some entries.
fn zone_cluster(subscribers: usize) -> Cluster {
    let mut cluster = Cluster::new(1, 1);
    let services: Vec<Scope> = (0..subscribers).step_by(25).map(service).collect();
    for entry in 0..10 {
        let key = format!("drain/server{entry}");
        let changes: Vec<_> = services.iter().map(|&scope| (scope, &key[..], Some(&[7u8; 60][..]))).collect();
        cluster.decide(&changes);
    }
    cluster.set(Scope::All, "limit", &[1; 20]);
    cluster.start_machine(0);
    for number in 0..subscribers {
        cluster.add_proxy(&[Scope::All, Scope::Region(1), Scope::Zone(3), service(number)]);
        cluster.kill_proxy(number);
    }
    cluster
}

fn assert_bounds(cluster: &Cluster) {
    let machine = &cluster.machines[0];
    let max = cluster.proxies.iter().map(|proxy| proxy.max_bytes_per_second).max().unwrap_or(0);
    println!(
        "at a subscriber {max} bytes in a second at the most, at the control machine {}, {} snapshots",
        machine.max_bytes_per_second, machine.max_snapshots
    );
    assert!(max <= 8_000, "{max}");
    assert!(
        machine.max_bytes_per_second as f64 <= cluster.terms.bytes_per_second,
        "{}",
        machine.max_bytes_per_second
    );
    assert!(machine.max_snapshots <= cluster.terms.snapshots_at_once, "{}", machine.max_snapshots);
}

#[rstest]
#[case::with_empty_disks(false, 30.0)]
#[case::with_saved_state(true, 4.0)]
fn a_control_machine_keeps_its_limits_when_2100_subscribers_restart_at_once(
    #[case] disks: bool,
    #[case] heartbeats: f64,
) {
    let mut cluster = zone_cluster(2100);
    if disks {
        (0..2100).for_each(|number| cluster.start_proxy(number));
        cluster.run_until_converged(60.0 * HEARTBEAT_MS);
        (0..2100).for_each(|number| cluster.kill_proxy(number));
        cluster.set(Scope::All, "limit", &[2; 20]);
        cluster.run(12.0 * HEARTBEAT_MS);
        assert_eq!(cluster.control(0).status().subscribers, 0, "stopped subscribers are removed");
    }
    let before = cluster.control(0).status().counts;
    (0..2100).for_each(|number| cluster.start_proxy(number));
    let took = cluster.run_until_converged(heartbeats * HEARTBEAT_MS);
    let status = cluster.control(0).status();
    let sent = status.counts.sent_bytes - before.sent_bytes;
    let deferred = status.counts.deferred - before.deferred;
    println!("{took} ms, {sent} bytes sent, {deferred} deferred");
    assert_bounds(&cluster);
    assert_eq!(status.subscribers, 2100);
    assert_eq!(deferred > 0, !disks, "snapshots need a slot, saved state needs none");
}

#[test]
fn a_change_for_all_2750_subscribers_of_a_control_machine_is_in_force_within_4_s() {
    let mut cluster = zone_cluster(2750);
    (0..2750).for_each(|number| cluster.start_proxy(number));
    cluster.run_until_converged(60.0 * HEARTBEAT_MS);
    cluster.links.loss = 0.3;
    cluster.run(2.0 * HEARTBEAT_MS);
    cluster.set(Scope::All, "limit", &[2; 20]);
    let took = cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    println!("{took} ms, 30 in 100 lost");
    assert_bounds(&cluster);
}

#[test]
fn subscribers_rejected_by_a_full_control_machine_find_another() {
    let mut cluster = Cluster::new(2, 1);
    cluster.set(Scope::All, "limit", &[1; 20]);
    cluster.terms.max_subscribers = 15;
    (0..2).for_each(|number| cluster.start_machine(number));
    for _ in 0..28 {
        cluster.add_proxy(&[Scope::All]);
    }
    cluster.run_until_converged(60.0 * HEARTBEAT_MS);
    let statuses = [cluster.control(0).status(), cluster.control(1).status()];
    assert!(statuses.iter().all(|status| status.subscribers <= 15));
}

#[test]
fn slow_readers_of_a_large_scope_do_not_delay_others() {
    let mut cluster = Cluster::new(1, 1);
    cluster.set(Scope::All, "limit", &[1; 20]);
    for number in 0..400 {
        cluster.set(Scope::Service(1), &format!("e{number}"), &[1; 100]);
    }
    for _ in 0..10 {
        cluster.add_proxy(&[Scope::All]);
    }
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    for _ in 0..10 {
        cluster.add_proxy(&[Scope::All, Scope::Service(1)]);
    }
    cluster.run(2.0 * HEARTBEAT_MS);
    for round in 0..5 {
        cluster.set(Scope::All, "limit", &[round; 20]);
        cluster.run(HEARTBEAT_MS);
        let newest = cluster.council.scope_version(Scope::All);
        let slow = (0..20).filter(|&number| cluster.subscriber(number).index(Scope::All) < newest).count();
        assert_eq!(slow, 0, "round {round}");
        assert_eq!(cluster.subscriber(15).index(Scope::Service(1)), 0, "it is still reading");
    }
    cluster.run_until_converged(30.0 * HEARTBEAT_MS);
    assert_bounds(&cluster);
}
