//! Messages that no honest member sends: floods, forgeries, unknown versions, old and duplicated ones.
//! Nothing panics, memory stays bounded, and what is in force stays proved.

mod cluster;

use agree::certificate::{CouncilProof, Signer};
use agree::freshness::FreshnessProof;
use cluster::council::Keys;
use cluster::{Cluster, HEARTBEAT_MS, IN_FORCE_WITHIN_MS, control_id, subscriber_id};
use distribution::batch::{Batch, BatchPath};
use distribution::cursor::Cursor;
use distribution::wire::{
    self, Changes, DecodeError, KeyChange, MAX_DATAGRAM_BYTES, Message, Poll, Position, Transfer,
};
use distribution::{Key, Scope};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SERVICE: Scope = Scope::Service(7);

fn converged() -> Cluster {
    let mut cluster = Cluster::new(2, 1);
    cluster.set(SERVICE, "a", b"1");
    for _ in 0..5 {
        cluster.add_proxy(&[SERVICE, Scope::All]);
    }
    cluster.run_until_converged(IN_FORCE_WITHIN_MS);
    cluster.run(2.0 * HEARTBEAT_MS);
    cluster.honest = false;
    cluster
}

fn change(version: u64, key: &str, value: &[u8]) -> KeyChange {
    KeyChange { version, key: Key::new(key).expect("a valid key"), value: Some(value.to_vec()) }
}

fn changes(base: u64, seen: u64, after: Cursor, changes: Vec<KeyChange>) -> Changes {
    Changes { scope: SERVICE, base, source_version: seen, after, changes, complete: true }
}

/// Sends messages to a subscriber in a control machine's name.
fn send_as_control(cluster: &mut Cluster, number: usize, messages: &[Message]) {
    let now = cluster.now;
    let subscriber = cluster.proxies[number].subscriber.as_mut().expect("running");
    for bytes in wire::encode(messages) {
        subscriber.receive(now, control_id(0), &bytes);
    }
}

#[test]
fn datagrams_decode_to_what_was_encoded_and_malformed_ones_are_rejected() {
    let poll = Poll { nonce: 1, council_since: 2, scopes: vec![(SERVICE, Position::default())] };
    let messages = [Message::Poll(poll), Message::RetryLater { after_ms: 5 }];
    let bytes = wire::encode(&messages).remove(0);
    assert_eq!(wire::decode(&bytes).as_deref(), Ok(&messages[..]));
    assert_eq!(wire::decode(&[]), Err(DecodeError::Form));
    assert_eq!(wire::decode(&bytes[..1]), Err(DecodeError::Form));
    assert_eq!(wire::decode(&bytes[..bytes.len() - 1]), Err(DecodeError::Form));
    assert_eq!(wire::decode(&[0; MAX_DATAGRAM_BYTES + 1]), Err(DecodeError::Oversized));
    let unknown = [&[wire::VERSION + 1], &bytes[1..]].concat();
    assert_eq!(wire::decode(&unknown), Err(DecodeError::Version));
    let long = Message::Changes(changes(0, 1, Cursor::end_of(0), vec![change(1, "a", &[0; 401])]));
    assert_eq!(wire::decode(&wire::encode(&[long])[0]), Err(DecodeError::Bounds));
}

#[test]
fn the_longest_change_certificate_and_council_proof_fit_a_datagram() {
    let key = "k".repeat(distribution::entry::MAX_KEY_BYTES);
    let after = Cursor::at(u64::MAX, Key::new(key.clone()).expect("a valid key"));
    let longest = change(u64::MAX, &key, &[0; distribution::entry::MAX_VALUE_BYTES]);
    let longest = Message::Changes(changes(u64::MAX, u64::MAX, after, vec![longest]));
    let mut cluster = Cluster::new(1, 1);
    for _ in 0..4 {
        cluster.council.elect(0.0);
    }
    let council_proof = cluster.council.council_proofs().last().expect("elected").clone();
    assert_eq!(council_proof.council.voters().len(), agree::council::MAX_VOTERS);
    let certificate = cluster.council.certificate(4).expect("certified").clone();
    let sizes: Vec<usize> =
        [longest, Message::CouncilProof(council_proof), Message::Certificate(certificate)]
            .iter()
            .map(|of| wire::encode(std::slice::from_ref(of))[0].len())
            .collect();
    println!("{sizes:?} bytes");
    assert!(sizes.iter().all(|&size| size <= MAX_DATAGRAM_BYTES));
}

