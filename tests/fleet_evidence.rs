//! Effects of the rest of the fleet: suspicions and fleet-wide limits.

mod fake;

use fake::{Scenario, server_entry};
use frostthread::host::{Ending, Report, Server, State, Suspicion};
use rstest::rstest;

fn suspect(scenario: &mut Scenario, strength: f64) {
    let since = scenario.now;
    scenario.proxy.set_suspicion(Server(0), Some(Suspicion { strength, since }));
}

#[test]
fn a_suspected_server_gets_single_half_open_attempts_far_apart() {
    let mut scenario = Scenario::with_servers(2);
    suspect(&mut scenario, 1.0);
    for _ in 0..60 {
        let handle = scenario.call(0, 0);
        scenario.advance(50.0);
        if scenario.servers_tried(handle).last() == Some(&1) {
            scenario.establish(handle);
            scenario.end_attempt(handle, Ending::Ok);
        }
    }
    // Five proxies at a target delay of 400 ms: each one tries about once in 2 s.
    assert!((1..=4).contains(&scenario.attempts_at(0)), "{}", scenario.attempts_at(0));
    assert!(scenario.attempts_at(1) > 30);
}

#[test]
fn one_answer_to_this_proxy_outweighs_all_suspicions() {
    let mut scenario = Scenario::with_servers(2);
    suspect(&mut scenario, 9.0);
    scenario.advance(1.0);
    while scenario.attempts_at(0) == 0 {
        let handle = scenario.call(0, 0);
        scenario.advance(40.0);
        scenario.establish(handle);
        scenario.end_attempt(handle, Ending::Ok);
    }
    let before = scenario.attempts_at(0);
    (0..5).for_each(|_| scenario.complete_call(0, 50.0));
    assert_eq!(scenario.attempts_at(0), before + 5);
}

#[rstest]
#[case::too_few_accusers(Some(0.5))]
#[case::withdrawn(None)]
fn a_weak_or_withdrawn_suspicion_changes_nothing(#[case] strength: Option<f64>) {
    let mut scenario = Scenario::with_servers(2);
    suspect(&mut scenario, 1.0);
    let since = scenario.now;
    scenario.proxy.set_suspicion(Server(0), strength.map(|strength| Suspicion { strength, since }));
    let handle = scenario.call(0, 0);
    assert_eq!(scenario.servers_tried(handle), [0]);
}

#[test]
fn an_attempt_that_was_not_sent_does_not_count_as_an_answer() {
    let mut scenario = Scenario::with_servers(2);
    suspect(&mut scenario, 1.0);
    scenario.advance(1.0);
    let mut half_open = None;
    for _ in 0..200 {
        let handle = scenario.call(0, 0);
        scenario.advance(50.0);
        if scenario.servers_tried(handle) == [0] {
            half_open = Some(handle);
            break;
        }
        scenario.establish(handle);
        scenario.end_attempt(handle, Ending::Ok);
    }
    scenario.end_attempt(half_open.expect("a half-open attempt"), Ending::NotSent);
    let handle = scenario.call(0, 0);
    assert_eq!(scenario.servers_tried(handle), [1]);
}

#[test]
fn no_more_attempts_go_than_the_fleet_limit_allows_and_each_withheld_call_is_counted_once() {
    let mut scenario = Scenario::with_servers(2);
    assert_eq!(scenario.proxy.set_fleet_limit(Server(0), Some(1)), 0);
    assert_eq!(scenario.proxy.set_fleet_limit(Server(1), Some(0)), 0);
    let (first, second) = (scenario.call(0, 0), scenario.call(0, 0));
    assert_eq!((scenario.servers_tried(first), scenario.servers_tried(second)), (vec![0], vec![]));
    scenario.advance(200.0);
    assert_eq!(
        scenario.proxy.set_fleet_limit(Server(0), Some(0)),
        1,
        "counted once, though it was tried in each turn"
    );
    assert_eq!(scenario.proxy.set_fleet_limit(Server(0), Some(1)), 0);
    scenario.end_attempt(first, Ending::Ok);
    assert_eq!(scenario.servers_tried(second), [0]);
}

#[test]
fn a_call_withheld_from_its_preferred_server_by_the_limit_goes_to_another() {
    let mut scenario = Scenario::with_servers(2);
    scenario.proxy.set_fleet_limit(Server(0), Some(0));
    let handle = scenario.call(0, 0);
    assert_eq!(scenario.servers_tried(handle), [1]);
    assert_eq!(scenario.proxy.set_fleet_limit(Server(0), Some(0)), 1);
}

#[test]
fn a_fleet_limit_lets_a_busy_proxy_send_a_cold_server_more_than_an_equal_share() {
    let attempts = |limited: bool| {
        let mut scenario = Scenario::with_servers(2);
        scenario.advance(20_000.0);
        scenario.update_server_list(&[server_entry(0, State::Running, Some(19_900.0))]);
        let report = Report { rate: Some(10.0), ..Report::default() };
        scenario.proxy.reported(Server(0), report);
        for _ in 0..40 {
            scenario.proxy.set_fleet_limit(Server(0), limited.then_some(1));
            scenario.complete_call(0, 20.0);
            scenario.advance(80.0);
        }
        scenario.attempts_at(0)
    };
    let (without_limit, with_limit) = (attempts(false), attempts(true));
    assert!(with_limit > 2 * without_limit, "{with_limit} and {without_limit}");
}

#[test]
fn a_fleet_limit_does_not_open_a_server_that_other_rules_close() {
    let mut scenario = Scenario::with_servers(2);
    scenario.update_server_list(&[server_entry(0, State::Draining, None)]);
    scenario.proxy.set_fleet_limit(Server(0), Some(100));
    let handle = scenario.call(0, 0);
    assert_eq!(scenario.servers_tried(handle), [1]);
    assert_eq!(
        scenario.proxy.set_fleet_limit(Server(0), Some(100)),
        0,
        "another rule than the limit closes the server"
    );
}

#[test]
fn withdrawing_a_limit_leaves_attempts_in_flight_and_other_state_unchanged() {
    let mut scenario = Scenario::with_servers(1);
    scenario.proxy.set_fleet_limit(Server(0), Some(1));
    let in_flight = scenario.call(0, 0);
    let held = scenario.call(0, 0);
    scenario.proxy.set_fleet_limit(Server(0), None);
    scenario.establish(in_flight);
    assert_eq!((scenario.servers_tried(in_flight), scenario.servers_tried(held)), (vec![0], vec![0]));
}
