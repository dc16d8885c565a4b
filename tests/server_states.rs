//! Stories of central servers that drain, are gone, or have just started.

mod fake;

use std::ops::RangeInclusive;

use fake::{Story, line, terms};
use frostthread::host::{Report, Server, State, Terms};
use rstest::rstest;

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
    story.proxy.update_server_list(&[line(1, State::Running, None)], true, &mut story.host);
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
    let answered = slow.iter().copied().find(|&h| !story.went(h).is_empty() && story.proxy.contains(h));
    assert!(answered.is_some(), "but it is entered");
}

#[rstest]
#[case::known(0.4, 5..=9)]
#[case::not_known(0.0, 0..=3)]
fn told_lines_let_a_cold_central_server_in_sooner(
    #[case] cold_from: f64,
    #[case] shots: RangeInclusive<usize>,
) {
    let mut story = Story::among(
        1,
        Terms { proxies: 25, initial_capacity_share: cold_from, may_probe: false, ..terms() },
    );
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