#[test]
fn random_bytes_and_damaged_datagrams_have_no_effect() {
    let mut cluster = converged();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let poll = Poll { nonce: 1, council_since: 0, scopes: vec![(SERVICE, Position::default())] };
    let certificate = cluster.council.certificate(1).expect("certified").clone();
    let proof = cluster.council.state(1).proof(SERVICE);
    let messages = [
        Message::Poll(poll),
        Message::Proof { scope: SERVICE, index: 1, proof },
        Message::Certificate(certificate),
    ];
    let valid = wire::encode(&messages);
    for round in 0..20_000 {
        let mut bytes = valid[round % valid.len()].clone();
        if round % 2 == 0 {
            let at = rng.random_range(0..bytes.len());
            bytes[at] ^= rng.random_range(1..=255u8);
        } else {
            bytes = (0..rng.random_range(0..MAX_DATAGRAM_BYTES)).map(|_| rng.random()).collect();
            bytes.insert(0, wire::VERSION);
        }
        let now = cluster.now;
        cluster.machines[0].control.as_mut().expect("running").receive(now, subscriber_id(60), &bytes);
        let subscriber = cluster.proxies[0].subscriber.as_mut().expect("running");
        subscriber.receive(now, control_id(0), &bytes);
        subscriber.receive(now, subscriber_id(1), &bytes);
    }
    let counts = cluster.subscriber(0).status(cluster.now).counts;
    assert!(counts.malformed > 5_000 && counts.unexpected >= 20_000, "{counts:?}");
    cluster.set(SERVICE, "a", b"9");
    cluster.run_until_converged(2.0 * IN_FORCE_WITHIN_MS);
}

#[test]
fn a_flood_of_polls_leaves_a_control_machine_bounded_and_usable() {
    let mut cluster = converged();
    cluster.terms.max_subscribers = 50;
    cluster.start_machine(0);
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    for round in 0..40_000u64 {
        let scope = |_| {
            let key = Key::new("k".repeat(100)).expect("a valid key");
            let after = Cursor::at(rng.random(), key);
            let transfer = Transfer { base: rng.random(), source_version: rng.random_range(0..4), after };
            (Scope::Service(rng.random()), Position { in_force: rng.random(), transfer: Some(transfer) })
        };
        let scopes = (0..5).map(scope).collect();
        let poll = Poll { nonce: rng.random(), council_since: 0, scopes };
        let bytes = wire::encode(&[Message::Poll(poll)]).remove(0);
        let now = cluster.now;
        let control = cluster.machines[0].control.as_mut().expect("running");
        control.receive(now, subscriber_id(1000 + (round % 200) as usize), &bytes);
        if round % 100 == 0 {
            cluster.step();
        }
    }
    let status = cluster.control(0).status();
    assert!(status.subscribers <= 50, "{status:?}");
    assert!(status.counts.rate_limited > 0 && status.counts.deferred > 0, "{status:?}");
    let size = format!("{:?}", cluster.control(0)).len();
    assert!(size < 20_000_000, "{size} bytes to print");
    cluster.set(SERVICE, "a", b"9");
    cluster.run_until_converged(60.0 * HEARTBEAT_MS);
}

#[test]
fn a_subscriber_accepts_no_forged_state_from_a_control_machine() {
    let mut cluster = converged();
    let (index, cursor) = (cluster.council.index(), Cursor::end_of(cluster.council.index()));
    let valid = cluster.council.state(index).proof(SERVICE);
    for round in 0..200u64 {
        let newer = index + 1 + round;
        let forged = changes(index, newer, cursor.clone(), vec![change(newer, "a", b"x")]);
        let out_of_order =
            changes(0, newer, Cursor::end_of(0), vec![change(9, "a", b"x"), change(8, "b", b"x")]);
        let mut certificate = cluster.council.certificate(index).expect("certified").clone();
        certificate.statement.index = newer;
        let mut council_proof =
            CouncilProof { council: agree::Council::bootstrap([9]), certificate: certificate.clone() };
        council_proof.certificate.statement.version = newer;
        let proof = Message::Proof { scope: SERVICE, index: newer, proof: valid.clone() };
        let wrong_scope = Message::Proof { scope: Scope::All, index, proof: valid.clone() };
        let messages = [
            Message::Changes(forged),
            Message::Changes(out_of_order),
            proof,
            wrong_scope,
            Message::Certificate(certificate),
            Message::CouncilProof(council_proof),
        ];
        send_as_control(&mut cluster, 0, &messages);
        cluster.run(25.0);
    }
    let counts = cluster.subscriber(0).status(cluster.now).counts;
    assert!(counts.unverified > 100 && counts.malformed >= 200 && counts.rate_limited > 0, "{counts:?}");
    assert_eq!(cluster.subscriber(0).index(SERVICE), index);
    let size = format!("{:?}", cluster.subscriber(0)).len();
    assert!(size < 200_000, "{size} bytes to print");
    cluster.set(SERVICE, "a", b"9");
    cluster.run_until_converged(20.0 * HEARTBEAT_MS);
    // A valid continuation except for its content.
    let (index, next) = (cluster.council.index(), cluster.council.index() + 1);
    let forged = changes(index, next, Cursor::end_of(index), vec![change(next, "a", b"x")]);
    send_as_control(&mut cluster, 0, &[Message::Changes(forged)]);
    cluster.set(SERVICE, "a", b"10");
    cluster.run_until_converged(20.0 * HEARTBEAT_MS);
    assert_eq!(
        cluster.subscriber(0).status(cluster.now).counts.mismatched,
        1,
        "the forged content was detected"
    );
}

