//! Stories of what the rest of the fleet brings: suspicions, limits and allotments.

mod fake;

use fake::{Story, line};
use frostthread::host::{Ending, Report, Server, State, Suspicion};
use rstest::rstest;

fn suspect(story: &mut Story, strength: f64) {
    let since = story.now;
    story.proxy.set_suspicion(Server(0), Some(Suspicion { strength, since }));
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
    story.proxy.set_suspicion(Server(0), strength.map(|strength| Suspicion { strength, since }));
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
    story.ended(trial.expect("a trial shot"), Ending::NotSent);
    let handle = story.call(0, 0);
    assert_eq!(story.went(handle), [1]);
}

#[test]
fn no_more_shots_go_than_the_fleets_limit_leaves_and_those_kept_away_are_counted_once() {
    let mut story = Story::with(2);
    assert_eq!(story.proxy.set_fleet_limit(Server(0), Some(1)), 0);
    assert_eq!(story.proxy.set_fleet_limit(Server(1), Some(0)), 0);
    let (first, second) = (story.call(0, 0), story.call(0, 0));
    assert_eq!((story.went(first), story.went(second)), (vec![0], vec![]));
    story.pass(200.0);
    assert_eq!(story.proxy.set_fleet_limit(Server(0), Some(0)), 1, "though it was tried in each beat");
    assert_eq!(story.proxy.set_fleet_limit(Server(0), Some(1)), 0);
    story.ended(first, Ending::Ok);
    assert_eq!(story.went(second), [0]);
}

#[test]
fn what_the_limit_keeps_from_its_first_choice_goes_elsewhere() {
    let mut story = Story::with(2);
    story.proxy.set_fleet_limit(Server(0), Some(0));
    let handle = story.call(0, 0);
    assert_eq!(story.went(handle), [1]);
    assert_eq!(story.proxy.set_fleet_limit(Server(0), Some(0)), 1);
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
            story.proxy.set_fleet_limit(Server(0), allotted.then_some(1));
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
    story.proxy.set_fleet_limit(Server(0), Some(100));
    let handle = story.call(0, 0);
    assert_eq!(story.went(handle), [1]);
    assert_eq!(story.proxy.set_fleet_limit(Server(0), Some(100)), 0, "the limit is not what keeps it away");
}

#[test]
fn a_limit_that_is_withdrawn_while_shots_are_out_leaves_them_and_all_else_as_it_was() {
    let mut story = Story::with(1);
    story.proxy.set_fleet_limit(Server(0), Some(1));
    let out = story.call(0, 0);
    let held = story.call(0, 0);
    story.proxy.set_fleet_limit(Server(0), None);
    story.stood(out);
    assert_eq!((story.went(out), story.went(held)), (vec![0], vec![0]));
}
