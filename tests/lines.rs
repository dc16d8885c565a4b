//! Stories of how much is sent to a central server: its line narrowed, rested, closed and opened again.

mod fake;

use fake::{Story, terms};
use frostthread::host::{Ending, Report, Server, Terms};
use rstest::rstest;

#[test]
fn a_silent_central_server_stops_taking_work_before_any_time_out() {
    let mut story = Story::with(2);
    for _ in 0..12 {
        let handle = story.call(0, 0);
        if story.went(handle) == [1] {
            story.pass(30.0);
            story.stood(handle);
            story.ended(handle, Ending::Ok);
        }
    }
    assert!(story.shots_at(0) <= 3, "shots still out fill its line: {:?}", story.host);
    assert!(story.shots_at(1) >= 9, "the rest goes elsewhere");
}

#[test]
fn a_jammed_line_is_narrowed_and_opens_again() {
    let mut story = Story::with(1);
    (0..2).for_each(|_| story.answer(0, 1500.0));
    let both = [story.call(0, 0), story.call(0, 0)];
    assert!(both.iter().any(|&h| story.went(h).is_empty()), "late answers have narrowed the line");
    story.pass(2900.0);
    for handle in both {
        story.ended(handle, Ending::Ok);
    }
    (0..40).for_each(|_| story.answer(0, 60.0));
    let both = [story.call(0, 0), story.call(0, 0)];
    assert!(both.iter().all(|&h| story.went(h) == [0]), "quick answers have opened it again");
}

#[rstest]
#[case::one_of_few(5, 1)]
#[case::one_of_hundreds(250, 0)]
fn one_late_answer_rests_the_line_of_one_proxy_among_hundreds(#[case] proxies: u32, #[case] shots: usize) {
    let mut story = Story::among(1, Terms { proxies, ..terms() });
    (0..6).for_each(|_| {
        story.answer(0, 60.0);
        story.pass(3000.0);
    });
    story.answer(0, 1500.0);
    // One that has little traffic of its own sees a jam by one answer in seconds.
    story.pass(1000.0);
    let next = story.call(0, 0);
    assert_eq!(story.went(next).len(), shots);
}

#[test]
fn a_resting_line_is_open_to_high_earners_first_but_not_to_be_tried_by_them() {
    let waits = |grade, latest| {
        let mut story = Story::among(1, Terms { proxies: 250, ..terms() });
        story.answer(0, latest);
        let since = story.now;
        while story.shots_at(0) == 1 {
            story.call(grade, 0);
            story.pass(250.0);
        }
        story.now - since
    };
    let part = |latest| waits(1, latest) / waits(0, latest);
    assert!(part(60.0) <= 0.2, "a line that answers well is for the high earners");
    assert!(part(1500.0) > 0.2, "one whose latest answer was late is not for them to try");
}

#[test]
fn a_cut_does_not_narrow_a_line() {
    let mut story = Story::with(1);
    for _ in 0..4 {
        let handle = story.call(0, 0);
        story.pass(20.0);
        story.ended(handle, Ending::Reset);
        story.pass(400.0);
        story.stood(handle);
        story.ended(handle, Ending::Ok);
    }
    let both = [story.call(0, 0), story.call(0, 0)];
    assert!(both.iter().all(|&h| story.went(h) == [0]));
}

#[test]
fn a_refused_connection_closes_its_line_but_for_single_shots() {
    let mut story = Story::with(2);
    let first = story.call(0, 0);
    story.ended(first, Ending::NoConnection);
    for _ in 0..6 {
        story.call(0, 0);
    }
    assert_eq!(story.shots_at(0), 1, "the others found it resting, though a line takes more at first");
}

#[test]
fn after_a_refused_connection_one_of_hundreds_comes_back_within_two_windows() {
    let mut story = Story::among(2, Terms { proxies: 286, may_probe: false, ..terms() });
    let answer = |story: &mut Story| {
        let handle = story.call(1, 0);
        story.pass(20.0);
        if story.went(handle).is_empty() {
            return handle.caller_gone(&mut story.proxy);
        }
        story.stood(handle);
        story.ended(handle, Ending::Ok);
    };
    answer(&mut story);
    let handle = story.call(1, 0);
    story.ended(handle, Ending::NoConnection);
    handle.caller_gone(&mut story.proxy);
    story.pass(2000.0);
    answer(&mut story);
    assert_eq!(story.shots_at(0), 2, "not at once");
    story.pass(6000.0);
    answer(&mut story);
    assert_eq!(story.shots_at(0), 3);
    story.pass(1000.0);
    answer(&mut story);
    assert_eq!(story.shots_at(0), 4, "and is soon as open as a new one");
}

