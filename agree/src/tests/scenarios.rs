//! One test for each named fault.

use rstest::rstest;

use super::cluster::{Cluster, HEARTBEAT_MS, LEASE_MS};
use crate::wire::{Message, encode};
use crate::{Outcome, Refusal, Role, disk};

/// A cluster with a leader and one decided line that all proxies have applied.
fn settled_cluster(proxies: usize, voters: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(proxies, voters, seed);
    cluster.run_until("a leader", 5_000.0, |cluster| cluster.leader().is_some());
    cluster.propose_line(0);
    cluster.run_until("a line", 5_000.0, |cluster| cluster.history[0].completed.is_some());
    cluster.converge(5_000.0);
    cluster
}

/// Asserts that no check has found a violation.
fn assert_consistent(cluster: &mut Cluster) {
    cluster.check_linearizability();
    assert!(cluster.violations.is_empty(), "{:#?}", cluster.violations);
}

/// Proposes and reads at all proxies for a while.
fn run_load(cluster: &mut Cluster, duration: f64) {
    let end = cluster.now + duration;
    while cluster.now < end {
        for node in 0..cluster.proxies.len() {
            cluster.propose_line(node);
            cluster.read(node);
        }
        cluster.advance(100.0);
    }
}

#[rstest]
#[case::three(3, 3)]
#[case::five_of_twelve(12, 5)]
#[case::seven(7, 7)]
fn proxies_started_together_elect_a_leader_and_learn_all_decisions(
    #[case] proxies: usize,
    #[case] voters: usize,
) {
    let mut cluster = settled_cluster(proxies, voters, 1);
    run_load(&mut cluster, 1_000.0);
    cluster.advance(1_000.0);
    cluster.converge(5_000.0);
    assert!(cluster.history.iter().all(|operation| operation.completed.is_some()), "{:?}", cluster.history);
    for node in 0..proxies {
        let status = cluster.status(node);
        assert!(status.age < LEASE_MS, "{status:?}");
        assert_eq!(status.role == Role::Outside, node >= voters);
    }
    assert_consistent(&mut cluster);
}

#[test]
fn a_partitioned_council_decides_only_in_its_majority() {
    let mut cluster = settled_cluster(7, 5, 2);
    let leader = cluster.leader().expect("has a leader");
    let other = (leader + 1) % 5;
    let rest: Vec<usize> = (0..7).filter(|node| ![leader, other].contains(node)).collect();
    cluster.links.partition(&[leader, other], &rest);
    let cut = cluster.status(other).applied;
    cluster.propose_line(leader);
    cluster.run_until("another leader", 5_000.0, |cluster| cluster.leader().is_some_and(|new| new != leader));
    run_load(&mut cluster, 1_000.0);
    assert!(cluster.status(rest[0]).applied > cut + 10);
    assert_eq!(cluster.status(other).applied, cut, "decided without a majority");
    assert!(cluster.status(other).age > LEASE_MS, "considered its knowledge fresh");
    cluster.converge(5_000.0);
    assert_consistent(&mut cluster);
}

#[test]
fn a_leader_that_receives_nothing_is_replaced() {
    let mut cluster = settled_cluster(5, 5, 3);
    let leader = cluster.leader().expect("has a leader");
    let rest: Vec<usize> = (0..5).filter(|&node| node != leader).collect();
    cluster.links.cut(&rest, &[leader], true);
    cluster.run_until("another leader", 5_000.0, |cluster| cluster.leader().is_some_and(|new| new != leader));
    run_load(&mut cluster, 500.0);
    cluster.converge(5_000.0);
    assert_consistent(&mut cluster);
}

