//! Stories of a border proxy: what it meets, and what it decides.

mod fake;

use std::ops::RangeInclusive;

use fake::{Story, line, terms};
use frostthread::choice::{Histogram, quantile_after};
use frostthread::host::{Ending, Report, Server, State, Suspicion, Terms};
use rstest::rstest;

#[test]
fn a_conversation_goes_to_its_first_choice() {
    let mut story = Story::with(3);
    let handle = story.call(0, 2);
    assert_eq!(story.went(handle), [2]);
}

#[test]
fn the_two_step_mix_matches_a_case_worked_by_hand() {
    // 38 samples in the first bin and 2 in the eleventh, of 50. At 0.95 the old quantile is the first
    // bin's edge, 0.02. With one sample spread over all bins the total is 41, of which 38.95 are wanted;
    // 38.02 lie in the first bin and 0.02 more in each that follows, until the eleventh: 0.22.
    let mut histogram = Histogram::default();
    (0..38).for_each(|_| histogram.count(0.01));
    (0..2).for_each(|_| histogram.count(0.21));
    let mixed = quantile_after(&histogram, 0.05, 0.25);
    assert!((mixed - (0.25 * 0.22 + 0.75 * 0.02)).abs() < 1e-9, "{mixed}");
}

#[test]
fn no_uniform_share_is_mixed_in_below_one_over_p_samples() {
    let mut histogram = Histogram::default();
    (0..38).for_each(|_| histogram.count(0.01));
    (0..2).for_each(|_| histogram.count(0.21));
    // At 0.02 fewer than 50 samples are too few: the old quantile alone decides.
    assert!((quantile_after(&histogram, 0.02, 1.0) - 0.22).abs() < 1e-9);
}

#[rstest]
#[case::below_the_floor_it_passes(19, 0)]
#[case::from_the_floor_on_it_fails(20, 1)]
fn ones_in_the_histogram_fail_the_first_choice_from_the_floor_on(#[case] samples: usize, #[case] to: u32) {
    let mut story = Story::with(2);
    // Two set-ups are cut, which counts as 1 each; the rest is answered quickly.
    for _ in 0..2 {
        let handle = story.call(0, 0);
        story.ended(handle, Ending::Reset);
        story.pass(400.0);
        story.stood(handle);
        story.ended(handle, Ending::Ok);
    }
    (4..samples).for_each(|_| story.answer(0, 50.0));
    assert_eq!(story.shots_at(0), samples, "all went to the first choice so far");
    let next = story.call(0, 0);
    assert_eq!(story.went(next), [to]);
}

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

#[rstest]
#[case(Ending::TimedOut)]
#[case(Ending::Reset)]
#[case(Ending::Cancelled)]
fn the_release_is_awaited(#[case] ending: Ending) {
    let mut story = Story::with(2);
    let handle = story.call(0, 0);
    story.pass(100.0);
    story.ended(handle, ending);
    story.pass(299.0);
    assert_eq!(story.went(handle).len(), 1, "nothing is sent within the release");
    story.pass(100.0);
    assert_eq!(story.went(handle).len(), 2, "then it is sent again");
}

#[test]
fn a_nacked_conversation_is_sent_again_at_once_and_never_twice_at_a_time() {
    let mut story = Story::with(2);
    let handle = story.call(0, 0);
    story.pass(2000.0);
    assert_eq!(story.went(handle).len(), 1);
    let other = story.call(0, 1);
    story.ended(other, Ending::Nacked);
    assert_eq!(story.went(other).len(), 2, "at once");
    assert_eq!(story.went(handle).len(), 1, "the one still out is left alone");
}

#[test]
fn shots_end_with_the_agreed_number_and_a_failure() {
    let mut story = Story::with(3);
    let handle = story.call(0, 0);
    for _ in 0..4 {
        if story.went(handle).len() <= 4 && story.host.failed.is_empty() {
            story.ended(handle, Ending::Nacked);
            story.pass(5.0);
        }
    }
    assert!(story.went(handle).len() <= 4);
    assert_eq!(story.host.failed.len() + story.host.refused.len(), 1, "one final answer");
    assert!(!story.proxy.holds(handle));
}

