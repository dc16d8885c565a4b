//! Stories of calls that are held, refused, advised or given up, by earnings, tenant and patience.

mod fake;

use fake::{Story, line, terms};
use frostthread::host::{Ending, Report, Server, State, Terms};
use rstest::rstest;

#[test]
fn what_cannot_stand_in_time_is_refused_with_advice() {
    let mut story = Story::with(1);
    story.list(&[line(0, State::Gone, None)]);
    let handle = story.call(0, 0);
    story.pass(2100.0);
    let (refused, advice) = story.host.refused[0];
    assert_eq!(refused, handle);
    assert!(advice.is_some_and(|wait| wait > 0.0 && wait <= 2000.0));
}

#[rstest]
#[case::better_earnings((0, 0), (1, 0))]
#[case::inside_its_share((0, 1), (0, 0))]
fn a_hold_serves_the_best_earners_first(#[case] low: (usize, usize), #[case] high: (usize, usize)) {
    let mut story = Story::with(1);
    let full: Vec<_> = (0..2).map(|_| story.call(1, 0)).collect();
    // The tenant's quota is far under what this conversation brings it to.
    let poor = story.call_of(low.0, 0, low.1);
    let rich = story.call_of(high.0, 0, high.1);
    story.pass(50.0);
    for handle in full {
        story.stood(handle);
        story.pass(50.0);
    }
    let order = |h| story.host.shots.iter().position(|shot| shot.0 == h).unwrap_or(usize::MAX);
    assert!(order(rich) < order(poor), "{:?}", story.host);
}

/// The tenant's quota is tiny, so that a guess by this proxy's traffic has it far over.
#[rstest]
#[case::within(Some(true), true)]
#[case::over(Some(false), false)]
#[case::not_known(None, false)]
fn what_the_fleet_counts_of_a_tenants_share_stands_for_the_guess(
    #[case] within: Option<bool>,
    #[case] goes_first: bool,
) {
    let mut story = Story::with(1);
    let full: Vec<_> = (0..2).map(|_| story.call(1, 0)).collect();
    story.proxy.set_within_share(1, within);
    let of_tenant = story.call_of(0, 0, 1);
    let other = story.call_of(0, 0, 0);
    story.pass(50.0);
    for handle in full {
        story.stood(handle);
        story.pass(50.0);
    }
    let order = |h| story.host.shots.iter().position(|shot| shot.0 == h).unwrap_or(usize::MAX);
    assert_eq!(order(of_tenant) < order(other), goes_first, "{:?}", story.host);
}

#[test]
fn a_caller_that_has_gone_is_not_answered() {
    let mut story = Story::with(1);
    story.list(&[line(0, State::Gone, None)]);
    let handle = story.call(0, 0);
    handle.caller_gone(&mut story.proxy);
    story.pass(5000.0);
    assert!(story.host.refused.is_empty() && story.host.failed.is_empty());
    assert!(!story.proxy.contains(handle));
}

#[test]
fn a_number_whose_lines_are_busy_is_given_up_at_once_and_gapped() {
    let mut story = Story::with(3);
    let handle = story.call_number(5);
    story.pass(50.0);
    story.ended(handle, Ending::Busy);
    assert_eq!(story.host.refused.len(), 1, "no other central server has lines for it");
    story.call_number(5);
    assert_eq!((story.host.refused.len(), story.host.shots.len()), (2, 1), "nor is it tried in its gap");
    let other = story.call_number(6);
    assert_eq!(story.went(other), [0], "other numbers are not held back");
    story.pass(400.0);
    let again = story.call_number(5);
    assert_eq!(story.went(again).len(), 1, "after the gap it is tried again");
}

#[test]
fn a_caller_that_dials_again_past_its_quoted_time_yields_to_a_new_one() {
    let mut story = Story::with(1);
    story.list(&[line(0, State::Draining, None)]);
    let given_up = story.call_number(5);
    story.pass(2500.0);
    assert!(!story.proxy.contains(given_up));
    story.list(&[line(0, State::Running, None)]);
    let full = [story.call(0, 0), story.call(0, 0)];
    story.call_number(5);
    assert_eq!(story.host.refused.len(), 2, "it can no longer stand in time, so it is not held");
    let fresh = story.call_number(6);
    story.stood(full[0]);
    assert_eq!(story.went(fresh), [0]);
}

#[test]
fn a_call_that_waited_through_a_stall_of_the_proxy_is_known_by_what_is_left_of_its_patience() {
    let mut story = Story::with(1);
    (0..10).for_each(|_| story.answer(0, 50.0));
    story.list(&[line(0, State::Gone, None)]);
    story.call_left(900.0);
    assert!(
        story.host.refused.is_empty(),
        "one with little patience has not waited: the proxy had its turns"
    );
    story.now += 2500.0;
    story.proxy.advance_clock(story.now);
    story.call_left(3000.0);
    assert_eq!(story.host.refused.len(), 1, "the first is over, a new one is held");
    story.call_left(900.0);
    assert_eq!(story.host.refused.len(), 2, "one that has waited for 2.1 s can no longer stand in time");
}

#[rstest]
#[case::within_the_longest_advice(1990.0, 1990.0)]
#[case::over_it(5000.0, 2000.0)]
fn a_caller_is_told_to_come_back_when_the_first_server_takes_shots_again(
    #[case] wait: f64,
    #[case] advised: f64,
) {
    let mut story = Story::among(1, Terms { respect_retry_after: true, max_attempts: 9, ..terms() });
    let handle = story.call(0, 0);
    let stay_away = Some(wait);
    story.proxy.reported(Server(0), Report { retry_after: stay_away, ..Report::default() });
    story.ended(handle, Ending::Rejected);
    // No answer could reach it any more, so it is given up at once.
    let late = story.call_left(10.0);
    let told = story.host.refused.iter().find(|(refused, _)| *refused == late).expect("refused").1;
    assert!(told.is_some_and(|told| (told - advised).abs() < 1.0), "{told:?}");
}
