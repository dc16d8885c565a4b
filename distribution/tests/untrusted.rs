//! Messages that nobody honest sends: floods, forgeries, unknown versions, old and doubled ones. Nothing
//! panics, memory stays bounded, and what is in force stays proved.

mod world;

use agree::certificate::{CouncilProof, Signer};
use agree::freshness::FreshnessProof;
use distribution::batch::{Batch, BatchPath};
use distribution::cursor::Cursor;
use distribution::wire::{
    self, Changes, DecodeError, KeyChange, MAX_DATAGRAM_BYTES, Message, Poll, Position, Transfer,
};
use distribution::{Key, Scope};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use world::council::Keys;
use world::{HEARTBEAT, IN_FORCE, World, control_id, subscriber_id};

const SERVICE: Scope = Scope::Service(7);

fn settled() -> World {
    let mut world = World::new(2, 1);
    world.set(SERVICE, "a", b"1");
    for _ in 0..5 {
        world.add_proxy(&[SERVICE, Scope::All]);
    }
    world.run_until_all_are_new(IN_FORCE);
    world.run(2.0 * HEARTBEAT);
    world.honest = false;
    world
}

fn change(version: u64, key: &str, value: &[u8]) -> KeyChange {
    KeyChange { version, key: Key::new(key).expect("fit"), value: Some(value.to_vec()) }
}

fn changes(base: u64, seen: u64, after: Cursor, changes: Vec<KeyChange>) -> Changes {
    Changes { scope: SERVICE, base, source_version: seen, after, changes, complete: true }
}

/// Says something to a subscriber in a control machine's name.
fn say(world: &mut World, number: usize, messages: &[Message]) {
    let now = world.now;
    let subscriber = world.proxies[number].subscriber.as_mut().expect("runs");
    for bytes in wire::encode(messages) {
        subscriber.receive(now, control_id(0), &bytes);
    }
}

