//! Scenarios of control machines and subscribers: normal operation, loss, failures, partitions, restarts.

mod cluster;

use cluster::{Cluster, HEARTBEAT_MS, IN_FORCE_WITHIN_MS};
use distribution::Scope;
use rstest::rstest;

const SERVICE: Scope = Scope::Service(7);
const OTHER: Scope = Scope::Service(8);

/// A cluster whose subscribers of a service and of everything have some entries in force.
fn converged(machines: usize, proxies: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(machines, seed);
    cluster.set(SERVICE, "a", b"1");
    cluster.set(Scope::All, "b", b"2");
    for _ in 0..proxies {
        cluster.add_proxy(&[SERVICE, Scope::All]);
    }
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    cluster
}

#[test]
fn a_change_is_in_force_everywhere_within_a_heartbeat_without_loss() {
    let mut cluster = converged(3, 30, 1);
    cluster.run(5.0 * HEARTBEAT_MS);
    cluster.set(SERVICE, "a", b"3");
    let took = cluster.run_until_converged(HEARTBEAT_MS);
    println!("{took} ms");
    cluster.run(5.0 * HEARTBEAT_MS);
    let ages: Vec<f64> = (0..30).map(|n| cluster.subscriber(n).age(SERVICE, cluster.now)).collect();
    assert!(ages.iter().all(|&age| age <= 2.0 * HEARTBEAT_MS), "{ages:?}");
}

#[rstest]
fn a_change_is_in_force_everywhere_within_4_s_at_30_percent_loss(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut cluster = converged(3, 100, seed);
    cluster.links.loss = 0.3;
    cluster.run(5.0 * HEARTBEAT_MS);
    cluster.set(SERVICE, "a", b"3");
    let took = cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    println!("{took} ms");
}

/// Changes one key after the other, spread evenly over the time.
fn burst(cluster: &mut Cluster, changes: std::ops::Range<usize>, time: f64) {
    let pause = time / changes.len() as f64;
    for change in changes {
        cluster.set(SERVICE, &format!("k{}", change % 10), &[change as u8]);
        cluster.run(pause);
    }
}

fn ages(cluster: &Cluster, scope: Scope) -> Vec<f64> {
    (0..cluster.proxies.len()).map(|n| cluster.subscriber(n).age(scope, cluster.now)).collect()
}

#[rstest]
fn a_burst_survives_the_loss_of_the_leader_and_a_control_machine(
    #[values(0.0, 0.3)] loss: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = converged(3, 60, seed);
    cluster.links.loss = loss;
    burst(&mut cluster, 0..25, 500.0);
    cluster.kill_machine(0);
    cluster.leaderless = true;
    cluster.run(1500.0);
    cluster.leaderless = false;
    burst(&mut cluster, 25..50, 500.0);
    let took = cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    println!("{took} ms after the last change, {loss} lost");
    let max = cluster.proxies.iter().map(|proxy| proxy.max_bytes_per_second).max();
    println!("{max:?} bytes in a second at the most");
    assert!(max <= Some(8_000), "{max:?}");
}

#[rstest]
fn a_subscriber_falls_back_to_a_snapshot_that_changes_while_it_is_read(
    #[values(0.0, 0.3)] loss: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = converged(1, 2, seed);
    for number in 0..300 {
        cluster.set(SERVICE, &format!("e{number}"), &[1; 60]);
    }
    cluster.run_until_converged(10.0 * IN_FORCE_WITHIN_MS);
    cluster.kill_proxy(0);
    // More removals than are remembered.
    for number in 0..400 {
        cluster.set(SERVICE, &format!("r{number}"), &[2; 20]);
        cluster.run(20.0);
    }
    for number in 0..400 {
        cluster.decide(&[(SERVICE, &format!("r{number}"), None)]);
        cluster.run(20.0);
    }
    cluster.run(HEARTBEAT_MS);
    cluster.links.loss = loss;
    cluster.start_proxy(0);
    assert!(cluster.subscriber(0).index(SERVICE) > 0, "it starts from its saved state");
    let mut snapshots = 0;
    for round in 0..60 {
        cluster.run(100.0);
        cluster.decide(&[(SERVICE, &format!("e{}", round * 5), None)]);
        cluster.set(SERVICE, &format!("n{round}"), &[3; 20]);
        snapshots = snapshots.max(cluster.control(0).status().snapshots);
    }
    assert_eq!(snapshots, 1, "only the restarted one reads a snapshot");
    cluster.run_until_converged(5.0 * IN_FORCE_WITHIN_MS);
    assert_eq!(cluster.subscriber(0).content(SERVICE), cluster.subscriber(1).content(SERVICE));
}

