//! Random runs by seed, with five voters among seven proxies and all faults combined. The same checks have
//! to find planted faults.

use rand::Rng;
use rstest::rstest;

use super::Fault;
use super::cluster::Cluster;
use super::fakes::Disk;
use crate::{Id, Role};

const PROXIES: usize = 7;
const VOTERS: usize = 5;
const ROUNDS: usize = 24;

/// Runs one seed. Returns the violations.
fn run_seed(seed: u64, fault: Option<Fault>) -> Vec<String> {
    let mut cluster = Cluster::new(PROXIES, VOTERS, seed);
    cluster.fault = fault;
    cluster.proxies.iter_mut().flatten().for_each(|proxy| proxy.fault = fault);
    cluster.run_until("a leader", 10_000.0, |cluster| cluster.leader().is_some());
    for _ in 0..ROUNDS {
        inject_fault(&mut cluster);
        for _ in 0..4 {
            let node = cluster.rng.random_range(0..PROXIES);
            cluster.propose_line(node);
            let node = cluster.rng.random_range(0..PROXIES);
            cluster.read(node);
            let duration = 200.0 * cluster.rng.random::<f64>();
            cluster.advance(duration);
        }
    }
    if fault.is_none() {
        cluster.converge(20_000.0);
    }
    cluster.check_linearizability();
    cluster.violations
}

/// Injects one random fault, or repairs the links.
fn inject_fault(cluster: &mut Cluster) {
    let node = cluster.rng.random_range(0..PROXIES);
    let split = cluster.rng.random_range(1..PROXIES);
    let (one_side, other_side): (Vec<usize>, Vec<usize>) =
        (0..PROXIES).partition(|&at| (at + node) % PROXIES < split);
    match cluster.rng.random_range(0..13) {
        0 => cluster.links.heal(),
        1 => cluster.links.partition(&one_side, &other_side),
        2 => cluster.links.cut(&one_side, &other_side, true),
        3 => cluster.links.cut(&[node], &other_side, true),
        4 | 5 => cluster.restart(node),
        6 => {
            cluster.crash(node);
            cluster.advance(300.0);
            cluster.start(node);
        }
        7 => {
            let duration = 4_000.0 * cluster.rng.random::<f64>();
            cluster.pause(node, duration);
        }
        8 => (cluster.links.loss, cluster.links.duplication) = (0.3, 0.3),
        9 => cluster.links.max_delay = if cluster.links.max_delay > 50.0 { 10.0 } else { 300.0 },
        10 => cluster.disks[node].fails_next_write = true,
        11 => {
            // All restart at once.
            (0..PROXIES).for_each(|node| cluster.restart(node));
        }
        _ => {
            let leader = cluster.leader().unwrap_or(node);
            cluster.pause(leader, 1_500.0);
        }
    }
    cluster.readmit_disks();
}

#[test]
fn combined_faults_never_give_two_orders_of_decisions() {
    let seeds = std::env::var("AGREE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(120);
    for seed in 0..seeds {
        let violations = run_seed(seed, None);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// Whether a member's votes count: it is a voter under its own disk id, and its disk is verified.
fn is_voting(cluster: &mut Cluster, node: usize) -> bool {
    let status = cluster.status(node);
    let named = status.council.voter(node as Id).is_some_and(|voter| voter.disk_id == status.disk_id);
    named && matches!(status.role, Role::Follows | Role::Asks | Role::Leads)
}

/// Whether no member lags far behind, so that with one more lost disk a majority still holds what was
/// decided.
fn all_caught_up(cluster: &mut Cluster) -> bool {
    let applied: Vec<_> = (0..VOTERS).map(|node| cluster.status(node).applied).collect();
    let newest = applied.iter().max().copied().unwrap_or(0);
    applied.iter().all(|applied| applied + 8 >= newest)
}

/// Runs one seed in which members lose their disks one after the other and are readmitted, with all other
/// faults except older disk copies. Returns the violations, and how many of these members voted again
/// before the faults ended.
fn run_seed_with_lost_disks(seed: u64) -> (Vec<String>, usize) {
    let mut cluster = Cluster::new(PROXIES, VOTERS, seed);
    cluster.run_until("a leader", 10_000.0, |cluster| cluster.leader().is_some());
    let mut lost = None;
    let mut readmitted = 0;
    for _ in 0..2 * ROUNDS {
        if lost.is_none()
            && (0..VOTERS).all(|node| is_voting(&mut cluster, node))
            && all_caught_up(&mut cluster)
        {
            let node = cluster.rng.random_range(0..VOTERS);
            cluster.crash(node);
            cluster.disks[node] = Disk::default();
            cluster.start(node);
            lost = Some(node);
        }
        inject_fault(&mut cluster);
        for _ in 0..8 {
            let node = cluster.rng.random_range(0..PROXIES);
            cluster.propose_line(node);
            cluster.readmit_disks();
            let duration = 100.0 * cluster.rng.random::<f64>();
            cluster.advance(duration);
        }
        if lost.take_if(|node| is_voting(&mut cluster, *node)).is_some() {
            readmitted += 1;
        }
        for node in 0..PROXIES {
            if cluster.status(node).counts.outdated > 0 {
                cluster.violations.push(format!("p{node} wrongly detected an older disk copy"));
            }
        }
    }
    // A member whose council was never decided also has to catch up before it is readmitted.
    cluster.converge(20_000.0);
    cluster.run_until("all vote", 20_000.0, |cluster| {
        cluster.readmit_disks();
        (0..VOTERS).all(|node| is_voting(cluster, node))
    });
    cluster.converge(20_000.0);
    cluster.check_linearizability();
    (cluster.violations, readmitted)
}

#[test]
fn lost_disks_with_other_faults_never_give_two_orders_and_all_vote_again() {
    let seeds = std::env::var("AGREE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    let mut total_readmitted = 0;
    for seed in 0..seeds {
        let (violations, readmitted) = run_seed_with_lost_disks(seed);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        total_readmitted += readmitted;
    }
    eprintln!("lost disks: {total_readmitted} readmitted");
    assert!(total_readmitted > seeds as usize, "{total_readmitted} readmitted in {seeds} runs");
}

#[rstest]
#[case::an_unsynced_vote(Fault::Unsynced)]
#[case::a_deposed_leader_that_answers_reads(Fault::StaleRead)]
#[case::an_earlier_term_counted_as_decided(Fault::EarlierTerm)]
#[case::a_snapshot_over_newer_entries(Fault::SnapshotOverwritesEntries)]
fn a_planted_fault_is_found(#[case] fault: Fault) {
    let found = (0..200).find(|&seed| !run_seed(seed, Some(fault)).is_empty());
    eprintln!("{fault:?}: seed {found:?}");
    assert!(found.is_some(), "{fault:?} was not found in 200 seeds");
}
