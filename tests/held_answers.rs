//! Answers that the host holds until they are recorded: they are given up in time, once, and only they.

mod fake;

use fake::{Scenario, terms};
use frostthread::Handle;
use frostthread::host::{Ending, Terms};
use rstest::rstest;

/// How long callers wait.
const CALLER_TIMEOUT: f64 = 1500.0;

/// A scenario with a call that was answered 50 ms after its start, and whose answer is held from then on.
fn with_held_answer(terms: Terms) -> (Scenario, Handle) {
    let mut scenario = Scenario::with_terms(3, terms);
    let handle = scenario.call_with_remaining(CALLER_TIMEOUT);
    scenario.advance(50.0);
    handle.established(&mut scenario.proxy);
    handle.answer_held(&mut scenario.proxy);
    scenario.proxy.run_pending(&mut scenario.host);
    (scenario, handle)
}

#[test]
fn a_held_answer_is_refused_at_its_callers_deadline_and_not_before() {
    let (mut scenario, handle) = with_held_answer(terms());
    scenario.advance(CALLER_TIMEOUT - 50.0 - 1.0);
    assert_eq!(scenario.host.refused, []);
    // The module has asked for a turn at that time.
    scenario.advance(1.0);
    assert_eq!(scenario.host.refused.len(), 1);
    let (refused, retry_after) = scenario.host.refused[0];
    assert!(refused == handle && retry_after.is_some_and(|ms| (1000.0..=2000.0).contains(&ms)));
    assert!(!scenario.proxy.contains(handle));
    scenario.advance(20_000.0);
    assert_eq!((scenario.host.refused.len(), scenario.host.attempts.len()), (1, 1));
}

#[test]
fn a_held_answer_that_is_sent_or_whose_caller_leaves_is_not_given_up() {
    let (mut scenario, sent) = with_held_answer(terms());
    sent.answer_sent(&mut scenario.proxy);
    let left = scenario.call_with_remaining(CALLER_TIMEOUT);
    left.established(&mut scenario.proxy);
    left.answer_held(&mut scenario.proxy);
    scenario.withdraw(left);
    scenario.advance(20_000.0);
    assert_eq!((scenario.host.refused.len(), scenario.host.failed.len()), (0, 0));
    assert!(scenario.proxy.contains(sent) && !scenario.proxy.contains(left));
}

#[test]
fn a_caller_of_a_given_up_answer_returns_after_the_release() {
    let terms = Terms { max_retry_after: Some(400.0), release: 390.0, ..terms() };
    for _ in 0..8 {
        let (mut scenario, _) = with_held_answer(terms.clone());
        scenario.advance(CALLER_TIMEOUT);
        let retry_after = scenario.host.refused[0].1.expect("a retry time");
        assert!((390.0..=400.0).contains(&retry_after), "{retry_after}");
    }
}

#[test]
fn a_held_answer_that_must_not_be_repeated_fails_without_a_retry_time() {
    let mut terms = terms();
    terms.grades[0].repeatable = false;
    let (mut scenario, handle) = with_held_answer(terms);
    scenario.advance(CALLER_TIMEOUT);
    assert_eq!((&scenario.host.refused[..], &scenario.host.failed[..]), (&[][..], &[handle][..]));
}

#[rstest]
#[case::completed(Ending::Ok, true, 1)]
#[case::cut(Ending::Reset, true, 2)]
#[case::cut_and_not_repeatable(Ending::Reset, false, 1)]
fn a_call_that_ends_while_its_answer_is_held_is_repeated_only_if_it_was_cut(
    #[case] ending: Ending,
    #[case] repeatable: bool,
    #[case] attempts: usize,
) {
    let mut terms = terms();
    terms.grades[0].repeatable = repeatable;
    let (mut scenario, handle) = with_held_answer(terms);
    handle.attempt_ended(&mut scenario.proxy, ending, false, &mut scenario.host);
    scenario.proxy.run_pending(&mut scenario.host);
    assert_eq!(scenario.host.attempts.len(), 1, "the release is awaited");
    scenario.advance(310.0);
    assert_eq!(scenario.host.attempts.len(), attempts);
    assert_eq!(scenario.host.failed.len(), usize::from(attempts == 1));
    assert_eq!(scenario.host.refused, []);
}
