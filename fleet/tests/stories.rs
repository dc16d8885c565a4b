//! Members of a fleet hold one limit together while the network between them fails, members die and clocks
//! differ.

mod net;

use fleet::wire::{self, Word};
use fleet::{Fleet, limit_id};
use net::{Net, SERVER, WINDOW, terms};
use proptest::prelude::*;
use rand::Rng;
use rstest::rstest;

#[rstest]
#[case::five(5, 20.0)]
#[case::forty(40, 80.0)]
#[case::fewer_permits_than_members(40, 15.0)]
fn one_member_with_all_demand_gets_nearly_all_of_the_limit(#[case] members: usize, #[case] rate: f64) {
    let mut net = Net::new(members, rate, 1);
    for hot in [0, members - 1] {
        let mut demand = vec![0.0; members];
        demand[hot] = 3.0 * rate;
        net.pass(8000.0, &demand);
        let then = net.now;
        net.pass(10_000.0, &demand);
        // Rests are longer by what clocks may differ, a twentieth.
        let share = net.taken_since(then) as f64 / (10.0 * rate);
        assert!(share > 0.8, "member {hot}: {share}");
    }
    assert!(net.most(0.0) <= rate as usize, "{}", net.most(0.0));
}

#[test]
fn each_alone_the_same_demand_gets_its_part_and_no_more() {
    let mut net = Net::new(5, 20.0, 1);
    let all: Vec<usize> = (0..5).collect();
    net.links.cut(&all, &all, true);
    let then = net.now;
    net.pass(10_000.0, &[60.0, 0.0, 0.0, 0.0, 0.0]);
    let share = net.taken_since(then) as f64 / 200.0;
    assert!((0.15..=0.2).contains(&share), "{share}");
}

#[test]
fn a_few_permits_for_many_go_round() {
    let mut net = Net::new(20, 4.0, 3);
    net.pass(60_000.0, &[1.0; 20]);
    assert!(net.most(0.0) <= 4, "{}", net.most(0.0));
    let starved = net.members.iter_mut().filter(|member| member.counts().borrowed == 0).count();
    // Sixteen have no part of their own.
    let had: Vec<_> = net
        .members
        .iter()
        .map(|member| (member.counts().requested, member.counts().lent, member.counts().borrowed))
        .collect();
    assert!(starved <= 4, "{starved} of twenty never had any: {had:?}");
}

#[test]
fn a_limit_that_falls_by_half_while_it_is_lent_out_holds_once_the_loans_have_lapsed() {
    let mut net = Net::new(10, 40.0, 4);
    let mut demand = [0.0; 10];
    demand[0] = 100.0;
    net.pass(8000.0, &demand);
    net.limit(20.0);
    net.pass(terms().loans.lease * 1.1 + 2.2 * WINDOW, &demand);
    let since = net.now;
    net.pass(10_000.0, &demand);
    assert!(net.most(since + WINDOW) <= 20, "{}", net.most(since + WINDOW));
    assert!(net.taken_since(since) > 100);
}

/// Two members that know one limit of ten, five each; the first has long known what it lent.
fn pair() -> (Fleet, Fleet, f64) {
    let member = |id, seed| {
        let mut fleet = Fleet::new(id, [1, 2], terms(), seed, 0.0);
        assert!(fleet.set_limit(SERVER, 10.0, WINDOW));
        fleet
    };
    (member(1, 1), member(2, 2), 10_000.0)
}

#[rstest]
#[case::short(vec![1])]
#[case::nothing(vec![])]
#[case::oversized(vec![0; wire::LARGEST + 1])]
#[case::too_many_words(wire::write(7, &[Word::Return { limit: 1, serial: 1 }; wire::MOST_WORDS + 1]))]
#[case::more_than_it_says([wire::write(7, &[]), vec![0]].concat())]
fn what_has_no_form_is_counted_and_dropped(#[case] bytes: Vec<u8>) {
    let (mut one, _, now) = pair();
    one.receive(now, 2, &bytes);
    assert_eq!(one.counts().malformed, 1);
    assert_eq!((one.free_permits(now, SERVER), one.outgoing()), (Some(5), None));
}