#[rstest]
fn no_proxy_goes_back_a_version_when_it_moves_to_an_older_control_machine(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = converged(2, 40, seed);
    cluster.run(3.0 * HEARTBEAT_MS);
    cluster.machines[1].follows_until = cluster.council.index();
    burst(&mut cluster, 0..10, 1000.0);
    cluster.run(HEARTBEAT_MS);
    // Subscribers of the older machine have not got the changes, the others have.
    let before: Vec<u64> = (0..40).map(|n| cluster.subscriber(n).index(SERVICE)).collect();
    assert!(before.iter().any(|&index| index == cluster.council.index()), "{before:?}");
    assert!(before.iter().any(|&index| index < cluster.council.index()), "{before:?}");
    cluster.kill_machine(0);
    // Cluster::check_invariants checks every version at every step.
    cluster.run(10.0 * HEARTBEAT_MS);
    let after: Vec<u64> = (0..40).map(|n| cluster.subscriber(n).index(SERVICE)).collect();
    assert_eq!(after, before, "the older control machine has nothing newer");
    let aged = ages(&cluster, SERVICE).into_iter().zip(&after);
    let mut behind = aged.filter(|(_, index)| **index < cluster.council.index());
    assert!(behind.all(|(age, _)| age >= 10.0 * HEARTBEAT_MS), "missing changes show as age");
    cluster.machines[1].follows_until = u64::MAX;
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
}

#[rstest]
fn a_scope_can_be_added_and_dropped_during_a_transfer(
    #[values(0.0, 0.3)] loss: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = converged(2, 10, seed);
    for number in 0..100 {
        cluster.set(OTHER, &format!("o{number}"), &[1; 60]);
    }
    cluster.links.loss = loss;
    cluster.links.duplication = 0.2;
    for round in 0..40 {
        cluster.set(SERVICE, &format!("k{round}"), &[round as u8; 100]);
        cluster.set(OTHER, &format!("o{round}"), &[round as u8; 60]);
        for number in 0..5 {
            if (round + number) % 3 == 0 {
                cluster.subscribe(number, OTHER);
            } else if (round + number) % 3 == 2 {
                cluster.unsubscribe(number, OTHER);
            }
        }
        cluster.run(130.0);
    }
    for number in 0..10 {
        cluster.subscribe(number, OTHER);
    }
    cluster.run_until_converged(5.0 * IN_FORCE_WITHIN_MS);
    cluster.unsubscribe(3, OTHER);
    cluster.links.heal();
    cluster.run(12.0 * HEARTBEAT_MS);
    assert_eq!(cluster.subscriber(3).content(OTHER), None, "its content is dropped");
    let sessions = (0..2).map(|n| cluster.control(n).status().subscribers).sum::<usize>();
    assert_eq!(sessions, 10);
}

#[rstest]
fn a_control_machine_with_an_old_disk_serves_no_old_state(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = converged(1, 20, seed);
    let old = cluster.council.index();
    burst(&mut cluster, 0..10, 1000.0);
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    cluster.kill_machine(0);
    cluster.run(HEARTBEAT_MS);
    cluster.start_machine_from(0, old);
    cluster.machines[0].follows_until = old + 3;
    cluster.run(5.0 * HEARTBEAT_MS);
    let newest = cluster.council.index();
    assert!((0..20).all(|n| cluster.subscriber(n).index(SERVICE) == newest));
    assert!(cluster.control(0).status().counts.ahead > 0, "it detects that its subscribers are ahead");
    cluster.machines[0].follows_until = u64::MAX;
    cluster.set(SERVICE, "new", b"1");
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
}

#[rstest]
fn a_partitioned_region_keeps_its_state_and_catches_up_after_healing(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::new(3, seed);
    (0..3).for_each(|_| cluster.add_machine(2));
    cluster.set(SERVICE, "a", b"1");
    for _ in 0..40 {
        cluster.add_proxy(&[SERVICE]);
    }
    for number in 20..40 {
        cluster.proxies[number].region = 2;
        cluster.start_proxy(number);
    }
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    let cut: Vec<usize> = [4, 5, 6].into_iter().chain((20..40).map(|n| cluster::SUBSCRIBERS + n)).collect();
    let rest: Vec<usize> = (0..=3).chain((0..20).map(|n| cluster::SUBSCRIBERS + n)).collect();
    cluster.links.partition(&cut, &rest);
    let cut_at = cluster.now;
    cluster.run(2.0 * HEARTBEAT_MS);
    for round in 0..50 {
        cluster.set(SERVICE, &format!("k{}", round % 20), &[round; 30]);
        cluster.run(20.0);
    }
    // A long partition, shortened to several leases.
    cluster.run(60.0 * HEARTBEAT_MS);
    let newest = cluster.council.index();
    assert!((0..20).all(|n| cluster.subscriber(n).index(SERVICE) == newest));
    assert!((20..40).all(|n| cluster.subscriber(n).index(SERVICE) == 1), "it keeps its last state");
    let aged = &ages(&cluster, SERVICE)[20..];
    assert!(aged.iter().all(|&age| age >= cluster.now - cut_at - HEARTBEAT_MS), "{aged:?}");
    // Restarts from the disk, with no control machine reachable that has anything newer.
    cluster.kill_proxy(25);
    cluster.start_proxy(25);
    assert_eq!(cluster.subscriber(25).index(SERVICE), 1);
    assert_eq!(cluster.subscriber(25).age(SERVICE, cluster.now), f64::INFINITY);
    cluster.links.heal();
    let took = cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    let max = cluster.proxies.iter().map(|proxy| proxy.max_bytes_per_second).max();
    println!("back together after {took} ms, {max:?} bytes in a second at the most");
    assert!(max <= Some(8_000), "{max:?}");
}