#[test]
fn a_leader_paused_for_four_seconds_serves_no_stale_reads() {
    let mut cluster = settled_cluster(5, 5, 4);
    let leader = cluster.leader().expect("has a leader");
    cluster.pause(leader, 4_000.0);
    cluster.run_until("another leader", 4_000.0, |cluster| cluster.leader().is_some_and(|new| new != leader));
    let other = (leader + 1) % 5;
    (0..5).for_each(|_| cluster.propose_line(other));
    let until_wake = cluster.paused_until[leader] - cluster.now;
    cluster.advance(until_wake);
    (0..5).for_each(|_| cluster.read(leader));
    cluster.advance(2_000.0);
    assert!(cluster.status(leader).age < LEASE_MS);
    cluster.converge(5_000.0);
    assert_consistent(&mut cluster);
}

#[test]
fn a_member_with_a_lost_disk_has_no_vote_until_readmitted() {
    let mut cluster = settled_cluster(3, 3, 5);
    run_load(&mut cluster, 500.0);
    cluster.proxies[2] = None;
    cluster.disks[2] = Default::default();
    cluster.start(2);
    cluster.advance(3_000.0);
    assert_eq!(cluster.status(2).role, Role::Barred);
    // With another member down, a majority would need the vote of the member that lost its disk.
    let gone = if cluster.leader() == Some(0) { 1 } else { 0 };
    cluster.crash(gone);
    let applied = cluster.status(1 - gone).applied;
    run_load(&mut cluster, 2_000.0);
    assert_eq!(cluster.status(1 - gone).applied, applied, "decided by a vote of a lost disk");
    cluster.start(gone);
    cluster.run_until("readmitted", 20_000.0, |cluster| {
        cluster.readmit_disks();
        cluster.advance(200.0);
        cluster.status(2).role == Role::Follows
    });
    cluster.crash(gone);
    cluster.run_until("a leader", 10_000.0, |cluster| cluster.leader().is_some());
    run_load(&mut cluster, 500.0);
    assert!(cluster.status(2).applied > applied + 5);
    cluster.converge(5_000.0);
    assert_consistent(&mut cluster);
}

#[test]
fn an_older_disk_copy_is_detected_by_the_other_members() {
    let mut cluster = settled_cluster(3, 3, 6);
    let leader = cluster.leader().expect("has a leader");
    let other = (leader + 1) % 3;
    let copy = cluster.disks[other].contents.clone();
    run_load(&mut cluster, 1_000.0);
    cluster.crash(other);
    cluster.disks[other].contents = copy;
    cluster.start(other);
    cluster.run_until("detected", 3_000.0, |cluster| cluster.status(other).counts.outdated == 1);
    assert_eq!(cluster.status(other).role, Role::Barred);
    run_load(&mut cluster, 500.0);
    cluster.converge(5_000.0);
    assert_consistent(&mut cluster);
}

/// A follower that lost its disk, and the other follower. The first is readmitted while its messages arrive
/// but it receives none; then it gets the proofs of its council before any of the log.
fn council_proof_before_log(seed: u64) -> (Cluster, usize, usize) {
    let mut cluster = settled_cluster(3, 3, seed);
    run_load(&mut cluster, 500.0);
    let leader = cluster.leader().expect("has a leader");
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.crash(lost);
    cluster.disks[lost] = Default::default();
    cluster.links.cut(&[leader, other], &[lost], true);
    cluster.start(lost);
    let disk_id = cluster.proxy(lost).persisted.disk_id;
    cluster.run_until("readmitted", 5_000.0, |cluster| {
        cluster.readmit_disks();
        let status = cluster.status(leader);
        status.council_proved
            && status.council.voter(lost as u64).is_some_and(|voter| voter.disk_id == disk_id)
    });
    let (now, proofs) = (cluster.clock(lost), cluster.proxy(leader).persisted.council_proofs.clone());
    let proxy = cluster.proxy(lost);
    for proof in proofs {
        proxy.receive(now, leader as u64, &encode(&Message::Council { proof: Box::new(proof) }));
    }
    assert!(
        proxy.is_voter() && !proxy.bootstrap.disk_verified,
        "its council is proved, its disk not verified"
    );
    assert_eq!(proxy.persisted.log.last().index, 0, "the proof came before the log");
    cluster.links.heal();
    (cluster, lost, other)
}