#[test]
fn datagrams_come_back_the_same_and_others_are_refused() {
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
fn the_longest_change_seal_and_council_fit_a_datagram() {
    let key = "k".repeat(distribution::entry::MAX_KEY_BYTES);
    let after = Cursor::at(u64::MAX, Key::new(key.clone()).expect("fit"));
    let longest = change(u64::MAX, &key, &[0; distribution::entry::MAX_VALUE_BYTES]);
    let longest = Message::Changes(changes(u64::MAX, u64::MAX, after, vec![longest]));
    let mut world = World::new(1, 1);
    for _ in 0..4 {
        world.council.elect(0.0);
    }
    let link = world.council.links().last().expect("elected").clone();
    assert_eq!(link.council.voters().len(), agree::council::MAX_VOTERS);
    let seal = world.council.seal(4).expect("sealed").clone();
    let sizes: Vec<usize> = [longest, Message::CouncilProof(link), Message::Certificate(seal)]
        .iter()
        .map(|of| wire::encode(std::slice::from_ref(of))[0].len())
        .collect();
    println!("{sizes:?} bytes");
    assert!(sizes.iter().all(|&size| size <= MAX_DATAGRAM_BYTES));
}

#[test]
fn random_bytes_and_damaged_datagrams_do_nothing() {
    let mut world = settled();
    let mut chance = Pcg64Mcg::seed_from_u64(1);
    let poll = Poll { nonce: 1, council_since: 0, scopes: vec![(SERVICE, Position::default())] };
    let seal = world.council.seal(1).expect("sealed").clone();
    let proof = world.council.state(1).proof(SERVICE);
    let messages =
        [Message::Poll(poll), Message::Proof { scope: SERVICE, index: 1, proof }, Message::Certificate(seal)];
    let sound = wire::encode(&messages);
    for round in 0..20_000 {
        let mut bytes = sound[round % sound.len()].clone();
        if round % 2 == 0 {
            let at = chance.random_range(0..bytes.len());
            bytes[at] ^= chance.random_range(1..=255u8);
        } else {
            bytes = (0..chance.random_range(0..MAX_DATAGRAM_BYTES)).map(|_| chance.random()).collect();
            bytes.insert(0, wire::VERSION);
        }
        let now = world.now;
        world.machines[0].control.as_mut().expect("runs").receive(now, subscriber_id(60), &bytes);
        let subscriber = world.proxies[0].subscriber.as_mut().expect("runs");
        subscriber.receive(now, control_id(0), &bytes);
        subscriber.receive(now, subscriber_id(1), &bytes);
    }
    let counts = world.subscriber(0).status(world.now).counts;
    assert!(counts.malformed > 5_000 && counts.unexpected >= 20_000, "{counts:?}");
    world.set(SERVICE, "a", b"9");
    world.run_until_all_are_new(2.0 * IN_FORCE);
}

#[test]
fn a_flood_of_polls_from_many_members_leaves_a_control_machine_bounded_and_of_use() {
    let mut world = settled();
    world.terms.max_subscribers = 50;
    world.start_machine(0);
    let mut chance = Pcg64Mcg::seed_from_u64(2);
    for round in 0..40_000u64 {
        let scope = |_| {
            let key = Key::new("k".repeat(100)).expect("fit");
            let after = Cursor::at(chance.random(), key);
            let transfer =
                Transfer { base: chance.random(), source_version: chance.random_range(0..4), after };
            (
                Scope::Service(chance.random()),
                Position { in_force: chance.random(), transfer: Some(transfer) },
            )
        };
        let scopes = (0..5).map(scope).collect();
        let poll = Poll { nonce: chance.random(), council_since: 0, scopes };
        let bytes = wire::encode(&[Message::Poll(poll)]).remove(0);
        let now = world.now;
        let control = world.machines[0].control.as_mut().expect("runs");
        control.receive(now, subscriber_id(1000 + (round % 200) as usize), &bytes);
        if round % 100 == 0 {
            world.step();
        }
    }
    let standing = world.control(0).status();
    assert!(standing.subscribers <= 50, "{standing:?}");
    assert!(standing.counts.rate_limited > 0 && standing.counts.deferred > 0, "{standing:?}");
    let size = format!("{:?}", world.control(0)).len();
    assert!(size < 20_000_000, "{size} bytes to print");
    world.set(SERVICE, "a", b"9");
    world.run_until_all_are_new(60.0 * HEARTBEAT);
}

#[test]
fn a_subscriber_is_not_led_astray_by_a_control_machine_that_makes_things_up() {
    let mut world = settled();
    let (index, cursor) = (world.council.index(), Cursor::end_of(world.council.index()));
    let sound = world.council.state(index).proof(SERVICE);
    for round in 0..200u64 {
        let newer = index + 1 + round;
        let made_up = changes(index, newer, cursor.clone(), vec![change(newer, "a", b"x")]);
        let out_of_order =
            changes(0, newer, Cursor::end_of(0), vec![change(9, "a", b"x"), change(8, "b", b"x")]);
        let mut seal = world.council.seal(index).expect("sealed").clone();
        seal.statement.index = newer;
        let mut link = CouncilProof { council: agree::Council::bootstrap([9]), certificate: seal.clone() };
        link.certificate.statement.version = newer;
        let proof = Message::Proof { scope: SERVICE, index: newer, proof: sound.clone() };
        let wrong = Message::Proof { scope: Scope::All, index, proof: sound.clone() };
        let messages = [
            Message::Changes(made_up),
            Message::Changes(out_of_order),
            proof,
            wrong,
            Message::Certificate(seal),
            Message::CouncilProof(link),
        ];
        say(&mut world, 0, &messages);
        world.run(25.0);
    }
    let counts = world.subscriber(0).status(world.now).counts;
    assert!(counts.unverified > 100 && counts.malformed >= 200 && counts.rate_limited > 0, "{counts:?}");
    assert_eq!(world.subscriber(0).index(SERVICE), index);
    let size = format!("{:?}", world.subscriber(0)).len();
    assert!(size < 200_000, "{size} bytes to print");
    world.set(SERVICE, "a", b"9");
    world.run_until_all_are_new(20.0 * HEARTBEAT);
    // What could follow, but for its content.
    let (index, next) = (world.council.index(), world.council.index() + 1);
    let made_up = changes(index, next, Cursor::end_of(index), vec![change(next, "a", b"x")]);
    say(&mut world, 0, &[Message::Changes(made_up)]);
    world.set(SERVICE, "a", b"10");
    world.run_until_all_are_new(20.0 * HEARTBEAT);
    assert_eq!(world.subscriber(0).status(world.now).counts.mismatched, 1, "it was found out");
}

#[test]
fn an_endless_scope_is_given_up() {
    let mut world = settled();
    let mut after = Cursor::end_of(0);
    for round in 1..4000u64 {
        let key = format!("k{round}");
        let mut made_up = changes(50, 1_000_000, after, vec![change(round, &key, &[0; 400])]);
        made_up.complete = false;
        after = made_up.end();
        say(&mut world, 0, &[Message::Changes(made_up)]);
    }
    let counts = world.subscriber(0).status(world.now).counts;
    assert!(counts.malformed > 0, "{counts:?}");
    let size = format!("{:?}", world.subscriber(0).position(SERVICE)).len();
    assert!(size < 1000);
}

#[test]
fn what_is_old_doubled_or_out_of_order_does_no_harm() {
    let mut world = World::new(2, 3);
    world.links.duplication = 0.5;
    // Longer on the way than anything waits for an answer: all that comes is old.
    world.links.max_delay = 3.0 * HEARTBEAT;
    world.links.loss = 0.2;
    world.set(SERVICE, "a", b"1");
    for _ in 0..8 {
        world.add_proxy(&[SERVICE, Scope::All]);
    }
    for round in 0..120u8 {
        world.set(SERVICE, &format!("k{}", round % 7), &[round; 300]);
        if round % 3 == 0 {
            world.decide(&[(SERVICE, &format!("k{}", round % 5), None)]);
        }
        world.run(250.0);
    }
    world.run_until_all_are_new(30.0 * HEARTBEAT);
}

#[rstest]
#[case::by_no_voter(control_id(0), 0)]
#[case::of_another_index(50, 1)]
fn made_up_freshness_gives_no_age(#[case] signer: u64, #[case] more: u64) {
    let mut world = settled();
    world.leaderless = true;
    world.run(4.0 * HEARTBEAT);
    let before = world.subscriber(0).age(SERVICE, world.now);
    // It hears the poll's nonce, as the control machine that serves does.
    let now = world.now;
    let subscriber = world.proxies[0].subscriber.as_mut().expect("runs");
    let nonces = loop {
        subscriber.turn(subscriber.due().max(now));
        if let Some(out) = subscriber.outgoing() {
            let messages = wire::decode(&out.bytes).expect("its own");
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
    let index = world.council.index();
    let mut proof = FreshnessProof::sign(signer, batch.nonce(), index, &Keys(signer));
    proof.index = index - more;
    let fresh = Message::Freshness { nonce: nonces.1, path: batch.path(0), proof };
    let subscriber = world.proxies[0].subscriber.as_mut().expect("runs");
    wire::encode(&[fresh]).iter().for_each(|bytes| subscriber.receive(now, nonces.0, bytes));
    assert!(subscriber.age(SERVICE, now) >= before);
    assert_eq!(subscriber.status(now).counts.unverified, 1);
}

#[test]
fn a_batch_of_nonces_proves_each_of_them_and_no_other() {
    for count in [1, 2, 3, 7, 64, 1000] {
        let nonces: Vec<u64> = (0..count).collect();
        let batch = Batch::new(&nonces);
        for (place, &nonce) in nonces.iter().enumerate() {
            assert!(batch.path(place).verifies(nonce, &batch.nonce()), "{place} of {count}");
            assert!(!batch.path(place).verifies(nonce + 1, &batch.nonce()));
        }
        assert!(!BatchPath::default().verifies(count, &batch.nonce()));
    }
    assert!(Keys(1).verify(1, b"x", &Keys(1).sign(b"x")));
}