#[rstest]
#[case::not_asked_for(Word::Grant { limit: limit_id(SERVER), serial: 9, count: 3, left: 0, lease: 2000 })]
#[case::over_what_it_has(Word::Grant { limit: limit_id(SERVER), serial: 9, count: 6, left: 0, lease: 2000 })]
#[case::of_an_unknown_limit(Word::Grant { limit: 4, serial: 9, count: 3, left: 0, lease: 2000 })]
fn no_grant_that_was_not_asked_for_raises_an_allotment(#[case] word: Word) {
    let (mut one, _, now) = pair();
    one.receive(now, 2, &wire::write(7, &[word]));
    let counts = one.counts();
    assert_eq!(counts.unexpected + counts.over_limit + counts.unknown, 1, "{counts:?}");
    assert_eq!(one.free_permits(now, SERVER), Some(5));
}

#[test]
fn a_strangers_ask_is_not_heard_and_no_asker_gets_more_than_is_idle() {
    let (mut one, _, now) = pair();
    let ask =
        |serial| wire::write(7, &[Word::Ask { limit: limit_id(SERVER), serial, want: u16::MAX, bare: true }]);
    one.receive(now, 3, &ask(1));
    assert_eq!((one.counts().unknown, one.free_permits(now, SERVER)), (1, Some(5)));
    one.receive(now, 3, &wire::write(7, &[Word::Started]));
    assert_eq!((one.counts().unknown, one.outgoing()), (2, None), "nor is it answered");
    assert!(one.try_acquire(now, SERVER) && one.try_acquire(now, SERVER));
    one.receive(now, 2, &ask(1));
    assert_eq!(one.counts().lent, 3, "two rest after use");
    assert_eq!(one.free_permits(now, SERVER), Some(0));
    for serial in 2..100 {
        one.receive(now, 2, &ask(serial));
    }
    let standing = one.limit_states(now)[0].ledger;
    assert_eq!((standing.lent, standing.cooling_down), (3, 2), "however often it asks");
}

#[test]
fn who_joins_after_a_start_has_to_let_go_too_before_all_is_known() {
    let mut one = Fleet::new(1, [1, 2], terms(), 1, 0.0);
    assert!(one.set_limit(SERVER, 10.0, WINDOW));
    one.set_members([1, 2, 3]);
    one.turn(200.0);
    let (life, _) =
        wire::read(&one.outgoing().expect("it tells that it has started").bytes).expect("its own");
    let rested = 300.0 + terms().loans.rest(WINDOW);
    for (member, sure) in [(2, false), (3, true)] {
        one.receive(300.0, member, &wire::write(7, &[Word::Cleared { life: life + 1 }]));
        assert!(!one.is_recovered(rested, SERVER), "meant for another process");
        one.receive(300.0, member, &wire::write(7, &[Word::Cleared { life }]));
        assert_eq!(one.is_recovered(rested, SERVER), sure);
    }
}

#[test]
fn a_flood_of_names_does_not_grow_the_books() {
    let (mut one, ..) = pair();
    let taken = (0..10_000).filter(|n| one.set_limit(&format!("s-{n}@0"), 10.0, WINDOW)).count();
    assert!(taken < 1000, "{taken}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// Losses, doubling, late letters, cuts one way and both, restarts, stops, clocks that differ and demand
    /// that moves: no window ever has more than the limit.
    #[test]
    fn whatever_fails_the_sum_holds(seed: u64, rate in 3.0f64..60.0, members in 2usize..12) {
        let mut net = Net::new(members, rate, seed);
        for _ in 0..30 {
            net.links.heal();
            net.links.loss = [0.0, 0.0, 0.3, 0.9][net.chance.random_range(0..4)];
            net.links.duplication = [0.0, 0.5][net.chance.random_range(0..2)];
            net.links.max_delay = [10.0, 200.0, 4000.0][net.chance.random_range(0..3)];
            let cuts = net.chance.random_range(0..members * 2);
            for _ in 0..cuts {
                let (from, to) = (net.chance.random_range(0..members), net.chance.random_range(0..members));
                net.links.cut(&[from], &[to], true);
            }
            let one = net.chance.random_range(0..members);
            match net.chance.random_range(0..4) {
                0 => net.restart(one),
                1 => net.stopped[one] = true,
                2 => net.stopped.iter_mut().for_each(|stopped| *stopped = false),
                _ => {}
            }
            let demand: Vec<f64> = (0..members)
                .map(|_| if net.chance.random_range(0..3) == 0 { 2.0 * rate } else { 0.0 })
                .collect();
            let span = net.chance.random_range(100.0..2500.0);
            net.pass(span, &demand);
        }
        prop_assert!(net.most(0.0) <= rate as usize, "{} over {}", net.most(0.0), rate as usize);
    }
}
