//! The fleet with control machines, with its real parts: the same digest for any number of threads,
//! changes in force everywhere in time, and a limit that is broken on purpose is reported.

use std::time::Duration;

use lab::scale::layout::LayoutTerms;
use lab::scale::report::Report;
use lab::scale::script::Script;
use lab::scale::virtual_run::VirtualRun;

const HEAD: &str = "name = \"short\"\nwarm_up = 12.0\nseconds = 16.0\n[changes]\nevery = 1.0\nuntil = 10.0\n";

fn run(proxies: usize, faults: &str, threads: usize) -> Report {
    let run = VirtualRun {
        layout: LayoutTerms { proxies, ..LayoutTerms::default() },
        script: Script::parse(&format!("{HEAD}{faults}")).expect("valid"),
        seed: 3,
        threads,
        flat: false,
        max_wall_time: Duration::from_secs(120),
    };
    run.execute(&|_| {}).expect("the run succeeds")
}

#[test]
fn the_digest_of_a_seed_does_not_depend_on_the_number_of_threads() {
    let faults = "[[fault]]\nat = 2.0\nfor = 2.0\nkind = \"kill_zone\"\nzone = 9\n\
        [[fault]]\nat = 3.0\nfor = 4.0\nkind = \"loss\"\npart = 0.2\n";
    let (first, again) = (run(48, faults, 1), run(48, faults, 5));
    assert_eq!(first.digest, again.digest);
    assert_eq!(first.in_force, again.in_force);
}

#[test]
fn without_faults_all_changes_are_in_force_in_time() {
    let report = run(96, "", 2);
    assert_eq!((report.in_force.decided, report.in_force.never), (report.in_force.changes, 0), "{report}");
    assert!(report.in_force.all_ms.count > 100, "{report}");
    assert!(report.in_force.all_ms.last <= 4_000.0, "{report}");
    assert!(report.proxy.worst_second_bytes.last <= 8_000.0, "{report}");
}

#[test]
fn a_zone_that_receives_nothing_is_reported_as_the_first_miss() {
    let report =
        run(48, "[[fault]]\nat = 0.0\nfor = 16.0\nkind = \"cut_zone\"\nzone = 9\nways = \"in\"\n", 2);
    assert!(report.misses[0].contains("lack a change at the end"), "{:?}", report.misses);
}
