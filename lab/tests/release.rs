//! The checker of the disruption budget in a release.

use lab::drills::release::AvailabilityChecker;

fn images(changed: &[usize]) -> Vec<String> {
    (0..4).map(|i| if changed.contains(&i) { format!("{i} new") } else { format!("{i} old") }).collect()
}

#[test]
fn two_unavailable_at_once_break_a_budget_of_one_and_one_after_another_does_not() {
    let mut checker = AvailabilityChecker::new(4, 1, images(&[]));
    for proxy in 0..4 {
        let now = 500.0 * proxy as f64;
        let before: Vec<usize> = (0..proxy).collect();
        checker.stopping(now, proxy);
        checker.observe(now, &images(&before));
        let after: Vec<usize> = (0..=proxy).collect();
        (0..4).for_each(|proxy| checker.answered(now + 400.0, proxy, &images(&after)[proxy]));
        checker.observe(now + 400.0, &images(&after));
    }
    assert_eq!((checker.max_unavailable, checker.broken), (1, 0), "{:?}", checker.examples);
    assert_eq!(checker.replaced_at, Some(1900.0));
    // A process that answers but is still the same has not returned.
    let all = images(&[0, 1, 2, 3]);
    checker.stopping(4000.0, 1);
    (0..4).for_each(|proxy| checker.answered(4100.0, proxy, &all[proxy]));
    checker.stopping(4200.0, 2);
    checker.observe(4200.0, &all);
    assert_eq!(checker.broken, 1, "caught");
    checker.expect_fault(2, 4300.0);
    checker.observe(4300.0, &all);
    assert_eq!(checker.broken, 1, "the script's own is not held against it");
}
