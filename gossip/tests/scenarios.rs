//! Scenarios of a fleet that gossips: silent servers, false statements, losses, partitions and restarts.

mod fleet;

use fleet::{CAP, Fleet, PROBE_INTERVAL, generation, node, roster, secrets};
use gossip::budget::{Budget, Priority};
use gossip::members::merge_states;
use gossip::statements::Statements;
use gossip::wire::{
    self, Claim, ClaimKind, DropReason, MemberState, Message, Packet, SignedStatement, Statement,
};
use proptest::prelude::*;
use rstest::rstest;

#[test]
fn members_that_start_at_once_find_each_other_through_seeds() {
    let mut fleet = Fleet::new(60, 0, 1, 0.3, 1);
    fleet.run(20_000.0);
    let alive: Vec<usize> = (0..60).map(|m| fleet.alive(m)).collect();
    assert!(alive.iter().all(|&n| n == 60), "{alive:?}");
    assert!(fleet.max_bytes_per_second as f64 <= CAP, "{} bytes in a second", fleet.max_bytes_per_second);
}

#[test]
fn only_the_silent_server_is_believed_silent_everywhere_within_five_seconds() {
    let mut fleet = Fleet::new(100, 6, 2, 0.3, 2);
    fleet.accusers = vec![50];
    fleet.run(15_000.0);
    let since = fleet.now;
    fleet.silent.insert(3, since);
    fleet.run(8_000.0);
    assert_eq!(fleet.members_not_believing(3), [0usize; 0]);
    let times = fleet.detection_times(3, since);
    println!(
        "median {} worst {} of {}, most {} bytes",
        times[times.len() / 2],
        times[times.len() - 1],
        times.len(),
        fleet.max_bytes_per_second
    );
    assert!(times[times.len() - 1] <= 5_000.0, "{times:?}");
    assert!(fleet.believed.keys().all(|(_, server)| *server == 3), "no healthy server is believed silent");
    assert!(fleet.max_bytes_per_second as f64 <= CAP, "{} bytes in a second", fleet.max_bytes_per_second);
}

#[rstest]
#[case::as_many_as_tolerated(2, false)]
#[case::more_than_tolerated_and_nobody_vouches(3, true)]
fn false_accusations_are_tolerated_up_to_the_bound(#[case] faulty: usize, #[case] believed: bool) {
    let mut fleet = Fleet::new(20, 2, 2, 0.1, 3);
    fleet.accusers = (0..faulty).collect();
    // No other member sends attempts to the servers, so nobody can vouch.
    fleet.attempts_per_second = 0.0;
    fleet.run(6_000.0);
    for member in 0..faulty {
        let now = fleet.now;
        fleet.nodes[member].as_mut().expect("running").evidence.attempt_sent(now, generation(0));
    }
    fleet.run(6_000.0);
    assert_eq!(fleet.believed.keys().any(|(m, _)| *m >= faulty), believed);
}

#[test]
fn too_many_false_accusers_do_not_get_an_answering_server_avoided() {
    let mut fleet = Fleet::new(40, 3, 2, 0.3, 4);
    fleet.run(8_000.0);
    fleet.accusers = (0..10).collect();
    fleet.attempts_per_second = 3.0;
    fleet.run(15_000.0);
    let believers = fleet.believed.keys().filter(|(m, _)| *m >= 10).count();
    // Members may believe it for a moment, before the first answers are stated; only what they believe at the
    // end counts.
    let now: usize = (10..40)
        .map(|m| {
            fleet.nodes[m].as_ref().expect("running").accused(fleet.now).iter().filter(|a| a.believed).count()
        })
        .sum();
    assert_eq!(now, 0, "{believers} believed it for a moment");
}

#[test]
fn false_vouchers_do_not_hide_a_dead_server() {
    let mut fleet = Fleet::new(40, 3, 2, 0.3, 5);
    fleet.vouchers = vec![7, 8];
    fleet.run(8_000.0);
    fleet.silent.insert(1, fleet.now);
    fleet.run(8_000.0);
    assert_eq!(fleet.members_not_believing(1), [0usize; 0]);
}

