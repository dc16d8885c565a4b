//! Proofs for proxies that do not follow the log: the state root in the certificate, and freshness proofs
//! signed by a voter.

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

/// The proxy that requests the proof.
#[derive(Clone, Copy)]
enum Requester {
    Leader,
    Follower,
    Outsider,
}

fn requester_node(cluster: &Cluster, requester: Requester) -> usize {
    let leader = cluster.leader().expect("has a leader");
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
#[case::a_proxy_without_a_vote(Requester::Outsider)]
fn a_freshness_proof_is_valid_for_every_requester_and_can_be_passed_on(#[case] requester: Requester) {
    let mut cluster = settled_cluster();
    let node = requester_node(&cluster, requester);
    let known = cluster.status(node).applied;
    cluster.proxy(node).request_freshness(NONCE);
    let proof = proof(&mut cluster, node).expect("an answer");
    let council = cluster.status(node).council;
    assert!(proof.nonce == NONCE && proof.index >= known, "{proof:?}, {known} before");
    assert!(proof.is_valid(&council, &Keys(99)));
    // The signature covers the index, the nonce and the signer.
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
fn without_a_majority_there_is_no_freshness_proof() {
    let mut cluster = settled_cluster();
    let leader = cluster.leader().expect("has a leader");
    (0..VOTERS).filter(|&node| node != leader).for_each(|node| cluster.crash(node));
    cluster.proxy(leader).request_freshness(NONCE);
    assert!(proof(&mut cluster, leader).is_none());
}

#[test]
fn a_freshness_answer_not_signed_by_a_voter_is_dropped() {
    let mut cluster = settled_cluster();
    let now = cluster.clock(3);
    cluster.proxy(3).request_freshness(NONCE);
    let before = cluster.status(3).counts.unproved;
    let message =
        crate::wire::Message::FreshnessResponse { nonce: NONCE, index: 900, signature: vec![4; 64] };
    cluster.proxy(3).receive(now, 0, &crate::wire::encode(&message));
    assert_eq!(cluster.status(3).counts.unproved, before + 1);
    let proof = proof(&mut cluster, 3).expect("the valid answer");
    assert!(proof.index < 900);
}

/// Each proxy's certificate has to name the state root at its index.
fn assert_certificates_name_roots(cluster: &mut Cluster) {
    for node in 0..5 {
        let statement = cluster.proxy(node).certificate().expect("certified").statement.clone();
        // Entries without a line, such as a leader's first, do not change the state.
        let lines = cluster.proxy(node).machine().lines.clone();
        let roots = (0..=lines.len())
            .map(|end| RecordingMachine { lines: lines[..end].to_vec(), rejects_other_parts: false }.root());
        assert!(roots.into_iter().any(|root| root == statement.state_root), "{statement:?}");
    }
}

#[test]
fn certificates_name_the_state_root_also_after_a_snapshot() {
    let mut cluster = settled_cluster();
    assert_certificates_name_roots(&mut cluster);
    let newest = cluster.status(0);
    let root = cluster.proxy(0).machine().root();
    let certificate = cluster.proxy(0).certificate().expect("certified").statement.clone();
    assert_eq!(
        (certificate.index, certificate.state_root),
        (newest.applied, root),
        "a settled cluster has certified its newest entry"
    );
    // A proxy that missed more than a snapshot's entries starts again from a snapshot.
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
