//! What is proved to those who do not follow the log: the machine's root by the seal, and how far decisions
//! were by a voter's signature.

use rstest::rstest;

use super::cluster::Cluster;
use super::fakes::{Keys, RecordingMachine};
use crate::{FreshnessProof, Machine, Nonce};

const VOTERS: usize = 3;
const NONCE: Nonce = [7; 16];

fn settled_cluster() -> Cluster {
    let mut cluster = Cluster::new(5, VOTERS, 31);
    cluster.run_until("a leader", 5_000.0, |cluster| cluster.leader().is_some());
    cluster.propose_line(0);
    cluster.run_until("a line", 5_000.0, |cluster| cluster.history[0].completed.is_some());
    cluster.converge(5_000.0);
    cluster
}

/// Who asks, as a place in the world.
#[derive(Clone, Copy)]
enum Requester {
    Leader,
    Follower,
    Outsider,
}

fn requester_node(cluster: &Cluster, requester: Requester) -> usize {
    let leader = cluster.leader().expect("leads");
    match requester {
        Requester::Leader => leader,
        Requester::Follower => (leader + 1) % VOTERS,
        Requester::Outsider => VOTERS,
    }
}

fn proof(cluster: &mut Cluster, node: usize) -> Option<FreshnessProof> {
    (0..400).find_map(|_| {
        cluster.advance(5.0);
        cluster.proxy(node).next_freshness_proof()
    })
}

#[rstest]
#[case::the_leader(Requester::Leader)]
#[case::a_member(Requester::Follower)]
#[case::one_without_a_seat(Requester::Outsider)]
fn how_far_decisions_are_is_proved_to_whoever_asks_and_can_be_passed_on(#[case] requester: Requester) {
    let mut cluster = settled_cluster();
    let node = requester_node(&cluster, requester);
    let known = cluster.status(node).applied;
    cluster.proxy(node).request_freshness(NONCE);
    let proof = proof(&mut cluster, node).expect("an answer");
    let council = cluster.status(node).council;
    assert!(proof.nonce == NONCE && proof.index >= known, "{proof:?}, {known} before");
    assert!(proof.is_valid(&council, &Keys(99)));
    // Neither another index nor another nonce nor another signer stands by the signature.
    let other = [
        FreshnessProof { index: proof.index + 1, ..proof.clone() },
        FreshnessProof { nonce: [8; 16], ..proof.clone() },
        FreshnessProof { signer: (proof.signer + 1) % VOTERS as u64, ..proof.clone() },
        FreshnessProof { signature: vec![1], ..proof.clone() },
    ];
    assert!(other.iter().all(|proof| !proof.is_valid(&council, &Keys(99))));
    assert!(!FreshnessProof::sign(4, NONCE, 1, &Keys(4)).is_valid(&council, &Keys(99)), "no voter");
}

#[test]
fn nobody_answers_for_how_far_decisions_are_without_a_majority() {
    let mut cluster = settled_cluster();
    let leader = cluster.leader().expect("leads");
    (0..VOTERS).filter(|&node| node != leader).for_each(|node| cluster.crash(node));
    cluster.proxy(leader).request_freshness(NONCE);
    assert!(proof(&mut cluster, leader).is_none());
}

#[test]
fn an_answer_with_a_signature_that_is_no_voters_is_not_passed_on() {
    let mut cluster = settled_cluster();
    let now = cluster.clock(3);
    cluster.proxy(3).request_freshness(NONCE);
    let before = cluster.status(3).counts.unproved;
    let message =
        crate::wire::Message::FreshnessResponse { nonce: NONCE, index: 900, signature: vec![4; 64] };
    cluster.proxy(3).receive(now, 0, &crate::wire::encode(&message));
    assert_eq!(cluster.status(3).counts.unproved, before + 1);
    let proof = proof(&mut cluster, 3).expect("the true answer");
    assert!(proof.index < 900);
}

/// The seal of each proxy names the root of all that is decided up to its index.
fn assert_certificates_name_roots(cluster: &mut Cluster) {
    for node in 0..5 {
        let statement = cluster.proxy(node).certificate().expect("sealed").statement.clone();
        // Entries without a line, as a leader's first, change nothing.
        let lines = cluster.proxy(node).machine().lines.clone();
        let roots = (0..=lines.len())
            .map(|end| RecordingMachine { lines: lines[..end].to_vec(), rejects_other_parts: false }.root());
        assert!(roots.into_iter().any(|root| root == statement.state_root), "{statement:?}");
    }
}

#[test]
fn seals_name_the_machines_root_also_after_a_snapshot() {
    let mut cluster = settled_cluster();
    assert_certificates_name_roots(&mut cluster);
    let newest = cluster.status(0);
    let root = cluster.proxy(0).machine().root();
    let certificate = cluster.proxy(0).certificate().expect("sealed").statement.clone();
    assert_eq!(
        (certificate.index, certificate.state_root),
        (newest.applied, root),
        "at rest it is the newest one's"
    );
    // One that was away for more than a snapshot begins anew from one.
    cluster.crash(4);
    for _ in 0..300 {
        cluster.propose_line(0);
        cluster.advance(20.0);
    }
    cluster.start(4);
    cluster.converge(20_000.0);
    cluster.advance(1_000.0);
    assert_certificates_name_roots(&mut cluster);
    assert!(cluster.violations.is_empty(), "{:#?}", cluster.violations);
}