#[test]
fn a_server_that_answers_again_is_no_longer_believed_silent() {
    let mut fleet = Fleet::new(40, 3, 2, 0.3, 6);
    fleet.run(8_000.0);
    fleet.silent.insert(1, fleet.now);
    fleet.run(8_000.0);
    fleet.silent.clear();
    fleet.run(6_000.0);
    let believers = (0..40)
        .filter(|&m| fleet.nodes[m].as_ref().expect("running").accused(fleet.now).iter().any(|a| a.believed));
    assert_eq!(believers.count(), 0);
}

#[test]
fn a_vanished_member_is_found_dead_and_a_stalled_one_is_not() {
    let mut fleet = Fleet::new(30, 0, 1, 0.1, 7);
    fleet.run(10_000.0);
    fleet.nodes[4] = None;
    for _ in 0..5 {
        fleet.stalled.insert(9, fleet.now + 2_000.0);
        fleet.run(6_000.0);
    }
    fleet.run(20_000.0);
    let alive: Vec<usize> = (0..30).filter(|&m| m != 4).map(|m| fleet.alive(m)).collect();
    assert!(alive.iter().all(|&n| n == 29), "{alive:?}");
}

#[test]
fn two_partitioned_halves_find_each_other_again() {
    let mut fleet = Fleet::new(30, 0, 1, 0.1, 8);
    fleet.run(10_000.0);
    fleet.cut = Some(15);
    fleet.run(30_000.0);
    assert!(fleet.alive(0) < 30, "each half believes the other dead");
    fleet.cut = None;
    fleet.run(40_000.0);
    let alive: Vec<usize> = (0..30).map(|m| fleet.alive(m)).collect();
    assert!(alive.iter().all(|&n| n == 30), "{alive:?}");
}

#[rstest]
#[case::later(2e12)]
#[case::with_its_clock_an_hour_behind(1e12 - 3_600_000.0)]
fn a_restarted_member_is_heard_again(#[case] wall_clock_ms: f64) {
    let mut fleet = Fleet::new(20, 2, 1, 0.1, 9);
    fleet.run(8_000.0);
    let now = fleet.now;
    fleet.nodes[5] = Some(node(5, 20, 1, now, wall_clock_ms));
    fleet.run(15_000.0);
    let stated_clock = |m: usize| {
        let node = fleet.nodes[m].as_ref().expect("running");
        let author = secrets(5).id();
        node.statements().find(|s| s.author == author).map(|s| s.clock)
    };
    assert!(
        stated_clock(0).is_some_and(|clock| f64::from(clock) < 16_000.0),
        "the clock of its new process: {:?}",
        stated_clock(0)
    );
    assert_eq!(fleet.alive(0), 20);
}

#[test]
fn thirty_of_a_hundred_members_restarted_at_once_stay_within_the_cap() {
    let mut fleet = Fleet::new(100, 4, 2, 0.3, 10);
    fleet.run(12_000.0);
    let now = fleet.now;
    (0..30).for_each(|m| fleet.nodes[m] = Some(node(m, 100, 2, now, 2e12)));
    fleet.silent.extend([(0, now), (1, now)]);
    fleet.run(15_000.0);
    assert!(fleet.max_bytes_per_second as f64 <= CAP, "{} bytes in a second", fleet.max_bytes_per_second);
    assert_eq!((fleet.members_not_believing(0).len(), fleet.members_not_believing(1).len()), (0, 0));
}

fn statement(author: usize, incarnation: u64, version: u32) -> (Statement, SignedStatement) {
    let claim =
        Claim { generation: generation(1), kind: ClaimKind::Silent, observed_at: version, attempts: 1 };
    let statement = Statement {
        author: secrets(author).id(),
        incarnation,
        version,
        generation: incarnation,
        address: fleet::address(author),
        clock: 5_000,
        leaving: false,
        claims: vec![claim],
    };
    let signed = SignedStatement::new(&statement, &secrets(author));
    (statement, signed)
}

/// Three members state at 5 s of their clocks that a server is silent; their statements arrive at 61 s here.
/// A statement that is held back must not act as if it were new.
#[rstest]
#[case::just_stated(Some(5_500), true)]
#[case::held_back_for_a_minute(Some(60_000), false)]
#[case::of_unknown_age(None, false)]
fn an_accusation_that_may_be_too_old_is_not_believed(#[case] clock: Option<u32>, #[case] believed: bool) {
    let mut statements = Statements::default();
    for author in 1..=3 {
        let (statement, signed) = statement(author, 1, 1);
        statements.merge(61_000.0, statement, signed, 1);
        if let Some(clock) = clock {
            statements.record_clock(secrets(author).id(), 1, clock, 60_900.0, 61_000.0);
        }
    }
    let accused = statements.accused(61_000.0, 2, 15_000.0, f64::INFINITY);
    assert_eq!((accused.len(), accused[0].accusers), (1, 3));
    assert_eq!(accused[0].believed, believed);
    // The belief also ends by itself, though no accusation is withdrawn.
    assert!(!statements.accused(76_000.0, 2, 15_000.0, f64::INFINITY).iter().any(|of| of.believed));
}

