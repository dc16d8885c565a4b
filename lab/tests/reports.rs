//! Figures of reports.

use lab::reports::summary::delay_histogram;

/// Guards against delays above two seconds that are reported as 2 ms: a histogram without bounds takes them for its
/// largest value when they are recorded by saturating.
#[test]
fn long_delays_are_reported_as_such() {
    let mut delays = delay_histogram();
    [3, 2_900, 120_000].into_iter().for_each(|delay| delays.saturating_record(delay));
    let quantile = |part| delays.value_at_quantile(part);
    assert_eq!(quantile(0.3), 3);
    assert!((2_890..=2_910).contains(&quantile(0.5)), "{}", quantile(0.5));
    assert!((119_800..=120_200).contains(&quantile(1.0)), "{}", quantile(1.0));
}
