//! Attempts of one call: when an attempt ends, when the next one is sent, and where to.

mod fake;

use fake::{Scenario, terms};
use frostthread::host::{Ending, Report, Server, Terms};
use rstest::rstest;

#[rstest]
#[case(Ending::TimedOut)]
#[case(Ending::Reset)]
#[case(Ending::Cancelled)]
fn a_call_is_not_retried_before_its_release_is_over(#[case] ending: Ending) {
    let mut scenario = Scenario::with_servers(2);
    let handle = scenario.call(0, 0);
    scenario.advance(100.0);
    scenario.end_attempt(handle, ending);
    scenario.advance(299.0);
    assert_eq!(scenario.servers_tried(handle).len(), 1, "no attempt is sent before the release is over");
    scenario.advance(100.0);
    assert_eq!(scenario.servers_tried(handle).len(), 2, "the next attempt follows the release");
}

#[test]
fn a_rejected_call_is_retried_at_once_and_never_has_two_attempts_in_flight() {
    let mut scenario = Scenario::with_servers(2);
    let handle = scenario.call(0, 0);
    scenario.advance(2000.0);
    assert_eq!(scenario.servers_tried(handle).len(), 1);
    let other = scenario.call(0, 1);
    scenario.end_attempt(other, Ending::Rejected);
    assert_eq!(scenario.servers_tried(other).len(), 2, "the rejected call is retried at once");
    assert_eq!(
        scenario.servers_tried(handle).len(),
        1,
        "the call with an attempt in flight gets no second one"
    );
}

#[test]
fn attempts_stop_at_the_agreed_maximum_with_one_final_answer() {
    let mut scenario = Scenario::with_servers(3);
    let handle = scenario.call(0, 0);
    for _ in 0..4 {
        if scenario.servers_tried(handle).len() <= 4 && scenario.host.failed.is_empty() {
            scenario.end_attempt(handle, Ending::Rejected);
            scenario.advance(5.0);
        }
    }
    assert!(scenario.servers_tried(handle).len() <= 4);
    assert_eq!(scenario.host.failed.len() + scenario.host.refused.len(), 1, "one final answer");
    assert!(!scenario.proxy.contains(handle));
}

#[rstest]
#[case::refused_by_the_network(Ending::NoConnection)]
#[case::no_answer(Ending::TimedOut)]
fn the_next_attempt_goes_to_another_server_while_one_is_eligible(#[case] ending: Ending) {
    let mut scenario = Scenario::with_servers(3);
    let handle = scenario.call(0, 0);
    scenario.end_attempt(handle, ending);
    scenario.advance(400.0);
    assert_eq!(scenario.servers_tried(handle)[0], 0);
    assert_ne!(scenario.servers_tried(handle)[1], 0);
}

#[rstest]
#[case::a_reported_wait(Some(100.0), 20.0, 2000.0)]
#[case::no_reported_wait(None, 20.0, 3000.0)]
#[case::answers_late_anyway(Some(100.0), 2500.0, 3000.0)]
fn an_attempt_times_out_with_its_quoted_time_where_waits_are_reported(
    #[case] wait: Option<f64>,
    #[case] latest_delay: f64,
    #[case] timeout: f64,
) {
    let mut scenario = Scenario::with_servers(1);
    scenario.complete_call(0, latest_delay);
    scenario.advance(6000.0);
    scenario.proxy.reported(Server(0), Report { wait, ..Report::default() });
    scenario.call(0, 0);
    assert_eq!(scenario.host.attempts.last().expect("sent").2, timeout);
}

#[test]
fn a_superseded_attempt_uses_no_capacity_and_is_cancelled() {
    let mut scenario = Scenario::with_servers(1);
    let lost = scenario.call(0, 0);
    scenario.advance(10.0);
    (0..3).for_each(|_| scenario.complete_call(0, 50.0));
    let both = [scenario.call(0, 0), scenario.call(0, 0)];
    assert!(
        both.iter().all(|&h| scenario.servers_tried(h) == [0]),
        "the superseded attempt uses no capacity"
    );
    assert!(scenario.host.cancelled.is_empty(), "its answer may only be a little late");
    scenario.advance(500.0);
    scenario.establish(both[0]);
    assert_eq!(scenario.host.cancelled, [(lost, 0)], "cancelled exactly once");
    scenario.establish(both[1]);
    scenario.end_attempt(lost, Ending::Cancelled);
    scenario.advance(310.0);
    assert_eq!(scenario.servers_tried(lost), [0, 0], "retried after the release");
}

#[rstest]
#[case::answers_get_lost(3, 1)]
#[case::none_was_lost(0, 0)]
fn an_unanswered_attempt_at_a_quick_server_is_cancelled_where_answers_get_lost(
    #[case] lost_answers: usize,
    #[case] cancelled: usize,
) {
    let mut scenario = Scenario::with_terms(1, Terms { proxies: 1, ..terms() });
    (0..10).for_each(|_| scenario.complete_call(0, 20.0));
    for _ in 0..lost_answers {
        let unanswered = scenario.call(0, 0);
        scenario.advance(10.0);
        scenario.complete_call(0, 20.0);
        scenario.end_attempt(unanswered, Ending::TimedOut);
        unanswered.caller_gone(&mut scenario.proxy);
    }
    let handle = scenario.call(0, 0);
    scenario.advance(390.0);
    assert!(scenario.host.cancelled.is_empty(), "its answer may still arrive");
    scenario.advance(110.0);
    assert_eq!(scenario.host.cancelled.len(), cancelled);
    if cancelled > 0 {
        scenario.end_attempt(handle, Ending::Cancelled);
        scenario.advance(310.0);
        assert_eq!(scenario.servers_tried(handle), [0, 0], "retried after the release");
    }
}

#[test]
fn a_quick_fault_supersedes_no_earlier_attempt() {
    let mut scenario = Scenario::with_servers(1);
    let early = scenario.call(0, 0);
    scenario.advance(10.0);
    let faulty = scenario.call(0, 0);
    scenario.end_attempt(faulty, Ending::Error);
    scenario.advance(600.0);
    scenario.call(0, 0);
    assert!(scenario.host.cancelled.is_empty(), "the earlier attempt may still be queued");
    assert_eq!(scenario.servers_tried(early), [0]);
}