#[rstest]
fn a_readmitted_member_votes_though_its_council_proof_came_before_the_log(
    #[values(30, 31, 32, 33, 34)] seed: u64,
) {
    let (mut cluster, lost, other) = council_proof_before_log(seed);
    cluster.run_until("the member votes", 3_000.0, |cluster| cluster.status(lost).role == Role::Follows);
    assert_eq!(cluster.status(lost).counts.outdated, 0, "detected as an older copy of its previous disk");
    cluster.crash(other);
    let applied = cluster.status(lost).applied;
    run_load(&mut cluster, 1_000.0);
    assert!(cluster.status(lost).applied > applied + 5, "nothing is decided without its vote");
    cluster.converge(5_000.0);
    assert_consistent(&mut cluster);
}

#[rstest]
fn an_older_disk_copy_is_detected_under_any_disk_id(
    #[values(false, true)] readmitted: bool,
    #[values(false, true)] was_leader: bool,
) {
    let (mut cluster, member) = if readmitted {
        let (mut cluster, lost, _) = council_proof_before_log(35);
        cluster.run_until("the member votes", 3_000.0, |cluster| cluster.status(lost).role == Role::Follows);
        cluster.converge(5_000.0);
        (cluster, lost)
    } else {
        let cluster = settled_cluster(3, 3, 36);
        let member = (cluster.leader().expect("has a leader") + 1) % 3;
        (cluster, member)
    };
    let copy = cluster.disks[member].contents.clone();
    while was_leader && cluster.leader() != Some(member) {
        let leader = cluster.leader().expect("has a leader");
        cluster.crash(leader);
        cluster.run_until("another leader", 5_000.0, |cluster| cluster.leader().is_some());
        cluster.start(leader);
        cluster.converge(5_000.0);
    }
    run_load(&mut cluster, 1_000.0);
    cluster.crash(member);
    cluster.disks[member].contents = copy;
    cluster.start(member);
    cluster.run_until("detected", 3_000.0, |cluster| cluster.status(member).counts.outdated == 1);
    assert_eq!(cluster.status(member).role, Role::Barred);
    run_load(&mut cluster, 500.0);
    cluster.converge(5_000.0);
    assert_consistent(&mut cluster);
}

#[test]
fn a_disk_copy_from_before_the_bootstrap_vote_is_detected() {
    let mut cluster = Cluster::new(3, 3, 38);
    let ready = |cluster: &mut Cluster| {
        disk::recover(&cluster.disks[1].contents)
            .is_ok_and(|persisted| persisted.stage == crate::wire::Stage::Ready)
    };
    cluster.run_until("stage Ready", 5_000.0, ready);
    let copy = cluster.disks[1].contents.clone();
    cluster.converge(5_000.0);
    run_load(&mut cluster, 1_000.0);
    cluster.crash(1);
    cluster.disks[1].contents = copy;
    cluster.start(1);
    cluster.run_until("detected", 3_000.0, |cluster| cluster.status(1).counts.outdated == 1);
    assert_eq!(cluster.status(1).role, Role::Barred);
    run_load(&mut cluster, 500.0);
    cluster.converge(5_000.0);
    assert_consistent(&mut cluster);
}

#[rstest]
#[case::whole(0.0)]
#[case::torn(0.5)]
fn a_member_whose_disk_fails_grants_no_vote_and_recovers_later(#[case] part: f64) {
    let mut cluster = settled_cluster(3, 3, 7);
    let leader = cluster.leader().expect("has a leader");
    cluster.crash(leader);
    let others: Vec<usize> = (0..3).filter(|&node| node != leader).collect();
    others.iter().for_each(|&node| cluster.disks[node].fails_next_write = true);
    cluster.run_until("a failed write", 5_000.0, |cluster| {
        others.iter().any(|&node| cluster.status(node).role == Role::Unwritten)
    });
    if part > 0.0 {
        let node = others[0];
        cluster.disks[node].contents.extend([0xc7, 0x5d, 40, 0, 1]);
        cluster.restart(node);
    }
    cluster.run_until("a leader", 10_000.0, |cluster| cluster.leader().is_some());
    run_load(&mut cluster, 500.0);
    cluster.converge(5_000.0);
    assert_consistent(&mut cluster);
}

