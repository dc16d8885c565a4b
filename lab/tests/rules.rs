//! The rule checker catches a proxy that violates a rule, and passes one that keeps them; the same seed
//! gives the same events.

use bytes::Bytes;
use iax2::element::{self, Elements};
use iax2::frame::{Full, iax, kind};
use lab::drill::Drill;
use lab::drills::cluster::TestCluster;
use lab::drills::simulated;
use lab::reports::summary::Summary;
use lab::stand_ins::baseline::{Defects, Routing};
use lab::witness::events::Events;
use lab::witness::{RuleChecker, ServerFacts};
use rstest::rstest;

fn play(name: &str, seconds: f64, routing: Routing, broken: Defects) -> TestCluster {
    let mut drill = Drill::named(name).expect("a drill");
    drill.seconds = seconds;
    simulated::run(drill, routing, broken, Events::default()).expect("a finished drill")
}

fn broken_rules(cluster: &TestCluster) -> Vec<usize> {
    let verdicts = cluster.checker.verdicts.iter().enumerate();
    verdicts.filter(|(_, verdict)| verdict.broken > 0).map(|(i, _)| i + 1).collect()
}

#[test]
fn the_module_keeps_all_rules_on_the_bad_day_and_the_same_seed_gives_the_same_events() {
    let first = Summary::of(&play("bad-day", 30.0, Routing::Ours, Defects::default()), "ours", true);
    let again = Summary::of(&play("bad-day", 30.0, Routing::Ours, Defects::default()), "ours", true);
    let text = |summary: &Summary| serde_json::to_string(summary).expect("plain data");
    assert_eq!(first.broken(), 0, "{}", text(&first));
    assert!(first.rules.iter().all(|rule| rule.verdict.checked > 100), "{}", text(&first));
    assert_eq!(text(&first), text(&again));
}

#[test]
fn lost_answers_leave_one_answer_per_conversation_and_no_early_attempt() {
    let cluster = play("kind:answer_lost", 16.0, Routing::Ours, Defects::default());
    let lost: u64 = cluster.servers.iter().map(|server| server.central.answers_lost).sum();
    assert!(lost > 50, "{lost} lost");
    let [answers, .., releases] = &cluster.checker.verdicts;
    assert!(answers.checked > 1000 && releases.checked > 20, "{:?}", cluster.checker.verdicts);
    assert_eq!((answers.broken, releases.broken), (0, 0), "{:?}", cluster.checker.verdicts);
}

#[rstest]
#[case::without_probes(false, true)]
#[case::with_probes(true, false)]
fn the_module_keeps_all_rules_with_another_server_deployment(#[case] probes: bool, #[case] unprobed: bool) {
    let mut drill = Drill::named("new-shape").expect("a drill");
    drill.deployment.probes = probes;
    let cluster = simulated::run(drill, Routing::Ours, Defects::default(), Events::default())
        .expect("a finished drill");
    assert_eq!(broken_rules(&cluster), [0usize; 0], "{:?}", cluster.checker.verdicts);
    let probed: u64 = cluster.servers.iter().map(|server| server.central.probed).sum();
    assert_eq!(probed == 0, unprobed, "{probed} probes");
}

#[rstest]
fn the_module_keeps_all_rules_under_each_kind_of_fault(
    #[values(
        "vanish",
        "slow",
        "hang",
        "report_late",
        "burst",
        "hot_caller",
        "deploy",
        "discovery_stale",
        "balancer_crash",
        "mass_restart",
        "retry_abuse",
        "balancer_stall",
        "peer_down",
        "ageing",
        "answer_lost"
    )]
    kind: &str,
) {
    let cluster = play(&format!("kind:{kind}"), 16.0, Routing::Ours, Defects::default());
    assert_eq!(broken_rules(&cluster), [0usize; 0], "{:?}", cluster.checker.verdicts);
}

#[test]
fn a_proxy_that_forgets_a_caller_breaks_the_first_rule() {
    let broken = Defects { never_answers_failed: true, ..Defects::default() };
    let cluster = play("kind:mass_restart", 16.0, Routing::Random, broken);
    assert!(broken_rules(&cluster).contains(&1));
}

