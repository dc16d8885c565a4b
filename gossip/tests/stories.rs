//! Stories of a fleet that gossips: silent servers, liars, losses, partitions, restarts.

mod fleet;

use fleet::{BEAT, CAP, Fleet, generation, node, roster, secrets};
use gossip::budget::{Budget, Priority};
use gossip::members::better;
use gossip::statements::Statements;
use gossip::wire::{self, Claim, Dropped, Kind, MemberState, Message, Packet, Signed, Statement};
use proptest::prelude::*;
use rstest::rstest;

#[test]
fn all_find_each_other_through_seeds_though_all_start_at_once() {
    let mut fleet = Fleet::new(60, 0, 1, 0.3, 1);
    fleet.run(20_000.0);
    let alive: Vec<usize> = (0..60).map(|m| fleet.alive(m)).collect();
    assert!(alive.iter().all(|&n| n == 60), "{alive:?}");
    assert!(fleet.most as f64 <= CAP, "{} bytes in a second", fleet.most);
}

#[test]
fn a_silent_server_is_known_everywhere_in_five_seconds_and_no_other_is_believed_silent() {
    let mut fleet = Fleet::new(100, 6, 2, 0.3, 2);
    fleet.accusers = vec![50];
    fleet.run(15_000.0);
    let since = fleet.now;
    fleet.silent.insert(3, since);
    fleet.run(8_000.0);
    assert_eq!(fleet.unaware(3), [0usize; 0]);
    let took = fleet.took(3, since);
    println!(
        "median {} worst {} of {}, most {} bytes",
        took[took.len() / 2],
        took[took.len() - 1],
        took.len(),
        fleet.most
    );
    assert!(took[took.len() - 1] <= 5_000.0, "{took:?}");
    assert!(fleet.believed.keys().all(|(_, server)| *server == 3), "no healthy one");
    assert!(fleet.most as f64 <= CAP, "{} bytes in a second", fleet.most);
}

#[rstest]
#[case::as_many_as_borne(2, false)]
#[case::more_than_borne_with_nobody_to_vouch(3, true)]
fn liars_are_borne_up_to_the_bound(#[case] liars: usize, #[case] believed: bool) {
    let mut fleet = Fleet::new(20, 2, 2, 0.1, 3);
    fleet.accusers = (0..liars).collect();
    // Nobody else has anything to do with the servers: nobody can vouch.
    fleet.rate = 0.0;
    fleet.run(6_000.0);
    for liar in 0..liars {
        let now = fleet.now;
        fleet.nodes[liar].as_mut().expect("there").evidence.attempt_sent(now, generation(0));
    }
    fleet.run(6_000.0);
    assert_eq!(fleet.believed.keys().any(|(m, _)| *m >= liars), believed);
}

#[test]
fn more_liars_than_borne_do_not_get_a_server_shunned_that_answers() {
    let mut fleet = Fleet::new(40, 3, 2, 0.3, 4);
    fleet.run(8_000.0);
    fleet.accusers = (0..10).collect();
    fleet.rate = 3.0;
    fleet.run(15_000.0);
    let believers = fleet.believed.keys().filter(|(m, _)| *m >= 10).count();
    // What a member believes for an instant, before the first answers are told, is what is counted here.
    let now: usize = (10..40)
        .map(|m| {
            fleet.nodes[m].as_ref().expect("there").accused(fleet.now).iter().filter(|a| a.believed).count()
        })
        .sum();
    assert_eq!(now, 0, "{believers} had believed it for a moment");
}

#[test]
fn liars_that_praise_a_dead_server_do_not_save_it() {
    let mut fleet = Fleet::new(40, 3, 2, 0.3, 5);
    fleet.praisers = vec![7, 8];
    fleet.run(8_000.0);
    fleet.silent.insert(1, fleet.now);
    fleet.run(8_000.0);
    assert_eq!(fleet.unaware(1), [0usize; 0]);
}

#[test]
fn a_server_that_answers_again_is_believed_again() {
    let mut fleet = Fleet::new(40, 3, 2, 0.3, 6);
    fleet.run(8_000.0);
    fleet.silent.insert(1, fleet.now);
    fleet.run(8_000.0);
    fleet.silent.clear();
    fleet.run(6_000.0);
    let believers = (0..40)
        .filter(|&m| fleet.nodes[m].as_ref().expect("there").accused(fleet.now).iter().any(|a| a.believed));
    assert_eq!(believers.count(), 0);
}