#[test]
fn a_clock_answer_expires() {
    let mut statements = Statements::default();
    let believed_at =
        |statements: &Statements, now| statements.accused(now, 0, 15_000.0, f64::INFINITY)[0].believed;
    let restate = |statements: &mut Statements, now: f64, version| {
        let (mut stated, _) = statement(1, 1, version);
        stated.clock = now as u32;
        let signed = SignedStatement::new(&stated, &secrets(1));
        statements.merge(now, stated, signed, 1);
    };
    restate(&mut statements, 5_000.0, 1);
    statements.record_clock(secrets(1).id(), 1, 5_000, 4_900.0, 5_000.0);
    for (now, believed) in [(5_000.0, true), (150_000.0, true), (160_000.0, false)] {
        restate(&mut statements, now, now as u32);
        assert_eq!(believed_at(&statements, now), believed, "at {now}, stated just then");
    }
}

fn packet(from: usize, counter: u64, statements: Vec<SignedStatement>) -> Vec<u8> {
    let message = Message::Ping { nonce: 5 };
    let from_id = secrets(from).id();
    Packet {
        version: wire::VERSION,
        from: from_id,
        incarnation: 1,
        counter,
        message,
        rumours: Vec::new(),
        statements,
    }
    .authenticate(&secrets(from))
}

#[test]
fn a_statement_signed_by_another_member_is_dropped() {
    let mut node = node(0, 3, 0, 0.0, 1.0);
    let (mut forged, _) = statement(1, 9, 1);
    forged.claims.clear();
    let signed = SignedStatement::new(&forged, &secrets(2));
    node.receive(10.0, fleet::address(2), &packet(2, 1, vec![signed]));
    assert_eq!(node.counts().bad_statements, 1);
    assert!(node.statements().all(|s| s.author != secrets(1).id()));
}

#[test]
fn a_replayed_packet_is_dropped_and_a_reordered_one_is_not() {
    let mut node = node(0, 3, 0, 0.0, 1.0);
    for counter in [1, 5, 3, 3, 5] {
        node.receive(10.0, fleet::address(1), &packet(1, counter, Vec::new()));
    }
    assert_eq!(node.counts().replayed, 2);
}

#[test]
fn each_kind_of_invalid_packet_has_its_own_error() {
    let (own, all) = (secrets(0), roster(3));
    let good = packet(1, 1, Vec::new());
    assert!(wire::verify(&good, &own, &all).is_ok());
    assert_eq!(wire::verify(&good[..60], &own, &all), Err(DropReason::TooShort));
    assert_eq!(wire::verify(&[0; 1300], &own, &all), Err(DropReason::TooLong));
    let mut touched = good.clone();
    touched[3] ^= 1;
    assert_eq!(wire::verify(&touched, &own, &all), Err(DropReason::InvalidTag));
    assert_eq!(wire::verify(&packet(8, 1, Vec::new()), &own, &all), Err(DropReason::UnknownSender));
    let other = gossip::keys::Secrets::new(fleet::secret(1), vec![[1; 32]]).expect("a key");
    assert_eq!(wire::verify(&good, &other, &all), Err(DropReason::InvalidTag), "a tag of another fleet");
    let both = gossip::keys::Secrets::new(fleet::secret(1), vec![[1; 32], [9; 32]]).expect("a key");
    assert!(wire::verify(&good, &both, &all).is_ok(), "the old key is accepted during a rotation");
}

/// All orders of a few rumours about one member, each also applied twice, must give one view.
#[test]
fn every_order_of_rumours_gives_the_same_view() {
    use MemberState::{Alive, Dead, Suspect};
    let updates = [(1, Alive), (1, Suspect), (1, Dead), (2, Alive), (2, Suspect)];
    let wanted = (2, Suspect);
    let mut orders = vec![Vec::new()];
    for update in updates {
        orders = orders
            .into_iter()
            .flat_map(|order: Vec<_>| {
                (0..=order.len()).map(move |at| {
                    let mut extended = order.clone();
                    extended.insert(at, update);
                    extended
                })
            })
            .collect();
    }
    assert_eq!(orders.len(), 120);
    for order in orders {
        let applied_twice = order.iter().chain(&order).copied();
        assert_eq!(applied_twice.reduce(merge_states), Some(wanted), "{order:?}");
    }
}

