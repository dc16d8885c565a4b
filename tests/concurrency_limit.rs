//! How many attempts a central server gets: the concurrency limit falls, cools down, closes and recovers.

mod fake;

use fake::{Scenario, terms};
use frostthread::host::{Ending, Report, Server, Terms};
use rstest::rstest;

#[test]
fn a_silent_server_stops_getting_attempts_before_any_timeout() {
    let mut scenario = Scenario::with_servers(2);
    for _ in 0..12 {
        let handle = scenario.call(0, 0);
        if scenario.servers_tried(handle) == [1] {
            scenario.advance(30.0);
            scenario.establish(handle);
            scenario.end_attempt(handle, Ending::Ok);
        }
    }
    assert!(scenario.attempts_at(0) <= 3, "attempts in flight use up its limit: {:?}", scenario.host);
    assert!(scenario.attempts_at(1) >= 9, "the other attempts go to the other server");
}

#[test]
fn an_overloaded_server_gets_a_lower_limit_that_recovers() {
    let mut scenario = Scenario::with_servers(1);
    (0..2).for_each(|_| scenario.complete_call(0, 1500.0));
    let both = [scenario.call(0, 0), scenario.call(0, 0)];
    assert!(
        both.iter().any(|&h| scenario.servers_tried(h).is_empty()),
        "late answers have lowered the limit"
    );
    scenario.advance(2900.0);
    for handle in both {
        scenario.end_attempt(handle, Ending::Ok);
    }
    (0..40).for_each(|_| scenario.complete_call(0, 60.0));
    let both = [scenario.call(0, 0), scenario.call(0, 0)];
    assert!(
        both.iter().all(|&h| scenario.servers_tried(h) == [0]),
        "quick answers have raised the limit again"
    );
}

/// Guards against withdrawn attempts counting as quick answers, which opened an overloaded server further.
#[test]
fn attempts_withdrawn_early_do_not_raise_the_limit() {
    let mut scenario = Scenario::with_servers(1);
    (0..2).for_each(|_| scenario.complete_call(0, 1500.0));
    for _ in 0..40 {
        let handle = scenario.call(0, 0);
        scenario.advance(10.0);
        scenario.withdraw(handle);
        scenario.advance(50.0);
    }
    let both = [scenario.call(0, 0), scenario.call(0, 0)];
    assert!(both.iter().any(|&h| scenario.servers_tried(h).is_empty()), "nothing has raised the limit");
}

#[rstest]
#[case::one_of_few(5, 1)]
#[case::one_of_hundreds(250, 0)]
fn one_late_answer_cools_down_one_proxy_among_hundreds(#[case] proxies: u32, #[case] attempts: usize) {
    let mut scenario = Scenario::with_terms(1, Terms { proxies, ..terms() });
    (0..6).for_each(|_| {
        scenario.complete_call(0, 60.0);
        scenario.advance(3000.0);
    });
    scenario.complete_call(0, 1500.0);
    // A proxy with little traffic of its own sees an overload by a single answer in seconds.
    scenario.advance(1000.0);
    let next = scenario.call(0, 0);
    assert_eq!(scenario.servers_tried(next).len(), attempts);
}

#[test]
fn a_cooling_server_opens_to_high_earnings_first_unless_its_latest_answer_was_late() {
    let wait_until_sent = |grade, latest_delay| {
        let mut scenario = Scenario::with_terms(1, Terms { proxies: 250, ..terms() });
        scenario.complete_call(0, latest_delay);
        let since = scenario.now;
        while scenario.attempts_at(0) == 1 {
            scenario.call(grade, 0);
            scenario.advance(250.0);
        }
        scenario.now - since
    };
    let wait_ratio = |latest_delay| wait_until_sent(1, latest_delay) / wait_until_sent(0, latest_delay);
    assert!(wait_ratio(60.0) <= 0.2, "a server with quick answers opens to high earnings first");
    assert!(wait_ratio(1500.0) > 0.2, "after a late answer high earnings go no sooner");
}

#[test]
fn a_reset_does_not_lower_the_limit() {
    let mut scenario = Scenario::with_servers(1);
    for _ in 0..4 {
        let handle = scenario.call(0, 0);
        scenario.advance(20.0);
        scenario.end_attempt(handle, Ending::Reset);
        scenario.advance(400.0);
        scenario.establish(handle);
        scenario.end_attempt(handle, Ending::Ok);
    }
    let both = [scenario.call(0, 0), scenario.call(0, 0)];
    assert!(both.iter().all(|&h| scenario.servers_tried(h) == [0]));
}

#[test]
fn a_refused_connection_closes_the_server_except_for_single_attempts() {
    let mut scenario = Scenario::with_servers(2);
    let first = scenario.call(0, 0);
    scenario.end_attempt(first, Ending::NoConnection);
    for _ in 0..6 {
        scenario.call(0, 0);
    }
    assert_eq!(
        scenario.attempts_at(0),
        1,
        "the other calls found it cooling down, though the initial limit is higher"
    );
}

#[test]
fn after_a_refused_connection_one_proxy_of_hundreds_returns_within_two_windows() {
    let mut scenario = Scenario::with_terms(2, Terms { proxies: 286, may_probe: false, ..terms() });
    let complete_if_sent = |scenario: &mut Scenario| {
        let handle = scenario.call(1, 0);
        scenario.advance(20.0);
        if scenario.servers_tried(handle).is_empty() {
            return handle.caller_gone(&mut scenario.proxy);
        }
        scenario.establish(handle);
        scenario.end_attempt(handle, Ending::Ok);
    };
    complete_if_sent(&mut scenario);
    let handle = scenario.call(1, 0);
    scenario.end_attempt(handle, Ending::NoConnection);
    handle.caller_gone(&mut scenario.proxy);
    scenario.advance(2000.0);
    complete_if_sent(&mut scenario);
    assert_eq!(scenario.attempts_at(0), 2, "no attempt before the cool-down is over");
    scenario.advance(6000.0);
    complete_if_sent(&mut scenario);
    assert_eq!(scenario.attempts_at(0), 3);
    scenario.advance(1000.0);
    complete_if_sent(&mut scenario);
    assert_eq!(scenario.attempts_at(0), 4, "soon as open as a new server");
}

