//! A run that needs more than the machine has free is refused, with a line that says why.

use lab::scale::resources::{self, Free, Need, check, parse_available_memory, parse_max_open_files};
use rstest::rstest;

const FREE: Free = Free { memory: 8.0 * 1024.0 * 1024.0 * 1024.0, descriptors: 1024 };

#[rstest]
#[case::memory(Need { memory: 5.0 * 1024.0 * 1024.0 * 1024.0, ..Need::default() },
    "refused: about 5120 MiB, half of what is free is 4096 MiB")]
#[case::processes(Need { processes: 301, ..Need::default() }, "refused: 301 processes, 300 at the most")]
#[case::descriptors(Need { descriptors: 513, ..Need::default() },
    "refused: 513 descriptors, half of 1024 may be held")]
fn a_run_over_a_limit_is_refused_with_the_reason(#[case] need: Need, #[case] line: &str) {
    assert_eq!(check(&need, &FREE).expect_err("too much").to_string(), line);
}

#[test]
fn a_run_that_needs_exactly_the_limits_is_allowed() {
    check(&Need { memory: FREE.memory / 2.0, processes: 300, descriptors: 512 }, &FREE).expect("fits");
}

#[test]
fn memory_and_descriptors_are_parsed_from_proc_texts() {
    assert_eq!(parse_available_memory("MemTotal: 9 kB\nMemAvailable:   2048 kB\n"), 2048.0 * 1024.0);
    assert_eq!(parse_available_memory("MemTotal: 9 kB\n"), 0.0);
    assert_eq!(
        parse_max_open_files("Max open files            1024                 4096                 files\n"),
        1024
    );
    assert_eq!(parse_max_open_files(""), 0);
}

#[test]
fn free_and_resident_memory_of_this_machine_are_read() {
    let free = Free::now();
    assert!(free.memory > 0.0 && free.descriptors > 0, "{free:?}");
    assert!(resources::resident_bytes() > 0.0);
}