#[test]
fn a_scope_without_end_is_dropped_at_the_size_limit() {
    let mut cluster = converged();
    let mut after = Cursor::end_of(0);
    for round in 1..4000u64 {
        let key = format!("k{round}");
        let mut forged = changes(50, 1_000_000, after, vec![change(round, &key, &[0; 400])]);
        forged.complete = false;
        after = forged.end();
        send_as_control(&mut cluster, 0, &[Message::Changes(forged)]);
    }
    let counts = cluster.subscriber(0).status(cluster.now).counts;
    assert!(counts.malformed > 0, "{counts:?}");
    let size = format!("{:?}", cluster.subscriber(0).position(SERVICE)).len();
    assert!(size < 1000);
}

#[test]
fn old_duplicated_and_reordered_datagrams_do_not_block_convergence() {
    let mut cluster = Cluster::new(2, 3);
    cluster.links.duplication = 0.5;
    // Longer in transit than any answer is awaited: everything that arrives is old.
    cluster.links.max_delay = 3.0 * HEARTBEAT_MS;
    cluster.links.loss = 0.2;
    cluster.set(SERVICE, "a", b"1");
    for _ in 0..8 {
        cluster.add_proxy(&[SERVICE, Scope::All]);
    }
    for round in 0..120u8 {
        cluster.set(SERVICE, &format!("k{}", round % 7), &[round; 300]);
        if round % 3 == 0 {
            cluster.decide(&[(SERVICE, &format!("k{}", round % 5), None)]);
        }
        cluster.run(250.0);
    }
    cluster.run_until_converged(30.0 * HEARTBEAT_MS);
}

#[rstest]
#[case::signed_by_a_non_voter(control_id(0), 0)]
#[case::for_another_index(50, 1)]
fn a_forged_freshness_proof_does_not_lower_the_age(#[case] signer: u64, #[case] more: u64) {
    let mut cluster = converged();
    cluster.leaderless = true;
    cluster.run(4.0 * HEARTBEAT_MS);
    let before = cluster.subscriber(0).age(SERVICE, cluster.now);
    // The poll's nonce, which the serving control machine also knows.
    let now = cluster.now;
    let subscriber = cluster.proxies[0].subscriber.as_mut().expect("running");
    let nonces = loop {
        subscriber.turn(subscriber.due().max(now));
        if let Some(out) = subscriber.outgoing() {
            let messages = wire::decode(&out.bytes).expect("it decodes");
            break messages
                .into_iter()
                .filter_map(|of| match of {
                    Message::Poll(poll) => Some((out.to, poll.nonce)),
                    _ => None,
                })
                .next()
                .expect("a poll");
        }
    };
    let batch = Batch::new(&[nonces.1]);
    let index = cluster.council.index();
    let mut proof = FreshnessProof::sign(signer, batch.nonce(), index, &Keys(signer));
    proof.index = index - more;
    let fresh = Message::Freshness { nonce: nonces.1, path: batch.path(0), proof };
    let subscriber = cluster.proxies[0].subscriber.as_mut().expect("running");
    wire::encode(&[fresh]).iter().for_each(|bytes| subscriber.receive(now, nonces.0, bytes));
    assert!(subscriber.age(SERVICE, now) >= before);
    assert_eq!(subscriber.status(now).counts.unverified, 1);
}

#[test]
fn a_batch_path_verifies_its_own_nonce_and_no_other() {
    for count in [1, 2, 3, 7, 64, 1000] {
        let nonces: Vec<u64> = (0..count).collect();
        let batch = Batch::new(&nonces);
        for (index, &nonce) in nonces.iter().enumerate() {
            assert!(batch.path(index).verifies(nonce, &batch.nonce()), "{index} of {count}");
            assert!(!batch.path(index).verifies(nonce + 1, &batch.nonce()));
        }
        assert!(!BatchPath::default().verifies(count, &batch.nonce()));
    }
    assert!(Keys(1).verify(1, b"x", &Keys(1).sign(b"x")));
}
