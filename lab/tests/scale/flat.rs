//! The fleet without control machines, with its real parts: the same digest for any number of threads, and
//! all changes in force everywhere while the fleet is small.

use std::time::Duration;

use lab::scale::layout::LayoutTerms;
use lab::scale::report::Report;
use lab::scale::script::Script;
use lab::scale::virtual_run::VirtualRun;

fn run(threads: usize) -> Report {
    let script = "name = \"short\"\nwarm_up = 12.0\nseconds = 8.0\n[changes]\nevery = 1.0\nuntil = 4.0\n";
    let run = VirtualRun {
        layout: LayoutTerms { proxies: 12, ..LayoutTerms::default() },
        script: Script::parse(script).expect("valid"),
        seed: 3,
        threads,
        flat: true,
        max_wall_time: Duration::from_secs(120),
    };
    run.execute(&|_| {}).expect("the run succeeds")
}

#[test]
fn a_small_flat_fleet_has_all_changes_and_one_digest_for_any_threads() {
    let (first, again) = (run(1), run(4));
    assert_eq!(first.digest, again.digest);
    assert_eq!((first.in_force.changes, first.in_force.decided, first.in_force.never), (5, 5, 0));
    assert_eq!(first.in_force.went_back, 0);
    assert!(first.proxy.bytes_per_second.median > 100.0, "{first}");
}
