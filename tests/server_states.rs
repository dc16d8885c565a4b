//! Central servers that are draining, gone, or just started.

mod fake;

use std::ops::RangeInclusive;

use fake::{Scenario, server_entry, terms};
use frostthread::host::{Report, Server, State, Terms};
use rstest::rstest;

#[rstest]
#[case(State::Draining)]
#[case(State::Gone)]
fn a_draining_or_gone_server_gets_no_new_attempts(#[case] state: State) {
    let mut scenario = Scenario::with_servers(2);
    scenario.update_server_list(&[server_entry(0, state, None)]);
    let handles: Vec<_> = (0..4).map(|_| scenario.call(0, 0)).collect();
    scenario.advance(2500.0);
    assert_eq!(scenario.attempts_at(0), 0);
    assert!(handles.iter().any(|&h| scenario.servers_tried(h) == [1]));
    assert!(
        scenario.host.log_lines.iter().any(|line| line.contains("central server 0 is")),
        "the state change is logged"
    );
}

#[test]
fn a_complete_list_removes_servers_it_does_not_name() {
    let mut scenario = Scenario::with_servers(2);
    scenario.proxy.update_server_list(&[server_entry(1, State::Running, None)], true, &mut scenario.host);
    let handle = scenario.call(0, 0);
    assert_eq!(scenario.servers_tried(handle), [1]);
}

#[test]
fn a_cold_server_gets_a_small_share_until_it_answers_quickly() {
    let mut scenario = Scenario::with_servers(1);
    scenario.advance(20_000.0);
    // A server that returns under its former id is as cold as a new one.
    scenario.update_server_list(&[server_entry(0, State::Running, Some(19_900.0))]);
    let mut calls = Vec::new();
    for _ in 0..50 {
        calls.push(scenario.call(1, 0));
        scenario.advance(100.0);
    }
    // Five proxies, and twice the load of a server that handles two set-ups per second: at most one in 1.25 s
    // from each.
    assert!(scenario.attempts_at(0) <= 5, "{} attempts in 5 s", scenario.attempts_at(0));
    let sent =
        calls.iter().copied().find(|&h| !scenario.servers_tried(h).is_empty() && scenario.proxy.contains(h));
    assert!(sent.is_some(), "the cold server gets some attempts");
}

#[rstest]
#[case::known(0.4, 5..=9)]
#[case::unknown(0.0, 0..=3)]
fn reported_lines_admit_a_cold_server_earlier(
    #[case] initial_capacity_share: f64,
    #[case] expected_attempts: RangeInclusive<usize>,
) {
    let mut scenario =
        Scenario::with_terms(1, Terms { proxies: 25, initial_capacity_share, may_probe: false, ..terms() });
    scenario.advance(20_000.0);
    scenario.update_server_list(&[server_entry(0, State::Running, Some(19_900.0))]);
    let lines = Some(800.0);
    scenario.proxy.reported(Server(0), Report { free: lines, lines, ..Report::default() });
    while scenario.now < 30_000.0 {
        // Too slow for single attempts beyond the share.
        scenario.complete_call(0, 300.0);
    }
    // 800 lines turn over 100 times per second; a tenth of that, doubled and divided among 25 proxies, is one
    // in 1.25 s from each. A server that handles two set-ups per second would get one in 6.25 s.
    assert!(
        expected_attempts.contains(&scenario.attempts_at(0)),
        "{} attempts in 10 s",
        scenario.attempts_at(0)
    );
}

#[test]
fn a_cold_server_is_probed_and_paced_by_its_reported_rate() {
    let mut scenario = Scenario::with_servers(2);
    let report = |scenario: &mut Scenario, server, rate| {
        scenario.proxy.reported(Server(server), Report { rate: Some(rate), ..Report::default() });
    };
    report(&mut scenario, 0, 100.0);
    scenario.advance(20_000.0);
    scenario.update_server_list(&[server_entry(1, State::Running, Some(19_900.0))]);
    for _ in 0..50 {
        scenario.complete_call(0, 20.0);
        scenario.advance(80.0);
    }
    let probes = &scenario.host.probes;
    assert!(
        !probes.is_empty() && probes.iter().all(|&s| s == 1),
        "the warm server is not probed: {probes:?}"
    );
    report(&mut scenario, 1, 10.0);
    let before = scenario.attempts_at(1);
    for _ in 0..100 {
        scenario.complete_call(1, 20.0);
        scenario.advance(30.0);
    }
    // Five proxies: two per second from each, and half as many again while the server answers quickly.
    let sent = scenario.attempts_at(1) - before;
    assert!((1..=16).contains(&sent), "{sent} in 5 s");
}

#[test]
fn a_cold_server_whose_answers_report_its_rate_is_not_probed() {
    let mut scenario = Scenario::with_servers(2);
    scenario.advance(20_000.0);
    scenario.update_server_list(&[server_entry(1, State::Running, Some(19_900.0))]);
    for _ in 0..100 {
        scenario.proxy.reported(Server(1), Report { rate: Some(10.0), ..Report::default() });
        scenario.complete_call(0, 20.0);
        scenario.advance(80.0);
    }
    assert!(
        scenario.host.probes.is_empty(),
        "probes from hundreds of proxies would request what they know already: {:?}",
        scenario.host.probes
    );
}
