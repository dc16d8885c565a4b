//! Stories of which central server a call goes to: the first choice, the draw, and scarce lines.

mod fake;

use fake::{Story, line, terms};
use frostthread::choice::{Histogram, quantile_after};
use frostthread::host::{Ending, Report, Server, State, Terms};
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
    (0..38).for_each(|_| histogram.record(0.01));
    (0..2).for_each(|_| histogram.record(0.21));
    let mixed = quantile_after(&histogram, 0.05, 0.25);
    assert!((mixed - (0.25 * 0.22 + 0.75 * 0.02)).abs() < 1e-9, "{mixed}");
}

#[test]
fn no_uniform_share_is_mixed_in_below_one_over_p_samples() {
    let mut histogram = Histogram::default();
    (0..38).for_each(|_| histogram.record(0.01));
    (0..2).for_each(|_| histogram.record(0.21));
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
    story.ended(handle, Ending::NoFreeLine);
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
        while story.went(storm).is_empty() && story.proxy.contains(storm) {
            say(&mut story);
            story.proxy.run_pending(&mut story.host);
        }
        story.ended(storm, Ending::NoFreeLine);
        storm.caller_gone(&mut story.proxy);
        for _ in 0..8 {
            say(&mut story);
            for (grade, sent) in sent.iter_mut().enumerate() {
                let handle = story.call(grade, 0);
                if story.went(handle).is_empty() {
                    handle.caller_gone(&mut story.proxy);
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