#[rstest]
#[case::empty(&[], disk::RecoveryError::Empty)]
#[case::garbage(&[7; 300], disk::RecoveryError::Empty)]
fn an_empty_or_unreadable_file_holds_no_state(#[case] bytes: &[u8], #[case] lost: disk::RecoveryError) {
    assert_eq!(disk::recover(bytes).expect_err("no state"), lost);
}

#[test]
fn a_torn_tail_is_cut_and_other_damage_is_an_error() {
    let mut cluster = settled_cluster(3, 3, 8);
    run_load(&mut cluster, 1_000.0);
    let file = cluster.disks[0].contents.clone();
    let persisted = disk::recover(&file).expect("intact");
    for cut in (file.len() - 60..file.len()).step_by(7) {
        let torn = disk::recover(&file[..cut]).expect("a torn tail is not an error");
        assert!(torn.log.last().index <= persisted.log.last().index);
    }
    for at in (0..file.len() - 200).step_by(97) {
        let mut damaged = file.clone();
        damaged[at] ^= 0x10;
        assert!(disk::recover(&damaged).is_err(), "byte {at}");
    }
}

#[test]
fn a_late_proxy_catches_up_by_a_snapshot_in_chunks() {
    let mut cluster = settled_cluster(6, 3, 9);
    cluster.crash(5);
    let follower = (0..3).find(|&node| Some(node) != cluster.leader()).expect("has a follower");
    cluster.crash(follower);
    let end = cluster.now + 8_000.0;
    while cluster.now < end {
        (0..5).filter(|&node| node != follower).for_each(|node| cluster.propose_line(node));
        cluster.advance(50.0);
    }
    let far = cluster.status(4).applied;
    assert!(far > 400, "{far}");
    cluster.start(5);
    cluster.start(follower);
    cluster.converge(10_000.0);
    let lines = cluster.proxy(0).machine().lines.clone();
    assert_eq!(cluster.proxy(5).machine().lines, lines);
    assert!(cluster.proxy(5).persisted.log.base().index > 0, "it was restored from a snapshot");
    cluster.restart(follower);
    cluster.converge(10_000.0);
    assert_consistent(&mut cluster);
}

#[test]
fn a_council_changes_by_one_voter_and_followers_learn_it_from_proofs() {
    let mut cluster = settled_cluster(7, 3, 10);
    cluster.crash(6);
    for (id, disk_id) in [(3, 1), (4, 1), (0, 0)] {
        let leader = cluster.leader().expect("has a leader");
        let council = cluster.status(leader).council;
        // Member 0 leaves; 3 and 4 join under the ids of their new disks.
        let disk_id = cluster.proxies[id].as_ref().map_or(disk_id, |proxy| proxy.persisted.disk_id);
        let next = match council.voter(id as u64) {
            Some(_) => council.without(id as u64),
            None => council.with(crate::Voter { id: id as u64, disk_id }),
        };
        let now = cluster.clock(leader);
        let two = next.without(1);
        assert_eq!(cluster.proxy(leader).propose_council(now, two), Err(Refusal::NotOneVoter));
        cluster.run_until("the council change", 10_000.0, |cluster| {
            let Some(leader) = cluster.leader() else { return false };
            let now = cluster.clock(leader);
            let _ = cluster.proxy(leader).propose_council(now, next.clone());
            cluster.advance(200.0);
            let status = cluster.status(leader);
            status.council == next && status.council_proved
        });
    }
    let council: Vec<u64> = cluster.status(1).council.ids().collect();
    assert_eq!(council, [1, 2, 3, 4]);
    // A proxy that knows only the bootstrap council advances from proof to proof.
    cluster.converge(10_000.0);
    assert_eq!(cluster.status(6).council, cluster.status(1).council);
    cluster.crash(1);
    cluster.run_until("a leader", 10_000.0, |cluster| cluster.leader().is_some());
    run_load(&mut cluster, 500.0);
    cluster.converge(10_000.0);
    assert_consistent(&mut cluster);
}