#[rstest]
#[case::refused_by_the_network(Ending::NoConnection)]
#[case::no_answer(Ending::TimedOut)]
fn the_next_shot_goes_elsewhere_while_others_pass(#[case] ending: Ending) {
    let mut story = Story::with(3);
    let handle = story.call(0, 0);
    story.ended(handle, ending);
    story.pass(400.0);
    assert_eq!(story.went(handle)[0], 0);
    assert_ne!(story.went(handle)[1], 0);
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
            return handle.left(&mut story.proxy);
        }
        story.stood(handle);
        story.ended(handle, Ending::Ok);
    };
    answer(&mut story);
    let handle = story.call(1, 0);
    story.ended(handle, Ending::NoConnection);
    handle.left(&mut story.proxy);
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

#[rstest]
#[case(State::Draining)]
#[case(State::Gone)]
fn a_draining_or_gone_central_server_gets_nothing_new(#[case] state: State) {
    let mut story = Story::with(2);
    story.list(&[line(0, state, None)]);
    let handles: Vec<_> = (0..4).map(|_| story.call(0, 0)).collect();
    story.pass(2500.0);
    assert_eq!(story.shots_at(0), 0);
    assert!(handles.iter().any(|&h| story.went(h) == [1]));
    assert!(story.host.notes.iter().any(|note| note.contains("central server 0 is")), "it is logged");
}

#[test]
fn a_whole_list_drops_what_it_does_not_name() {
    let mut story = Story::with(2);
    story.proxy.listed(&[line(1, State::Running, None)], true, &mut story.host);
    let handle = story.call(0, 0);
    assert_eq!(story.went(handle), [1]);
}

#[test]
fn a_cold_central_server_gets_a_small_part_until_it_answers_quickly() {
    let mut story = Story::with(1);
    story.pass(20_000.0);
    // One that came back under its own id is as cold as a new one.
    story.list(&[line(0, State::Running, Some(19_900.0))]);
    let mut slow = Vec::new();
    for _ in 0..50 {
        slow.push(story.call(1, 0));
        story.pass(100.0);
    }
    // Five proxies; twice what one doing two set-ups a second bears: one in 1.25 s from each at most.
    assert!(story.shots_at(0) <= 5, "{} shots in 5 s", story.shots_at(0));
    let answered = slow.iter().copied().find(|&h| !story.went(h).is_empty() && story.proxy.holds(h));
    assert!(answered.is_some(), "but it is entered");
}

#[rstest]
#[case::known(0.4, 5..=9)]
#[case::not_known(0.0, 0..=3)]
fn told_lines_let_a_cold_central_server_in_sooner(
    #[case] cold_from: f64,
    #[case] shots: RangeInclusive<usize>,
) {
    let mut story = Story::among(1, Terms { proxies: 25, cold_from, may_probe: false, ..terms() });
    story.pass(20_000.0);
    story.list(&[line(0, State::Running, Some(19_900.0))]);
    let lines = Some(800.0);
    story.proxy.reported(Server(0), Report { free: lines, lines, ..Report::default() });
    while story.now < 30_000.0 {
        // Too slow for single shots beyond the part.
        story.answer(0, 300.0);
    }
    // 800 lines turn over 100 times a second; a tenth of that, doubled, among 25 is one in 1.25 s from each.
    // One doing two a second would get one in 6.25 s.
    assert!(shots.contains(&story.shots_at(0)), "{} shots in 10 s", story.shots_at(0));
}

#[test]
fn a_cold_central_server_is_probed_and_paced_by_its_told_rate() {
    let mut story = Story::with(2);
    let say = |story: &mut Story, server, rate| {
        story.proxy.reported(Server(server), Report { rate: Some(rate), ..Report::default() });
    };
    say(&mut story, 0, 100.0);
    story.pass(20_000.0);
    story.list(&[line(1, State::Running, Some(19_900.0))]);
    for _ in 0..50 {
        story.answer(0, 20.0);
        story.pass(80.0);
    }
    let probes = &story.host.probes;
    assert!(!probes.is_empty() && probes.iter().all(|&s| s == 1), "the warm one is not asked: {probes:?}");
    say(&mut story, 1, 10.0);
    let before = story.shots_at(1);
    for _ in 0..100 {
        story.answer(1, 20.0);
        story.pass(30.0);
    }
    // Five proxies: two a second for each, and half as much again while it is quick.
    let sent = story.shots_at(1) - before;
    assert!((1..=16).contains(&sent), "{sent} in 5 s");
}

