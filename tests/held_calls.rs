//! Calls that are held, refused or given up, by earnings, tenant and the caller's timeout.

mod fake;

use fake::{Scenario, server_entry, terms};
use frostthread::host::{Ending, Report, Server, State, Terms};
use rstest::rstest;

#[test]
fn a_call_that_cannot_be_answered_in_time_is_refused_with_a_retry_time() {
    let mut scenario = Scenario::with_servers(1);
    scenario.update_server_list(&[server_entry(0, State::Gone, None)]);
    let handle = scenario.call(0, 0);
    scenario.advance(2100.0);
    let (refused, retry_after) = scenario.host.refused[0];
    assert_eq!(refused, handle);
    assert!(retry_after.is_some_and(|wait| wait > 0.0 && wait <= 2000.0));
}

#[rstest]
#[case::better_earnings((0, 0), (1, 0))]
#[case::within_its_share((0, 1), (0, 0))]
fn held_calls_are_sent_by_descending_earnings(#[case] low: (usize, usize), #[case] high: (usize, usize)) {
    let mut scenario = Scenario::with_servers(1);
    let in_flight: Vec<_> = (0..2).map(|_| scenario.call(1, 0)).collect();
    // This conversation brings the tenant far over its quota.
    let low_call = scenario.call_for_tenant(low.0, 0, low.1);
    let high_call = scenario.call_for_tenant(high.0, 0, high.1);
    scenario.advance(50.0);
    for handle in in_flight {
        scenario.establish(handle);
        scenario.advance(50.0);
    }
    let sent_position =
        |call| scenario.host.attempts.iter().position(|attempt| attempt.0 == call).unwrap_or(usize::MAX);
    assert!(sent_position(high_call) < sent_position(low_call), "{:?}", scenario.host);
}

/// The tenant's quota is tiny, so that by the estimate from this proxy's traffic it is far over.
#[rstest]
#[case::within(Some(true), true)]
#[case::over(Some(false), false)]
#[case::unknown(None, false)]
fn the_fleets_count_of_a_tenants_share_replaces_the_local_estimate(
    #[case] within: Option<bool>,
    #[case] goes_first: bool,
) {
    let mut scenario = Scenario::with_servers(1);
    let in_flight: Vec<_> = (0..2).map(|_| scenario.call(1, 0)).collect();
    scenario.proxy.set_within_share(1, within);
    let of_tenant = scenario.call_for_tenant(0, 0, 1);
    let other = scenario.call_for_tenant(0, 0, 0);
    scenario.advance(50.0);
    for handle in in_flight {
        scenario.establish(handle);
        scenario.advance(50.0);
    }
    let sent_position =
        |call| scenario.host.attempts.iter().position(|attempt| attempt.0 == call).unwrap_or(usize::MAX);
    assert_eq!(sent_position(of_tenant) < sent_position(other), goes_first, "{:?}", scenario.host);
}

#[test]
fn a_caller_that_has_gone_is_not_answered() {
    let mut scenario = Scenario::with_servers(1);
    scenario.update_server_list(&[server_entry(0, State::Gone, None)]);
    let handle = scenario.call(0, 0);
    handle.caller_gone(&mut scenario.proxy);
    scenario.advance(5000.0);
    assert!(scenario.host.refused.is_empty() && scenario.host.failed.is_empty());
    assert!(!scenario.proxy.contains(handle));
}

#[test]
fn a_busy_number_is_refused_at_once_and_backed_off() {
    let mut scenario = Scenario::with_servers(3);
    let handle = scenario.call_to_number(5);
    scenario.advance(50.0);
    scenario.end_attempt(handle, Ending::Busy);
    assert_eq!(scenario.host.refused.len(), 1, "no other central server can reach a busy number");
    scenario.call_to_number(5);
    assert_eq!(
        (scenario.host.refused.len(), scenario.host.attempts.len()),
        (2, 1),
        "the number is not tried during its backoff"
    );
    let other = scenario.call_to_number(6);
    assert_eq!(scenario.servers_tried(other), [0], "other numbers are not held back");
    scenario.advance(400.0);
    let again = scenario.call_to_number(5);
    assert_eq!(scenario.servers_tried(again).len(), 1, "the number is tried again after its backoff");
}

#[test]
fn a_redial_past_its_quoted_time_yields_to_a_new_call() {
    let mut scenario = Scenario::with_servers(1);
    scenario.update_server_list(&[server_entry(0, State::Draining, None)]);
    let given_up = scenario.call_to_number(5);
    scenario.advance(2500.0);
    assert!(!scenario.proxy.contains(given_up));
    scenario.update_server_list(&[server_entry(0, State::Running, None)]);
    let in_flight = [scenario.call(0, 0), scenario.call(0, 0)];
    scenario.call_to_number(5);
    assert_eq!(
        scenario.host.refused.len(),
        2,
        "the redial can no longer be answered in time, so it is not held"
    );
    let new_call = scenario.call_to_number(6);
    scenario.establish(in_flight[0]);
    assert_eq!(scenario.servers_tried(new_call), [0]);
}

#[test]
fn a_call_that_waited_through_a_proxy_stall_is_recognized_by_its_remaining_timeout() {
    let mut scenario = Scenario::with_servers(1);
    (0..10).for_each(|_| scenario.complete_call(0, 50.0));
    scenario.update_server_list(&[server_entry(0, State::Gone, None)]);
    scenario.call_with_remaining(900.0);
    assert!(
        scenario.host.refused.is_empty(),
        "a call with a short timeout is held, since the proxy had its turns and the call did not wait"
    );
    scenario.now += 2500.0;
    scenario.proxy.advance_clock(scenario.now);
    scenario.call_with_remaining(3000.0);
    assert_eq!(scenario.host.refused.len(), 1, "the first call is refused, the new one is held");
    scenario.call_with_remaining(900.0);
    assert_eq!(
        scenario.host.refused.len(),
        2,
        "a call that has waited for 2.1 s can no longer be answered in time"
    );
}

#[rstest]
#[case::within_the_maximum_retry_time(1990.0, 1990.0)]
#[case::over_it(5000.0, 2000.0)]
fn a_refused_caller_is_told_to_retry_when_the_first_server_accepts_attempts_again(
    #[case] wait: f64,
    #[case] expected: f64,
) {
    let mut scenario =
        Scenario::with_terms(1, Terms { respect_retry_after: true, max_attempts: 9, ..terms() });
    let handle = scenario.call(0, 0);
    let retry_after = Some(wait);
    scenario.proxy.reported(Server(0), Report { retry_after, ..Report::default() });
    scenario.end_attempt(handle, Ending::Rejected);
    // No answer can reach this call in time, so it is given up at once.
    let late = scenario.call_with_remaining(10.0);
    let retry_after_sent =
        scenario.host.refused.iter().find(|(refused, _)| *refused == late).expect("refused").1;
    assert!(retry_after_sent.is_some_and(|wait| (wait - expected).abs() < 1.0), "{retry_after_sent:?}");
}
