//! Which central server a call goes to: the preferred pool, the random choice, and scarce lines.

mod fake;

use fake::{Scenario, server_entry, terms};
use frostthread::choice::{Histogram, quantile_after};
use frostthread::host::{Ending, Report, Server, State, Terms};
use rstest::rstest;

#[test]
fn a_call_goes_to_its_preferred_pool() {
    let mut scenario = Scenario::with_servers(3);
    let handle = scenario.call(0, 2);
    assert_eq!(scenario.servers_tried(handle), [2]);
}

#[test]
fn the_expected_quantile_matches_a_case_computed_by_hand() {
    // 38 samples in the first bin and 2 in the eleventh, of 50. At 0.95 the present quantile is the first
    // bin's edge, 0.02. With one sample spread over all bins the total is 41, and the quantile is at 38.95;
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
    // At 0.02 fewer than 50 samples are too few: the present quantile alone decides.
    assert!((quantile_after(&histogram, 0.02, 1.0) - 0.22).abs() < 1e-9);
}

#[rstest]
#[case::below_the_minimum_it_passes(19, 0)]
#[case::from_the_minimum_on_it_fails(20, 1)]
fn resets_fail_the_preferred_server_from_the_minimum_sample_count_on(
    #[case] samples: usize,
    #[case] server: u32,
) {
    let mut scenario = Scenario::with_servers(2);
    // Two set-ups are reset, which counts as 1 each; the others are answered quickly.
    for _ in 0..2 {
        let handle = scenario.call(0, 0);
        scenario.end_attempt(handle, Ending::Reset);
        scenario.advance(400.0);
        scenario.establish(handle);
        scenario.end_attempt(handle, Ending::Ok);
    }
    (4..samples).for_each(|_| scenario.complete_call(0, 50.0));
    assert_eq!(scenario.attempts_at(0), samples, "all attempts went to the preferred server so far");
    let next = scenario.call(0, 0);
    assert_eq!(scenario.servers_tried(next), [server]);
}

#[test]
fn scarce_lines_are_shared_at_random_while_attempts_find_no_free_line() {
    let mut scenario = Scenario::with_servers(2);
    let report = |scenario: &mut Scenario, free| {
        scenario.advance(500.0);
        let lines = Some(800.0);
        scenario.proxy.reported(Server(0), Report { free: Some(free), lines, ..Report::default() });
    };
    (0..20).for_each(|_| report(&mut scenario, 10.0));
    (0..10).for_each(|_| scenario.complete_call(0, 1.0));
    assert_eq!(scenario.attempts_at(0), 10, "few free lines are enough while no attempt is rejected");
    let handle = scenario.call(0, 0);
    scenario.end_attempt(handle, Ending::NoFreeLine);
    let before = scenario.attempts_at(0);
    // About 50 lines are released and taken again between two reports, and 10 are free.
    (0..8).for_each(|_| {
        report(&mut scenario, 10.0);
        (0..10).for_each(|_| scenario.complete_call(0, 1.0));
    });
    let sent = scenario.attempts_at(0) - before;
    assert!((4..=40).contains(&sent), "expected about a fifth: {sent} of 80");
}

#[test]
fn scarce_lines_go_to_higher_earnings_in_proportion() {
    let mut scenario = Scenario::with_servers(1);
    let report = |scenario: &mut Scenario| {
        scenario.advance(500.0);
        let lines = Some(800.0);
        scenario.proxy.reported(Server(0), Report { free: Some(10.0), lines, ..Report::default() });
    };
    (0..20).for_each(|_| report(&mut scenario));
    (0..10).for_each(|_| scenario.complete_call(0, 1.0));
    let mut sent = [0, 0];
    for _ in 0..8 {
        let probing_call = scenario.call(1, 0);
        while scenario.servers_tried(probing_call).is_empty() && scenario.proxy.contains(probing_call) {
            report(&mut scenario);
            scenario.proxy.run_pending(&mut scenario.host);
        }
        scenario.end_attempt(probing_call, Ending::NoFreeLine);
        probing_call.caller_gone(&mut scenario.proxy);
        for _ in 0..8 {
            report(&mut scenario);
            for (grade, sent) in sent.iter_mut().enumerate() {
                let handle = scenario.call(grade, 0);
                if scenario.servers_tried(handle).is_empty() {
                    handle.caller_gone(&mut scenario.proxy);
                } else {
                    *sent += 1;
                    scenario.establish(handle);
                    scenario.end_attempt(handle, Ending::Ok);
                }
            }
        }
    }
    assert!(sent[0] > 0 && sent[1] >= 2 * sent[0], "earnings of 1 and 3: {sent:?}");
}

#[test]
fn the_random_choice_is_weighted_by_free_lines_so_the_smallest_pool_is_not_overloaded() {
    let mut scenario = Scenario::with_servers(3);
    scenario.update_server_list(&[server_entry(0, State::Draining, None)]);
    scenario.proxy.reported(Server(1), Report { free: Some(5.0), ..Report::default() });
    scenario.proxy.reported(Server(2), Report { free: Some(95.0), ..Report::default() });
    (0..100).for_each(|_| scenario.complete_call(0, 20.0));
    assert!((1..=15).contains(&scenario.attempts_at(1)), "{} of 100", scenario.attempts_at(1));
}

#[test]
fn a_caller_with_a_short_timeout_goes_to_a_server_that_answers_within_it() {
    let mut scenario = Scenario::with_servers(2);
    scenario.complete_call(0, 300.0);
    scenario.complete_call(1, 20.0);
    let short_timeout = scenario.call_with_remaining(400.0);
    assert_eq!(
        scenario.servers_tried(short_timeout),
        [1],
        "its preferred server would answer too late for it"
    );
    let long_timeout = scenario.call_with_remaining(3000.0);
    assert_eq!(scenario.servers_tried(long_timeout), [0]);
}

#[test]
fn a_drop_of_the_reported_rate_sheds_attempts_at_random_where_own_samples_are_scarce() {
    let mut scenario = Scenario::with_terms(2, Terms { proxies: 250, ..terms() });
    let report = |scenario: &mut Scenario, rate| {
        scenario.proxy.reported(Server(0), Report { rate: Some(rate), ..Report::default() });
    };
    let call_after = |scenario: &mut Scenario, wait| {
        scenario.advance(wait);
        scenario.complete_call(0, 20.0);
    };
    report(&mut scenario, 100.0);
    (0..20).for_each(|_| call_after(&mut scenario, 3000.0));
    assert_eq!(scenario.attempts_at(0), 20, "a server at its best rate gets all attempts");
    for _ in 0..40 {
        report(&mut scenario, 20.0);
        call_after(&mut scenario, 3000.0);
    }
    let sent = scenario.attempts_at(0) - 20;
    assert!((3..=20).contains(&sent), "expected about a quarter: {sent} of 40");
    scenario.advance(5100.0);
    (0..5).for_each(|_| call_after(&mut scenario, 3000.0));
    assert_eq!(scenario.attempts_at(0), 25 + sent, "an old report has no effect");
    (0..5).for_each(|_| call_after(&mut scenario, 600.0));
    report(&mut scenario, 20.0);
    (0..5).for_each(|_| call_after(&mut scenario, 600.0));
    assert_eq!(
        scenario.attempts_at(0),
        35 + sent,
        "a report has no effect where the proxy has enough answers of its own"
    );
}