#[test]
fn a_cold_central_server_whose_answers_tell_its_rate_is_not_probed_for_it() {
    let mut story = Story::with(2);
    story.pass(20_000.0);
    story.list(&[line(1, State::Running, Some(19_900.0))]);
    for _ in 0..100 {
        story.proxy.reported(Server(1), Report { rate: Some(10.0), ..Report::default() });
        story.answer(0, 20.0);
        story.pass(80.0);
    }
    assert!(
        story.host.probes.is_empty(),
        "hundreds of proxies would ask for what they know: {:?}",
        story.host.probes
    );
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
    story.proxy.shared(1, within);
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
    handle.left(&mut story.proxy);
    story.pass(5000.0);
    assert!(story.host.refused.is_empty() && story.host.failed.is_empty());
    assert!(!story.proxy.holds(handle));
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
    assert!(!story.proxy.holds(given_up));
    story.list(&[line(0, State::Running, None)]);
    let full = [story.call(0, 0), story.call(0, 0)];
    story.call_number(5);
    assert_eq!(story.host.refused.len(), 2, "it can no longer stand in time, so it is not held");
    let fresh = story.call_number(6);
    story.stood(full[0]);
    assert_eq!(story.went(fresh), [0]);
}

#[test]
fn few_free_lines_are_shared_by_chance_while_shots_come_back_for_want_of_one() {
    let mut story = Story::with(2);
    let say = |story: &mut Story, free| {
        story.pass(500.0);
        let lines = Some(800.0);
        story.proxy.reported(Server(0), Report { free: Some(free), lines, ..Report::default() });
    };
    (0..20).for_each(|_| say(&mut story, 10.0));
    (0..10).for_each(|_| story.answer(0, 1.0));
    assert_eq!(story.shots_at(0), 10, "few are enough while none comes back");
    let handle = story.call(0, 0);
    story.ended(handle, Ending::NoLine);
    let before = story.shots_at(0);
    // Some 50 lines change hands from one word to the next, and 10 are free.
    (0..8).for_each(|_| {
        say(&mut story, 10.0);
        (0..10).for_each(|_| story.answer(0, 1.0));
    });
    let sent = story.shots_at(0) - before;
    assert!((4..=40).contains(&sent), "about a fifth: {sent} of 80");
}

#[test]
fn contested_lines_go_to_better_earners_in_proportion() {
    let mut story = Story::with(1);
    let say = |story: &mut Story| {
        story.pass(500.0);
        let lines = Some(800.0);
        story.proxy.reported(Server(0), Report { free: Some(10.0), lines, ..Report::default() });
    };
    (0..20).for_each(|_| say(&mut story));
    (0..10).for_each(|_| story.answer(0, 1.0));
    let mut sent = [0, 0];
    for _ in 0..8 {
        let storm = story.call(1, 0);
        while story.went(storm).is_empty() && story.proxy.holds(storm) {
            say(&mut story);
            story.proxy.settle(&mut story.host);
        }
        story.ended(storm, Ending::NoLine);
        storm.left(&mut story.proxy);
        for _ in 0..8 {
            say(&mut story);
            for (grade, sent) in sent.iter_mut().enumerate() {
                let handle = story.call(grade, 0);
                if story.went(handle).is_empty() {
                    handle.left(&mut story.proxy);
                } else {
                    *sent += 1;
                    story.stood(handle);
                    story.ended(handle, Ending::Ok);
                }
            }
        }
    }
    assert!(sent[0] > 0 && sent[1] >= 2 * sent[0], "earnings of 1 and 3: {sent:?}");
}