#[test]
fn the_scope_of_a_removed_service_is_proved_empty_everywhere() {
    let mut cluster = converged(2, 10, 1);
    cluster.set(SERVICE, "c", b"3");
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    cluster.kill_proxy(3);
    cluster.decide(&[(SERVICE, "a", None), (SERVICE, "c", None)]);
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    cluster.start_proxy(3);
    let late = cluster.add_proxy(&[SERVICE]);
    let never = cluster.add_proxy(&[OTHER]);
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    cluster.run(2.0 * HEARTBEAT_MS);
    for number in [0, 3, late] {
        assert_eq!(cluster.subscriber(number).content(SERVICE).map(|content| content.len()), Some(0));
    }
    assert_eq!(cluster.subscriber(never).content(OTHER).map(|content| content.len()), Some(0));
    let age = cluster.subscriber(never).age(OTHER, cluster.now);
    assert!(age <= 2.0 * HEARTBEAT_MS, "the emptiness of the scope is fresh: {age}");
    cluster.set(SERVICE, "back", b"4");
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
}

#[rstest]
fn councils_elected_during_an_outage_are_followed_from_the_bootstrap_members(#[values(0.0, 0.3)] loss: f64) {
    let mut cluster = converged(2, 10, 1);
    cluster.kill_proxy(0);
    cluster.links.loss = loss;
    for round in 0..4 {
        cluster.council.elect(cluster.now);
        cluster.set(SERVICE, "a", &[round]);
        cluster.run(2.0 * HEARTBEAT_MS);
    }
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    cluster.start_proxy(0);
    let fresh = cluster.add_proxy(&[SERVICE]);
    cluster.run_until_converged(3.0 * IN_FORCE_WITHIN_MS);
    cluster.run(2.0 * HEARTBEAT_MS);
    let version = cluster.subscriber(1).status(cluster.now).council_since;
    assert!(version > 0);
    for number in [0, fresh] {
        assert_eq!(cluster.subscriber(number).status(cluster.now).council_since, version);
        cluster.kill_proxy(number);
        cluster.start_proxy(number);
        let status = cluster.subscriber(number).status(cluster.now);
        assert_eq!((status.council_since, status.scopes[&SERVICE].0), (version, cluster.council.index()));
    }
}

#[test]
fn a_damaged_or_older_disk_never_restores_unverified_state() {
    let mut cluster = converged(1, 1, 1);
    let older = cluster.proxies[0].disk.clone();
    cluster.set(SERVICE, "a", b"9");
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    let newest = cluster.proxies[0].disk.clone();
    cluster.kill_machine(0);
    cluster.kill_proxy(0);
    cluster.proxies[0].disk = older;
    cluster.start_proxy(0);
    assert!((1..cluster.council.index()).contains(&cluster.subscriber(0).index(SERVICE)));
    for at in 0..newest.len() {
        cluster.proxies[0].disk = newest.clone();
        cluster.proxies[0].disk[at] ^= 0x10;
        cluster.start_proxy(0);
        for scope in [SERVICE, Scope::All] {
            let (subscriber, council) = (cluster.subscriber(0), &cluster.council);
            let index = subscriber.index(scope);
            let content = subscriber.content(scope).map(|content| content.digest());
            assert!(index == 0 || content == Some(council.state(index).summary(scope).digest), "byte {at}");
        }
        cluster.proxies[0].disk = newest[..at].to_vec();
        cluster.start_proxy(0);
        assert_eq!(cluster.subscriber(0).index(SERVICE), 0, "truncated at {at}");
    }
}

#[test]
fn a_restarted_control_machine_regains_its_subscribers_gradually() {
    let mut cluster = converged(3, 150, 1);
    let served = |cluster: &Cluster, n: usize| {
        let control = cluster::control_id(n);
        let at = |&p: &usize| cluster.subscriber(p).status(cluster.now).control.0 == control;
        (0..150).filter(at).count()
    };
    let before: Vec<usize> = (0..3).map(|n| served(&cluster, n)).collect();
    assert!(before.iter().all(|&n| n >= 30), "spread over all machines: {before:?}");
    cluster.kill_machine(0);
    cluster.run(4.0 * HEARTBEAT_MS);
    let shared: Vec<usize> = (0..3).map(|n| served(&cluster, n)).collect();
    assert!(shared[0] == 0 && shared[1] > before[1] && shared[2] > before[2], "{before:?} {shared:?}");
    cluster.start_machine(0);
    let mut max = 0;
    for _ in 0..60 {
        let then = served(&cluster, 0);
        cluster.run(HEARTBEAT_MS);
        max = max.max(served(&cluster, 0) - then);
    }
    assert_eq!(
        (0..3).map(|n| served(&cluster, n)).collect::<Vec<_>>(),
        before,
        "rendezvous hashing restores the distribution"
    );
    println!("{max} of {} in a heartbeat at the most", before[0]);
    assert!(max * 5 <= before[0], "{max}");
}