#[test]
fn a_member_that_vanishes_is_found_dead_and_one_that_stalls_is_not() {
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
fn two_halves_cut_apart_find_each_other_again() {
    let mut fleet = Fleet::new(30, 0, 1, 0.1, 8);
    fleet.run(10_000.0);
    fleet.cut = Some(15);
    fleet.run(30_000.0);
    assert!(fleet.alive(0) < 30, "each half takes the other for dead");
    fleet.cut = None;
    fleet.run(40_000.0);
    let alive: Vec<usize> = (0..30).map(|m| fleet.alive(m)).collect();
    assert!(alive.iter().all(|&n| n == 30), "{alive:?}");
}

#[rstest]
#[case::later(2e12)]
#[case::with_its_clock_an_hour_back(1e12 - 3_600_000.0)]
fn a_member_that_restarts_is_heard_again(#[case] unix: f64) {
    let mut fleet = Fleet::new(20, 2, 1, 0.1, 9);
    fleet.run(8_000.0);
    let now = fleet.now;
    fleet.nodes[5] = Some(node(5, 20, 1, now, unix));
    fleet.run(15_000.0);
    let heard = |m: usize| {
        let node = fleet.nodes[m].as_ref().expect("there");
        let of = secrets(5).id();
        node.statements().find(|s| s.author == of).map(|s| s.clock)
    };
    assert!(
        heard(0).is_some_and(|clock| f64::from(clock) < 16_000.0),
        "its new generation's clock: {:?}",
        heard(0)
    );
    assert_eq!(fleet.alive(0), 20);
}

#[test]
fn thirty_of_a_hundred_restarted_at_once_stay_within_the_cap() {
    let mut fleet = Fleet::new(100, 4, 2, 0.3, 10);
    fleet.run(12_000.0);
    let now = fleet.now;
    (0..30).for_each(|m| fleet.nodes[m] = Some(node(m, 100, 2, now, 2e12)));
    fleet.silent.extend([(0, now), (1, now)]);
    fleet.run(15_000.0);
    assert!(fleet.most as f64 <= CAP, "{} bytes in a second", fleet.most);
    assert_eq!((fleet.unaware(0).len(), fleet.unaware(1).len()), (0, 0));
}

fn statement(author: usize, incarnation: u64, version: u32) -> (Statement, Signed) {
    let claim = Claim { generation: generation(1), kind: Kind::Silent, at: version, shots: 1 };
    let statement = Statement {
        author: secrets(author).id(),
        incarnation,
        version,
        generation: incarnation,
        address: fleet::address(author),
        clock: 5_000,
        leaves: false,
        claims: vec![claim],
    };
    let signed = Signed::new(&statement, &secrets(author));
    (statement, signed)
}

/// Three members say at 5 s of their clocks that a server is silent; what they say comes at 61 s here.
#[rstest]
#[case::said_just_now(Some(5_500), true)]
#[case::held_back_for_a_minute(Some(60_000), false)]
#[case::nobody_knows_how_old_it_is(None, false)]
fn no_accusation_acts_that_may_be_older_than_stated(#[case] clock: Option<u32>, #[case] believed: bool) {
    let mut statements = Statements::default();
    for author in 1..=3 {
        let (statement, signed) = statement(author, 1, 1);
        statements.merge(61_000.0, statement, signed, 1);
        if let Some(clock) = clock {
            statements.clock(secrets(author).id(), 1, clock, 60_900.0, 61_000.0);
        }
    }
    let accused = statements.accused(61_000.0, 2, 15_000.0, f64::INFINITY);
    assert_eq!((accused.len(), accused[0].accusers), (1, 3));
    assert_eq!(accused[0].believed, believed);
    // And it ends by itself, though nobody takes it back.
    assert!(!statements.accused(76_000.0, 2, 15_000.0, f64::INFINITY).iter().any(|of| of.believed));
}

#[test]
fn a_clock_that_was_asked_for_long_ago_proves_nothing_any_more() {
    let mut statements = Statements::default();
    let believed_at =
        |statements: &Statements, now| statements.accused(now, 0, 15_000.0, f64::INFINITY)[0].believed;
    let say = |statements: &mut Statements, now: f64, version| {
        let (mut said, _) = statement(1, 1, version);
        said.clock = now as u32;
        let signed = Signed::new(&said, &secrets(1));
        statements.merge(now, said, signed, 1);
    };
    say(&mut statements, 5_000.0, 1);
    statements.clock(secrets(1).id(), 1, 5_000, 4_900.0, 5_000.0);
    for (now, believed) in [(5_000.0, true), (150_000.0, true), (160_000.0, false)] {
        say(&mut statements, now, now as u32);
        assert_eq!(believed_at(&statements, now), believed, "at {now}, said just then");
    }
}

fn packet(from: usize, counter: u64, statements: Vec<Signed>) -> Vec<u8> {
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
fn what_a_liar_signs_in_anothers_name_is_dropped() {
    let mut node = node(0, 3, 0, 0.0, 1.0);
    let (mut forged, _) = statement(1, 9, 1);
    forged.claims.clear();
    let signed = Signed::new(&forged, &secrets(2));
    node.receive(10.0, fleet::address(2), &packet(2, 1, vec![signed]));
    assert_eq!(node.counts().bad_statements, 1);
    assert!(node.statements().all(|s| s.author != secrets(1).id()));
}

#[test]
fn a_packet_seen_before_is_dropped_and_one_out_of_order_is_not() {
    let mut node = node(0, 3, 0, 0.0, 1.0);
    for counter in [1, 5, 3, 3, 5] {
        node.receive(10.0, fleet::address(1), &packet(1, counter, Vec::new()));
    }
    assert_eq!(node.counts().replayed, 2);
}

#[test]
fn what_is_wrong_with_a_packet_is_told_apart() {
    let (own, all) = (secrets(0), roster(3));
    let good = packet(1, 1, Vec::new());
    assert!(wire::verify(&good, &own, &all).is_ok());
    assert_eq!(wire::verify(&good[..60], &own, &all), Err(Dropped::Short));
    assert_eq!(wire::verify(&[0; 1300], &own, &all), Err(Dropped::Oversized));
    let mut touched = good.clone();
    touched[3] ^= 1;
    assert_eq!(wire::verify(&touched, &own, &all), Err(Dropped::Tag));
    assert_eq!(wire::verify(&packet(8, 1, Vec::new()), &own, &all), Err(Dropped::Stranger));
    let other = gossip::keys::Secrets::new(fleet::secret(1), vec![[1; 32]]).expect("a key");
    assert_eq!(wire::verify(&good, &other, &all), Err(Dropped::Tag), "another fleet's");
    let both = gossip::keys::Secrets::new(fleet::secret(1), vec![[1; 32], [9; 32]]).expect("a key");
    assert!(wire::verify(&good, &both, &all).is_ok(), "the old key is accepted during a rotation");
}

/// All orders of a few rumours on one member, each also doubled: one view.
#[test]
fn every_order_of_rumours_gives_the_same_view() {
    use MemberState::{Alive, Dead, Suspect};
    let words = [(1, Alive), (1, Suspect), (1, Dead), (2, Alive), (2, Suspect)];
    let wanted = (2, Suspect);
    let mut orders = vec![Vec::new()];
    for word in words {
        orders = orders
            .into_iter()
            .flat_map(|order: Vec<_>| {
                (0..=order.len()).map(move |at| {
                    let mut longer = order.clone();
                    longer.insert(at, word);
                    longer
                })
            })
            .collect();
    }
    assert_eq!(orders.len(), 120);
    for order in orders {
        let doubled = order.iter().chain(&order).copied();
        assert_eq!(doubled.reduce(better), Some(wanted), "{order:?}");
    }
}

proptest! {
    #[test]
    fn statements_in_any_order_leave_the_same_store(order in proptest::collection::vec(0usize..12, 1..40)) {
        let all: Vec<(Statement, Signed)> =
            (0..12).map(|i| statement(i % 3, 1 + (i / 6) as u64, 1 + (i / 3 % 2) as u32)).collect();
        let store = |order: &mut dyn Iterator<Item = usize>| {
            let mut store = Statements::default();
            for i in order {
                let (said, signed) = all[i].clone();
                store.merge(0.0, said, signed, 1);
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
    fn arbitrary_bodies_of_a_member_do_no_harm(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut bytes = body;
        bytes.insert(0, wire::VERSION);
        let signature = secrets(1).sign(&bytes);
        bytes.extend(signature);
        let tag = secrets(1).tag(&bytes);
        bytes.extend(tag);
        let mut node = node(0, 2, 0, 0.0, 1.0);
        node.receive(1.0, fleet::address(1), &bytes);
        node.turn(BEAT);
    }

    #[test]
    fn no_second_holds_more_than_the_cap(asks in proptest::collection::vec((0u32..400, 1usize..1200, 0usize..4), 1..300)) {
        let mut budget = Budget::new(CAP, 0.0);
        let mut now = 0.0;
        let mut spent: Vec<(f64, usize)> = Vec::new();
        for (gap, bytes, priority) in asks {
            now += f64::from(gap);
            let priority = [Priority::Answer, Priority::News, Priority::Spread, Priority::Repair][priority];
            if budget.take(now, bytes, priority) {
                spent.push((now, bytes));
                let second: usize = spent.iter().filter(|s| s.0 > now - 1000.0).map(|s| s.1).sum();
                prop_assert!(second as f64 <= CAP);
            }
        }
    }
}

#[test]
fn two_processes_with_one_key_notice_each_other_and_do_not_fight() {
    // The third has the key and the address of the first; what is sent there reaches both.
    let mut nodes = [node(0, 3, 0, 0.0, 1e12), node(1, 3, 0, 0.0, 1e12), node(0, 3, 0, 0.0, 2e12)];
    let (mut now, span) = (0.0, 40_000.0);
    while now < span {
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
    assert!(clashes.iter().all(|&n| n as f64 <= span / (50.0 * BEAT) + 1.0), "{clashes:?}");
}

#[test]
fn who_is_struck_off_the_roster_is_forgotten_with_all_it_said() {
    let mut fleet = Fleet::new(3, 1, 0, 0.0, 5);
    fleet.silent.insert(0, 0.0);
    fleet.run(5_000.0);
    let node = fleet.nodes[0].as_mut().expect("there");
    assert!(node.statements().any(|s| s.author == secrets(2).id()));
    node.rekey(secrets(0), roster(2));
    assert!(node.statements().all(|s| s.author != secrets(2).id()));
    fleet.run(5_000.0);
    assert_eq!(fleet.alive(0), 2);
}