#[test]
fn a_council_change_reported_as_done_is_trusted_by_all_after_its_leader_crashes() {
    let mut cluster = settled_cluster(5, 3, 37);
    let leader = cluster.leader().expect("has a leader");
    let member = (leader + 1) % 3;
    let without = cluster.status(leader).council.without(member as u64);
    // Of the two remaining members the leader has to sign for the third to return.
    let disk_id = cluster.status(leader).council.voter(member as u64).expect("a bootstrap member").disk_id;
    let with = without.with(crate::Voter { id: member as u64, disk_id });
    for council in [without, with] {
        cluster.run_until("the previous council is proved", 5_000.0, |cluster| {
            cluster.status(leader).council_proved
        });
        let operation = cluster.propose_council(leader, council);
        cluster.run_until("the change is reported", 5_000.0, |cluster| {
            cluster.history[operation].completed.is_some()
        });
    }
    cluster.crash(leader);
    cluster.run_until("another leader", 5_000.0, |cluster| cluster.leader().is_some());
    cluster.propose_line(4);
    cluster.run_until("the line is decided", 5_000.0, |cluster| {
        cluster.history.last().is_some_and(|operation| operation.completed.is_some())
    });
    cluster.converge(5_000.0);
    assert_consistent(&mut cluster);
}

#[test]
fn a_replica_stops_at_an_unsupported_command_and_reports_it() {
    let mut cluster = settled_cluster(5, 3, 11);
    cluster.proxy(4).machine_mut().rejects_other_parts = true;
    let now = cluster.clock(0);
    let request =
        cluster.proxy(0).propose(now, 9, 7u64.to_le_bytes().to_vec()).expect("not too many requests");
    cluster.propose_line(0);
    cluster.advance(2_000.0);
    let status = cluster.status(4);
    assert!(status.stopped.is_some_and(|what| what.contains("no such part")));
    assert_eq!(cluster.proxy(4).machine().lines.len(), 1, "no command after it either");
    assert!(cluster.proxy(3).machine().lines.len() == 3);
    assert_eq!(cluster.proxy(0).outcome(), None, "the outcome of {request} was already returned");
}

#[test]
fn forged_and_malformed_messages_are_counted_and_change_nothing() {
    let mut cluster = settled_cluster(5, 3, 12);
    let before = cluster.status(0);
    let now = cluster.clock(0);
    let junk = [&[][..], &[2], &[9, 9, 9], &[2; 900], &[2, 255, 255, 255]];
    junk.iter().for_each(|bytes| cluster.proxy(0).receive(now, 4, bytes));
    // A proxy without a vote requests votes, claims to lead, and sends a certificate without valid
    // signatures.
    let log = cluster.proxy(0).persisted.log.clone();
    let (term, last) = (before.term + 5, log.last());
    let certificate = crate::certificate::Certificate {
        statement: crate::certificate::Statement {
            index: last.index + 1,
            hash: [1; 32],
            snapshot_index: 0,
            snapshot_digest: [0; 32],
            version: 0,
            council_digest: log.council().digest(),
            state_root: [0; 32],
        },
        signatures: (0..3).map(|id| (id, vec![3; 64])).collect(),
    };
    let forged = [
        Message::RequestVote { term, pre_vote: false, disk_id: 0, last_index: 99, last_term: term },
        Message::Append {
            term,
            round: 1,
            disk_id: 0,
            prev: last.index,
            hash: last.hash,
            entries: Vec::new(),
            decided: 99,
        },
        Message::Certificate { certificate },
        Message::Vote { term, pre_vote: false, granted: true, disk_id: 0 },
        Message::FreshnessResponse { nonce: [4; 16], index: 0, signature: vec![4; 64] },
    ];
    forged.iter().for_each(|message| cluster.proxy(0).receive(now, 4, &encode(message)));
    let after = cluster.status(0);
    assert_eq!((after.term, after.applied, after.certified), (before.term, before.applied, before.certified));
    assert!(after.counts.malformed + after.counts.unknown >= 5, "{:?}", after.counts);
    assert!(after.counts.unexpected_sender >= 2 && after.counts.unproved >= 1, "{:?}", after.counts);
    assert_consistent(&mut cluster);
}