#[test]
fn a_line_that_rests_for_long_is_probed_and_opened_by_a_told_rate_near_the_best() {
    let mut story = Story::among(2, Terms { proxies: 250, ..terms() });
    let say = |story: &mut Story, rate| {
        story.proxy.reported(Server(0), Report { rate: Some(rate), ..Report::default() });
    };
    say(&mut story, 100.0);
    story.answer(0, 1500.0);
    say(&mut story, 100.0);
    story.answer(0, 20.0);
    assert_eq!(story.shots_at(0), 1, "such word may be older than the jam");
    for _ in 0..250 {
        story.answer(1, 20.0);
        story.pass(80.0);
    }
    assert!(story.host.probes.contains(&0));
    assert_eq!(story.shots_at(0), 1, "still at rest");
    say(&mut story, 100.0);
    story.answer(0, 20.0);
    assert_eq!(story.shots_at(0), 2);
}

#[test]
fn a_wait_over_any_time_limit_is_not_believed() {
    let mut story = Story::among(1, Terms { respect_retry_after: true, ..terms() });
    story.proxy.reported(Server(0), Report { retry_after: Some(9001.0), ..Report::default() });
    story.answer(0, 20.0);
    assert_eq!(story.shots_at(0), 1);
}

#[test]
fn a_server_that_turned_a_shot_back_is_left_alone_for_as_long_as_it_asked() {
    let mut story = Story::among(2, Terms { respect_retry_after: true, ..terms() });
    let handle = story.call(0, 0);
    let stay_away = Some(800.0);
    story.proxy.reported(Server(0), Report { retry_after: stay_away, ..Report::default() });
    story.ended(handle, Ending::Rejected);
    assert_eq!(story.went(handle), [0, 1], "the other is sound");
    story.answer(0, 20.0);
    assert_eq!(story.shots_at(0), 1);
    story.pass(800.0);
    story.answer(0, 20.0);
    assert_eq!(story.shots_at(0), 2);
}

#[test]
fn a_nack_for_want_of_lines_fails_the_server_until_lines_are_told() {
    let mut story = Story::with(2);
    let handle = story.call(0, 0);
    story.ended(handle, Ending::NoFreeLine);
    assert_eq!(story.went(handle), [0, 1]);
    let next = story.call(0, 0);
    assert_eq!(story.went(next), [1]);
    story.proxy.reported(Server(0), Report { free: Some(3.0), ..Report::default() });
    let both = [story.call(0, 0), story.call(0, 0)];
    assert!(both.iter().all(|&h| story.went(h) == [0]), "its line was not narrowed");
}

#[test]
fn a_shot_of_more_than_twice_the_standing_delay_shrinks_its_line() {
    let mut story = Story::with(1);
    (0..60).for_each(|_| story.answer(0, 40.0));
    let first = story.call(0, 0);
    story.pass(2500.0);
    let next = story.call(0, 0);
    assert!(story.went(next).is_empty(), "the line had room for two, but its oldest tells of a jam");
    story.stood(first);
    story.pass(2000.0);
    assert!(story.went(next).len() <= 1);
}

#[test]
fn calls_that_no_server_can_use_close_none_and_are_not_sent_on_and_on() {
    let mut story = Story::with(2);
    (0..60).for_each(|_| story.answer(0, 40.0));
    (0..60).for_each(|_| story.answer(1, 40.0));
    for _ in 0..20 {
        let senseless = story.call(0, 0);
        story.ended(senseless, Ending::Error);
        story.pass(1.0);
        story.ended(senseless, Ending::Error);
        assert_eq!(story.went(senseless), [0, 1], "two have said so");
        story.answer(0, 40.0);
        story.answer(1, 40.0);
    }
    let sound = story.call(0, 0);
    assert_eq!(story.went(sound), [0]);
}

#[test]
fn a_server_that_fails_what_others_can_set_up_is_closed() {
    let mut story = Story::with(2);
    (0..60).for_each(|_| story.answer(0, 40.0));
    let mut met = 0;
    for _ in 0..20 {
        let handle = story.call(0, 0);
        if story.went(handle) == [0] {
            met += 1;
            story.ended(handle, Ending::Error);
            story.pass(1.0);
        }
        story.stood(handle);
        story.ended(handle, Ending::Ok);
    }
    assert!((1..10).contains(&met), "{met}");
    let next = story.call(0, 0);
    assert_eq!(story.went(next), [1]);
}