#[test]
fn a_proxy_that_ignores_the_list_breaks_the_third_rule() {
    let broken = Defects { ignores_list: true, ..Defects::default() };
    let cluster = play("kind:deploy", 20.0, Routing::Random, broken);
    assert!(broken_rules(&cluster).contains(&3));
}

#[test]
fn a_proxy_that_prefers_the_newest_server_breaks_the_fourth_rule() {
    let broken = Defects { prefers_cold: true, ..Defects::default() };
    let cluster = play("kind:mass_restart", 16.0, Routing::Random, broken);
    assert!(broken_rules(&cluster).contains(&4));
}

#[test]
fn a_proxy_that_skips_the_release_breaks_the_fifth_rule() {
    let broken = Defects { skips_release: true, ..Defects::default() };
    let cluster = play("kind:hang", 16.0, Routing::Random, broken);
    assert!(broken_rules(&cluster).contains(&5));
}

/// A proxy's NEW to a server for a try, with this source call number.
fn new(source: u16, number: usize) -> Bytes {
    let mut body = bytes::BytesMut::new();
    let version = Elements::new().with_u16(element::VERSION, element::PROTOCOL_VERSION);
    version.with(element::CALLING_NAME, format!("try {number}")).write(&mut body);
    let body = body.freeze();
    let full = Full {
        source,
        dest: 0,
        retransmitted: false,
        timestamp: 1,
        oseq: 0,
        iseq: 0,
        kind: kind::IAX,
        subclass: iax::NEW,
        body,
    };
    full.write().freeze()
}

#[test]
fn two_attempts_in_flight_for_one_try_break_the_second_rule_but_a_copy_does_not() {
    let (proxy, caller) =
        ("127.0.0.1:9".parse().expect("an address"), "127.0.0.1:8".parse().expect("an address"));
    let facts = ServerFacts { name: "central-0", started: f64::NEG_INFINITY, capacity: 10.0 };
    let mut checker = RuleChecker::new(0.0, None);
    checker.from_caller(0.0, caller, &new(1, 5), |_| (0, 3000.0));
    checker.to_server(10.0, 0, proxy, &new(2, 5), &facts);
    checker.to_server(510.0, 0, proxy, &new(2, 5), &facts);
    assert_eq!((checker.broken_rules(), checker.copies), (0, 1));
    checker.to_server(600.0, 1, proxy, &new(3, 5), &facts);
    assert_eq!(checker.verdicts[1].broken, 1);
    assert!(
        checker.verdicts[1].examples[0].contains("two attempts in flight"),
        "described with its datagrams"
    );
}

#[test]
fn two_final_answers_break_the_first_rule() {
    let proxy = "127.0.0.1:9".parse().expect("an address");
    let mut checker = RuleChecker::new(0.0, None);
    checker.from_caller(0.0, proxy, &new(1, 5), |_| (0, 3000.0));
    let end = |oseq, subclass| {
        let body = Bytes::new();
        let full = Full {
            source: 4,
            dest: 1,
            retransmitted: false,
            timestamp: 9,
            oseq,
            iseq: 1,
            kind: kind::IAX,
            subclass,
            body,
        };
        full.write().freeze()
    };
    checker.to_caller(20.0, &end(0, iax::REJECT), |_| Some(5));
    checker.to_caller(520.0, &end(0, iax::REJECT), |_| Some(5));
    assert_eq!(checker.verdicts[0].broken, 0, "a copy of the same answer");
    checker.to_caller(600.0, &end(1, iax::HANGUP), |_| Some(5));
    assert_eq!(checker.verdicts[0].broken, 1);
}

#[test]
fn a_drill_file_with_an_unknown_key_is_rejected() {
    let error =
        Drill::read("name = \"x\"\nseed = 1\nseconds = 1\nsecnods = 2").expect_err("rejected").to_string();
    assert!(error.contains("secnods"), "{error}");
}
