//! What is proved to those who do not follow the log: the machine's root by the seal, and how far decisions
//! were by a voter's signature.

use rstest::rstest;

use super::parts::{Book, Keys};
use super::world::World;
use crate::{FreshnessProof, Machine, Nonce};

const FOUNDERS: usize = 3;
const NONCE: Nonce = [7; 16];

fn settled() -> World {
    let mut world = World::new(5, FOUNDERS, 31);
    world.until("a leader", 5_000.0, |world| world.leader().is_some());
    world.ask(0);
    world.until("a line", 5_000.0, |world| world.history[0].ended.is_some());
    world.settles(5_000.0);
    world
}

/// Who asks, as a place in the world.
#[derive(Clone, Copy)]
enum Asker {
    Leader,
    Follower,
    Outsider,
}

fn place(world: &World, asker: Asker) -> usize {
    let leader = world.leader().expect("leads");
    match asker {
        Asker::Leader => leader,
        Asker::Follower => (leader + 1) % FOUNDERS,
        Asker::Outsider => FOUNDERS,
    }
}

fn proof(world: &mut World, at: usize) -> Option<FreshnessProof> {
    (0..400).find_map(|_| {
        world.pass(5.0);
        world.proxy(at).next_freshness_proof()
    })
}

#[rstest]
#[case::the_leader(Asker::Leader)]
#[case::a_member(Asker::Follower)]
#[case::one_without_a_seat(Asker::Outsider)]
fn how_far_decisions_are_is_proved_to_whoever_asks_and_can_be_passed_on(#[case] asker: Asker) {
    let mut world = settled();
    let at = place(&world, asker);
    let known = world.status(at).applied;
    world.proxy(at).request_freshness(NONCE);
    let proof = proof(&mut world, at).expect("an answer");
    let council = world.status(at).council;
    assert!(proof.nonce == NONCE && proof.index >= known, "{proof:?}, {known} before");
    assert!(proof.is_valid(&council, &Keys(99)));
    // Neither another index nor another nonce nor another signer stands by the signature.
    let other = [
        FreshnessProof { index: proof.index + 1, ..proof.clone() },
        FreshnessProof { nonce: [8; 16], ..proof.clone() },
        FreshnessProof { signer: (proof.signer + 1) % FOUNDERS as u64, ..proof.clone() },
        FreshnessProof { signature: vec![1], ..proof.clone() },
    ];
    assert!(other.iter().all(|proof| !proof.is_valid(&council, &Keys(99))));
    assert!(!FreshnessProof::sign(4, NONCE, 1, &Keys(4)).is_valid(&council, &Keys(99)), "no voter");
}

#[test]
fn nobody_answers_for_how_far_decisions_are_without_a_majority() {
    let mut world = settled();
    let leader = world.leader().expect("leads");
    (0..FOUNDERS).filter(|&place| place != leader).for_each(|place| world.crash(place));
    world.proxy(leader).request_freshness(NONCE);
    assert!(proof(&mut world, leader).is_none());
}

#[test]
fn an_answer_with_a_signature_that_is_no_voters_is_not_passed_on() {
    let mut world = settled();
    let now = world.clock(3);
    world.proxy(3).request_freshness(NONCE);
    let before = world.status(3).counts.unproved;
    let message = crate::wire::Message::FreshIs { nonce: NONCE, index: 900, signature: vec![4; 64] };
    world.proxy(3).receive(now, 0, &crate::wire::write(&message));
    assert_eq!(world.status(3).counts.unproved, before + 1);
    let proof = proof(&mut world, 3).expect("the true answer");
    assert!(proof.index < 900);
}

/// The seal of each proxy names the root of all that is decided up to its index.
fn seals_name_roots(world: &mut World) {
    for place in 0..5 {
        let statement = world.proxy(place).certificate().expect("sealed").statement.clone();
        // Entries without a line, as a leader's first, change nothing.
        let lines = world.proxy(place).machine().lines.clone();
        let roots = (0..=lines.len()).map(|end| Book { lines: lines[..end].to_vec(), old: false }.root());
        assert!(roots.into_iter().any(|root| root == statement.state_root), "{statement:?}");
    }
}

#[test]
fn seals_name_the_machines_root_also_after_a_snapshot() {
    let mut world = settled();
    seals_name_roots(&mut world);
    let newest = world.status(0);
    let root = world.proxy(0).machine().root();
    let seal = world.proxy(0).certificate().expect("sealed").statement.clone();
    assert_eq!((seal.index, seal.state_root), (newest.applied, root), "at rest it is the newest one's");
    // One that was away for more than a snapshot begins anew from one.
    world.crash(4);
    for _ in 0..300 {
        world.ask(0);
        world.pass(20.0);
    }
    world.start(4);
    world.settles(20_000.0);
    world.pass(1_000.0);
    seals_name_roots(&mut world);
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
}
