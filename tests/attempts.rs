//! Stories of the attempts of one call: when one ends, when the next goes, and where.

mod fake;

use fake::{Story, terms};
use frostthread::host::{Ending, Report, Server, Terms};
use rstest::rstest;

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
    story.ended(other, Ending::Rejected);
    assert_eq!(story.went(other).len(), 2, "at once");
    assert_eq!(story.went(handle).len(), 1, "the one still out is left alone");
}

#[test]
fn shots_end_with_the_agreed_number_and_a_failure() {
    let mut story = Story::with(3);
    let handle = story.call(0, 0);
    for _ in 0..4 {
        if story.went(handle).len() <= 4 && story.host.failed.is_empty() {
            story.ended(handle, Ending::Rejected);
            story.pass(5.0);
        }
    }
    assert!(story.went(handle).len() <= 4);
    assert_eq!(story.host.failed.len() + story.host.refused.len(), 1, "one final answer");
    assert!(!story.proxy.contains(handle));
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
        unheard.caller_gone(&mut story.proxy);
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