#[rstest]
#[case::a_told_wait(Some(100.0), 20.0, 2000.0)]
#[case::none_told(None, 20.0, 3000.0)]
#[case::late_anyway(Some(100.0), 2500.0, 3000.0)]
fn where_waits_are_told_a_shot_ends_with_its_quoted_time(
    #[case] wait: Option<f64>,
    #[case] latest: f64,
    #[case] time_out: f64,
) {
    let mut story = Story::with(1);
    story.answer(0, latest);
    story.pass(6000.0);
    story.proxy.reported(Server(0), Report { wait, ..Report::default() });
    story.call(0, 0);
    assert_eq!(story.host.shots.last().expect("sent").2, time_out);
}

#[test]
fn the_draw_goes_by_free_lines_so_that_the_smallest_is_not_overrun() {
    let mut story = Story::with(3);
    story.list(&[line(0, State::Draining, None)]);
    story.proxy.reported(Server(1), Report { free: Some(5.0), ..Report::default() });
    story.proxy.reported(Server(2), Report { free: Some(95.0), ..Report::default() });
    (0..100).for_each(|_| story.answer(0, 20.0));
    assert!((1..=15).contains(&story.shots_at(1)), "{} of 100", story.shots_at(1));
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
    story.proxy.at(story.now);
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
    let mut story = Story::among(1, Terms { nacks_name_wait: true, max_shots: 9, ..terms() });
    let handle = story.call(0, 0);
    let stay_away = Some(wait);
    story.proxy.reported(Server(0), Report { stay_away, ..Report::default() });
    story.ended(handle, Ending::Nacked);
    // No answer could reach it any more, so it is given up at once.
    let late = story.call_left(10.0);
    let told = story.host.refused.iter().find(|(refused, _)| *refused == late).expect("refused").1;
    assert!(told.is_some_and(|told| (told - advised).abs() < 1.0), "{told:?}");
}

#[test]
fn a_wait_over_any_time_limit_is_not_believed() {
    let mut story = Story::among(1, Terms { nacks_name_wait: true, ..terms() });
    story.proxy.reported(Server(0), Report { stay_away: Some(9001.0), ..Report::default() });
    story.answer(0, 20.0);
    assert_eq!(story.shots_at(0), 1);
}

#[test]
fn a_caller_with_little_patience_goes_where_answers_are_quick_enough_for_it() {
    let mut story = Story::with(2);
    story.answer(0, 300.0);
    story.answer(1, 20.0);
    let hurried = story.call_left(400.0);
    assert_eq!(story.went(hurried), [1], "its first choice would answer too late for it");
    let patient = story.call_left(3000.0);
    assert_eq!(story.went(patient), [0]);
}

#[test]
fn a_server_that_turned_a_shot_back_is_left_alone_for_as_long_as_it_asked() {
    let mut story = Story::among(2, Terms { nacks_name_wait: true, ..terms() });
    let handle = story.call(0, 0);
    let stay_away = Some(800.0);
    story.proxy.reported(Server(0), Report { stay_away, ..Report::default() });
    story.ended(handle, Ending::Nacked);
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
    story.ended(handle, Ending::NoLine);
    assert_eq!(story.went(handle), [0, 1]);
    let next = story.call(0, 0);
    assert_eq!(story.went(next), [1]);
    story.proxy.reported(Server(0), Report { free: Some(3.0), ..Report::default() });
    let both = [story.call(0, 0), story.call(0, 0)];
    assert!(both.iter().all(|&h| story.went(h) == [0]), "its line was not narrowed");
}

#[test]
fn a_fall_of_the_reported_rate_is_shared_by_chance_where_own_answers_are_scarce() {
    let mut story = Story::among(2, Terms { proxies: 250, ..terms() });
    let say = |story: &mut Story, rate| {
        story.proxy.reported(Server(0), Report { rate: Some(rate), ..Report::default() });
    };
    let after = |story: &mut Story, wait| {
        story.pass(wait);
        story.answer(0, 20.0);
    };
    say(&mut story, 100.0);
    (0..20).for_each(|_| after(&mut story, 3000.0));
    assert_eq!(story.shots_at(0), 20, "a server at its best rate is left to the rest");
    for _ in 0..40 {
        say(&mut story, 20.0);
        after(&mut story, 3000.0);
    }
    let sent = story.shots_at(0) - 20;
    assert!((3..=20).contains(&sent), "about a quarter: {sent} of 40");
    story.pass(5100.0);
    (0..5).for_each(|_| after(&mut story, 3000.0));
    assert_eq!(story.shots_at(0), 25 + sent, "an old word says nothing");
    (0..5).for_each(|_| after(&mut story, 600.0));
    say(&mut story, 20.0);
    (0..5).for_each(|_| after(&mut story, 600.0));
    assert_eq!(story.shots_at(0), 35 + sent, "nor does a word where own answers tell more");
}

