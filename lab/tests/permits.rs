//! The check of a fleet's limit catches a scheme that exceeds it, and passes the program's own.

use lab::drills::permits::{Case, Fault, Scheme, run};
use rstest::rstest;

fn max_in_window(way: Scheme, fault: Fault) -> usize {
    run(Case { way, fault, members: 12, rate: 24.0, load: 1.5, seed: 1 }).max_in_window
}

#[rstest]
#[case(Fault::Halves)]
#[case(Fault::OneWay)]
#[case(Fault::Restart)]
#[case(Fault::Moves)]
fn lent_permits_keep_the_limit_where_shares_by_reported_demand_exceed_it(#[case] fault: Fault) {
    assert!(max_in_window(Scheme::Lent, fault) <= 24);
    assert!(max_in_window(Scheme::Counts, fault) > 24);
}

#[test]
fn the_same_seed_gives_the_same_outcome() {
    let case = Case { way: Scheme::Lent, fault: Fault::Loss, members: 12, rate: 24.0, load: 0.7, seed: 3 };
    assert_eq!(run(case), run(case));
}