#[test]
fn a_long_cool_down_is_probed_and_ended_by_a_reported_rate_near_the_best() {
    let mut scenario = Scenario::with_terms(2, Terms { proxies: 250, ..terms() });
    let report = |scenario: &mut Scenario, rate| {
        scenario.proxy.reported(Server(0), Report { rate: Some(rate), ..Report::default() });
    };
    report(&mut scenario, 100.0);
    scenario.complete_call(0, 1500.0);
    report(&mut scenario, 100.0);
    scenario.complete_call(0, 20.0);
    assert_eq!(scenario.attempts_at(0), 1, "such a report may be older than the overload");
    for _ in 0..250 {
        scenario.complete_call(1, 20.0);
        scenario.advance(80.0);
    }
    assert!(scenario.host.probes.contains(&0));
    assert_eq!(scenario.attempts_at(0), 1, "still cooling down");
    report(&mut scenario, 100.0);
    scenario.complete_call(0, 20.0);
    assert_eq!(scenario.attempts_at(0), 2);
}

#[test]
fn a_retry_time_over_any_time_limit_is_ignored() {
    let mut scenario = Scenario::with_terms(1, Terms { respect_retry_after: true, ..terms() });
    scenario.proxy.reported(Server(0), Report { retry_after: Some(9001.0), ..Report::default() });
    scenario.complete_call(0, 20.0);
    assert_eq!(scenario.attempts_at(0), 1);
}

#[test]
fn a_server_that_rejected_an_attempt_gets_none_for_as_long_as_it_requested() {
    let mut scenario = Scenario::with_terms(2, Terms { respect_retry_after: true, ..terms() });
    let handle = scenario.call(0, 0);
    let retry_after = Some(800.0);
    scenario.proxy.reported(Server(0), Report { retry_after, ..Report::default() });
    scenario.end_attempt(handle, Ending::Rejected);
    assert_eq!(scenario.servers_tried(handle), [0, 1], "the other server accepts attempts");
    scenario.complete_call(0, 20.0);
    assert_eq!(scenario.attempts_at(0), 1);
    scenario.advance(800.0);
    scenario.complete_call(0, 20.0);
    assert_eq!(scenario.attempts_at(0), 2);
}

#[test]
fn a_rejection_without_free_lines_closes_the_server_until_lines_are_reported() {
    let mut scenario = Scenario::with_servers(2);
    let handle = scenario.call(0, 0);
    scenario.end_attempt(handle, Ending::NoFreeLine);
    assert_eq!(scenario.servers_tried(handle), [0, 1]);
    let next = scenario.call(0, 0);
    assert_eq!(scenario.servers_tried(next), [1]);
    scenario.proxy.reported(Server(0), Report { free: Some(3.0), ..Report::default() });
    let both = [scenario.call(0, 0), scenario.call(0, 0)];
    assert!(both.iter().all(|&h| scenario.servers_tried(h) == [0]), "the limit was not lowered");
}

#[test]
fn an_attempt_older_than_twice_the_target_delay_lowers_the_limit() {
    let mut scenario = Scenario::with_servers(1);
    (0..60).for_each(|_| scenario.complete_call(0, 40.0));
    let first = scenario.call(0, 0);
    scenario.advance(2500.0);
    let next = scenario.call(0, 0);
    assert!(
        scenario.servers_tried(next).is_empty(),
        "the limit allowed two, but the age of the oldest attempt lowers it"
    );
    scenario.establish(first);
    scenario.advance(2000.0);
    assert!(scenario.servers_tried(next).len() <= 1);
}

#[test]
fn calls_that_no_server_can_set_up_close_none_and_are_not_retried_forever() {
    let mut scenario = Scenario::with_servers(2);
    (0..60).for_each(|_| scenario.complete_call(0, 40.0));
    (0..60).for_each(|_| scenario.complete_call(1, 40.0));
    for _ in 0..20 {
        let faulty = scenario.call(0, 0);
        scenario.end_attempt(faulty, Ending::Error);
        scenario.advance(1.0);
        scenario.end_attempt(faulty, Ending::Error);
        assert_eq!(scenario.servers_tried(faulty), [0, 1], "not retried after faults at two servers");
        scenario.complete_call(0, 40.0);
        scenario.complete_call(1, 40.0);
    }
    let valid = scenario.call(0, 0);
    assert_eq!(scenario.servers_tried(valid), [0]);
}

#[test]
fn a_server_that_fails_what_others_can_set_up_is_closed() {
    let mut scenario = Scenario::with_servers(2);
    (0..60).for_each(|_| scenario.complete_call(0, 40.0));
    let mut faults = 0;
    for _ in 0..20 {
        let handle = scenario.call(0, 0);
        if scenario.servers_tried(handle) == [0] {
            faults += 1;
            scenario.end_attempt(handle, Ending::Error);
            scenario.advance(1.0);
        }
        scenario.establish(handle);
        scenario.end_attempt(handle, Ending::Ok);
    }
    assert!((1..10).contains(&faults), "{faults}");
    let next = scenario.call(0, 0);
    assert_eq!(scenario.servers_tried(next), [1]);
}