#[test]
fn an_overtaken_shot_is_lost_so_it_holds_no_line_and_is_called_off() {
    let mut story = Story::with(1);
    let lost = story.call(0, 0);
    story.pass(10.0);
    (0..3).for_each(|_| story.answer(0, 50.0));
    let both = [story.call(0, 0), story.call(0, 0)];
    assert!(both.iter().all(|&h| story.went(h) == [0]), "the lost shot holds no line");
    assert!(story.host.cancelled.is_empty(), "it may only be a little late");
    story.pass(500.0);
    story.stood(both[0]);
    assert_eq!(story.host.cancelled, [(lost, 0)], "called off, and once");
    story.stood(both[1]);
    story.ended(lost, Ending::Cancelled);
    story.pass(310.0);
    assert_eq!(story.went(lost), [0, 0], "sent again after the release");
}

#[rstest]
#[case::answers_get_lost(3, 1)]
#[case::none_was_lost(0, 0)]
fn where_answers_get_lost_a_shot_at_a_quick_server_is_called_off_in_time(
    #[case] lost: usize,
    #[case] cancelled: usize,
) {
    let mut story = Story::among(1, Terms { proxies: 1, ..terms() });
    (0..10).for_each(|_| story.answer(0, 20.0));
    for _ in 0..lost {
        let unheard = story.call(0, 0);
        story.pass(10.0);
        story.answer(0, 20.0);
        story.ended(unheard, Ending::TimedOut);
        unheard.left(&mut story.proxy);
    }
    let handle = story.call(0, 0);
    story.pass(390.0);
    assert!(story.host.cancelled.is_empty(), "it may still be answered");
    story.pass(110.0);
    assert_eq!(story.host.cancelled.len(), cancelled);
    if cancelled > 0 {
        story.ended(handle, Ending::Cancelled);
        story.pass(310.0);
        assert_eq!(story.went(handle), [0, 0], "again, once the release is over");
    }
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
fn a_quick_fault_overtakes_nothing() {
    let mut story = Story::with(1);
    let early = story.call(0, 0);
    story.pass(10.0);
    let faulty = story.call(0, 0);
    story.ended(faulty, Ending::Error);
    story.pass(600.0);
    story.call(0, 0);
    assert!(story.host.cancelled.is_empty(), "it may still stand in line");
    assert_eq!(story.went(early), [0]);
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

fn suspect(story: &mut Story, strength: f64) {
    let since = story.now;
    story.proxy.suspected(Server(0), Some(Suspicion { strength, since }));
}

#[test]
fn a_suspected_central_server_gets_single_trial_shots_far_apart() {
    let mut story = Story::with(2);
    suspect(&mut story, 1.0);
    for _ in 0..60 {
        let handle = story.call(0, 0);
        story.pass(50.0);
        if story.went(handle).last() == Some(&1) {
            story.stood(handle);
            story.ended(handle, Ending::Ok);
        }
    }
    // Five proxies at a standing delay of 400 ms: each tries about once in 2 s.
    assert!((1..=4).contains(&story.shots_at(0)), "{}", story.shots_at(0));
    assert!(story.shots_at(1) > 30);
}

#[test]
fn one_answer_here_outweighs_all_others_words() {
    let mut story = Story::with(2);
    suspect(&mut story, 9.0);
    story.pass(1.0);
    while story.shots_at(0) == 0 {
        let handle = story.call(0, 0);
        story.pass(40.0);
        story.stood(handle);
        story.ended(handle, Ending::Ok);
    }
    let before = story.shots_at(0);
    (0..5).for_each(|_| story.answer(0, 50.0));
    assert_eq!(story.shots_at(0), before + 5);
}

#[rstest]
#[case::too_few_say_so(Some(0.5))]
#[case::taken_back(None)]
fn a_weak_word_or_one_taken_back_changes_nothing(#[case] strength: Option<f64>) {
    let mut story = Story::with(2);
    suspect(&mut story, 1.0);
    let since = story.now;
    story.proxy.suspected(Server(0), strength.map(|strength| Suspicion { strength, since }));
    let handle = story.call(0, 0);
    assert_eq!(story.went(handle), [0]);
}

#[test]
fn a_shot_that_never_left_is_no_answer() {
    let mut story = Story::with(2);
    suspect(&mut story, 1.0);
    story.pass(1.0);
    let mut trial = None;
    for _ in 0..200 {
        let handle = story.call(0, 0);
        story.pass(50.0);
        if story.went(handle) == [0] {
            trial = Some(handle);
            break;
        }
        story.stood(handle);
        story.ended(handle, Ending::Ok);
    }
    story.ended(trial.expect("a trial shot"), Ending::Moot);
    let handle = story.call(0, 0);
    assert_eq!(story.went(handle), [1]);
}

#[test]
fn no_more_shots_go_than_the_fleets_limit_leaves_and_those_kept_away_are_counted_once() {
    let mut story = Story::with(2);
    assert_eq!(story.proxy.allotted(Server(0), Some(1)), 0);
    assert_eq!(story.proxy.allotted(Server(1), Some(0)), 0);
    let (first, second) = (story.call(0, 0), story.call(0, 0));
    assert_eq!((story.went(first), story.went(second)), (vec![0], vec![]));
    story.pass(200.0);
    assert_eq!(story.proxy.allotted(Server(0), Some(0)), 1, "though it was tried in each beat");
    assert_eq!(story.proxy.allotted(Server(0), Some(1)), 0);
    story.ended(first, Ending::Ok);
    assert_eq!(story.went(second), [0]);
}

#[test]
fn what_the_limit_keeps_from_its_first_choice_goes_elsewhere() {
    let mut story = Story::with(2);
    story.proxy.allotted(Server(0), Some(0));
    let handle = story.call(0, 0);
    assert_eq!(story.went(handle), [1]);
    assert_eq!(story.proxy.allotted(Server(0), Some(0)), 1);
}

#[test]
fn an_allotment_lets_a_busy_proxy_send_a_cold_server_more_than_an_equal_part() {
    let shots = |allotted: bool| {
        let mut story = Story::with(2);
        story.pass(20_000.0);
        story.list(&[line(0, State::Running, Some(19_900.0))]);
        let report = Report { rate: Some(10.0), ..Report::default() };
        story.proxy.reported(Server(0), report);
        for _ in 0..40 {
            story.proxy.allotted(Server(0), allotted.then_some(1));
            story.answer(0, 20.0);
            story.pass(80.0);
        }
        story.shots_at(0)
    };
    let (equal, more) = (shots(false), shots(true));
    assert!(more > 2 * equal, "{more} and {equal}");
}

#[test]
fn an_allotment_opens_nothing_that_the_rules_or_the_test_close() {
    let mut story = Story::with(2);
    story.list(&[line(0, State::Draining, None)]);
    story.proxy.allotted(Server(0), Some(100));
    let handle = story.call(0, 0);
    assert_eq!(story.went(handle), [1]);
    assert_eq!(story.proxy.allotted(Server(0), Some(100)), 0, "the limit is not what keeps it away");
}

#[test]
fn a_limit_that_is_withdrawn_while_shots_are_out_leaves_them_and_all_else_as_it_was() {
    let mut story = Story::with(1);
    story.proxy.allotted(Server(0), Some(1));
    let out = story.call(0, 0);
    let held = story.call(0, 0);
    story.proxy.allotted(Server(0), None);
    story.stood(out);
    assert_eq!((story.went(out), story.went(held)), (vec![0], vec![0]));
}