/// Guards the bounds in docs/agree.md on the time for an election and for a decision to reach all.
/// `AGREE_PROXIES` runs it with more proxies.
#[test]
fn elections_and_decisions_finish_within_the_documented_heartbeats() {
    let proxies = std::env::var("AGREE_PROXIES").ok().and_then(|n| n.parse().ok()).unwrap_or(40);
    let (mut leaders, mut known, mut idle) = (Vec::new(), [Vec::new(), Vec::new()], Vec::new());
    for seed in 20..30 {
        let mut cluster = settled_cluster(proxies, 5, seed);
        let (started_at, messages, bytes) = (cluster.now, cluster.links.messages, cluster.bytes);
        cluster.advance(5_000.0);
        let heartbeats = (cluster.now - started_at) / HEARTBEAT_MS;
        let each = |all: u64| all as f64 / heartbeats / proxies as f64;
        idle.push((each(cluster.links.messages - messages), each(cluster.bytes - bytes)));
        let leader = cluster.leader().expect("has a leader");
        cluster.crash(leader);
        leaders.push(
            cluster.run_until("another leader", 10_000.0, |cluster| cluster.leader().is_some())
                / HEARTBEAT_MS,
        );
        for (known, loss) in known.iter_mut().zip([0.0, 0.3]) {
            cluster.links.loss = loss;
            cluster.advance(1_000.0);
            cluster.propose_line(10);
            let line = cluster.history.last().and_then(|operation| operation.line).expect("a line");
            let all = |cluster: &mut Cluster| {
                cluster.proxies.iter().flatten().all(|proxy| proxy.machine().lines.contains(&line))
            };
            known.push(cluster.run_until("the line reaches all", 30_000.0, all) / HEARTBEAT_MS);
        }
        assert_consistent(&mut cluster);
    }
    // In heartbeats; docs/agree.md states these bounds.
    assert!(leaders.iter().all(|&heartbeats| heartbeats < 60.0), "{leaders:?}");
    assert!(known.iter().flatten().all(|&heartbeats| heartbeats < 80.0), "{known:?}");
    eprintln!(
        "{proxies} proxies, heartbeats to a leader {leaders:.0?}, until all know, without loss and with 30% loss: {known:.0?}"
    );
    eprintln!("idle, messages and bytes per proxy and heartbeat {idle:.2?}");
}

#[test]
fn a_duplicated_request_is_decided_and_answered_once() {
    let mut cluster = settled_cluster(4, 3, 13);
    let now = cluster.clock(3);
    assert_eq!(cluster.proxy(3).propose(now, 0, vec![0; 500]), Err(Refusal::TooLong));
    let request =
        cluster.proxy(3).propose(now, 0, 9u64.to_le_bytes().to_vec()).expect("not too many requests");
    cluster.links.duplication = 0.5;
    let mut outcomes = Vec::new();
    for _ in 0..200 {
        // The outcomes are read here, before the cluster reads them.
        cluster.advance(5.0);
        outcomes.extend(cluster.proxy(3).outcome());
    }
    assert!(outcomes.len() <= 1, "{outcomes:?}");
    assert!(
        outcomes.iter().all(|(of, outcome)| *of == request && matches!(outcome, Outcome::Decided { .. }))
    );
    assert_eq!(cluster.proxy(0).machine().lines, [1, 9]);
}