proptest! {
    #[test]
    fn statements_in_any_order_leave_the_same_store(order in proptest::collection::vec(0usize..12, 1..40)) {
        let all: Vec<(Statement, SignedStatement)> =
            (0..12).map(|i| statement(i % 3, 1 + (i / 6) as u64, 1 + (i / 3 % 2) as u32)).collect();
        let store = |order: &mut dyn Iterator<Item = usize>| {
            let mut store = Statements::default();
            for i in order {
                let (stated, signed) = all[i].clone();
                store.merge(0.0, stated, signed, 1);
            }
            store.digests(0, 99)
        };
        let mut sorted = order.clone();
        sorted.sort_unstable();
        prop_assert_eq!(store(&mut order.iter().copied()), store(&mut sorted.into_iter()));
    }

    #[test]
    fn arbitrary_datagrams_are_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(wire::verify(&bytes, &secrets(0), &roster(1)).is_err());
    }

    #[test]
    fn arbitrary_signed_bodies_do_not_panic(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut bytes = body;
        bytes.insert(0, wire::VERSION);
        let signature = secrets(1).sign(&bytes);
        bytes.extend(signature);
        let tag = secrets(1).tag(&bytes);
        bytes.extend(tag);
        let mut node = node(0, 2, 0, 0.0, 1.0);
        node.receive(1.0, fleet::address(1), &bytes);
        node.turn(PROBE_INTERVAL);
    }

    #[test]
    fn no_second_holds_more_than_the_cap(requests in proptest::collection::vec((0u32..400, 1usize..1200, 0usize..4), 1..300)) {
        let mut budget = Budget::new(CAP, 0.0);
        let mut now = 0.0;
        let mut spent: Vec<(f64, usize)> = Vec::new();
        for (pause, bytes, priority) in requests {
            now += f64::from(pause);
            let priority = [Priority::Answer, Priority::Update, Priority::Spread, Priority::Repair][priority];
            if budget.try_spend(now, bytes, priority) {
                spent.push((now, bytes));
                let second: usize = spent.iter().filter(|s| s.0 > now - 1000.0).map(|s| s.1).sum();
                prop_assert!(second as f64 <= CAP);
            }
        }
    }
}

#[test]
fn two_processes_with_one_key_notice_each_other_at_a_bounded_rate() {
    // The third process has the key and the address of the first: datagrams to that address reach both.
    let mut nodes = [node(0, 3, 0, 0.0, 1e12), node(1, 3, 0, 0.0, 1e12), node(0, 3, 0, 0.0, 2e12)];
    let (mut now, duration) = (0.0, 40_000.0);
    while now < duration {
        now += 10.0;
        for i in 0..nodes.len() {
            if nodes[i].due() <= now {
                nodes[i].turn(now);
            }
            while let Some(out) = nodes[i].outgoing() {
                let from = fleet::address(i % 2);
                for node in nodes.iter_mut().filter(|node| node.address() == out.peer) {
                    node.receive(now, from, &out.bytes);
                }
            }
        }
    }
    let clashes = [0, 2].map(|i| nodes[i].counts().clashes);
    assert!(clashes.iter().sum::<u64>() >= 2, "{clashes:?}");
    assert!(clashes.iter().all(|&n| n as f64 <= duration / (50.0 * PROBE_INTERVAL) + 1.0), "{clashes:?}");
}

#[test]
fn a_member_removed_from_the_roster_is_forgotten_with_its_statements() {
    let mut fleet = Fleet::new(3, 1, 0, 0.0, 5);
    fleet.silent.insert(0, 0.0);
    fleet.run(5_000.0);
    let node = fleet.nodes[0].as_mut().expect("running");
    assert!(node.statements().any(|s| s.author == secrets(2).id()));
    node.rekey(secrets(0), roster(2));
    assert!(node.statements().all(|s| s.author != secrets(2).id()));
    fleet.run(5_000.0);
    assert_eq!(fleet.alive(0), 2);
}
