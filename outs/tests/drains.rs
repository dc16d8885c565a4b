//! Drains are decided the same on all replicas, within the budget of their pool.

use agree::Machine;
use outs::drains::{Command, MAX_REASON_BYTES, Verdict, max_unavailable};
use outs::{AVAILABILITY_PART, Availability};
use rstest::rstest;

fn drain(server: &str, pool: u16, max_unavailable: u16, listed_unavailable: u16) -> Command {
    let (by, why) = ("p1".to_owned(), "disk".to_owned());
    Command::Drain {
        server: server.to_owned(),
        pool,
        max_unavailable,
        listed_unavailable,
        by,
        why,
        unix_ms: 7,
    }
}

fn undrain(server: &str) -> Command {
    Command::Undrain { server: server.to_owned() }
}

fn encoded(command: &Command) -> Vec<u8> {
    outs::Command::Drains(command.clone()).encode()
}

fn decide(availability: &mut Availability, command: &Command) -> Verdict {
    let answer = availability.decide(5, AVAILABILITY_PART, &encoded(command)).expect("a known command");
    let Some(outs::Verdict::Drains(verdict)) = outs::Verdict::decode(&answer) else { panic!("{answer:?}") };
    verdict
}

#[test]
fn drains_and_the_list_together_stay_within_the_pools_budget() {
    let mut availability = Availability::default();
    assert_eq!(decide(&mut availability, &drain("a", 0, 2, 0)), Verdict::Done);
    assert_eq!(decide(&mut availability, &drain("a", 0, 2, 0)), Verdict::Unchanged);
    // Requested at the same time by a proxy that knew of no other drain.
    assert_eq!(
        decide(&mut availability, &drain("b", 0, 2, 1)),
        Verdict::OverBudget { unavailable: 3, max_unavailable: 2, drained: vec!["a".into()] }
    );
    assert_eq!(decide(&mut availability, &drain("c", 1, 1, 0)), Verdict::Done, "another pool");
    assert_eq!(decide(&mut availability, &drain("b", 0, 2, 0)), Verdict::Done);
    assert_eq!(decide(&mut availability, &undrain("a")), Verdict::Done);
    assert_eq!(decide(&mut availability, &undrain("a")), Verdict::Unchanged);
    let remaining: Vec<&str> = availability.drains.iter().map(|(server, _)| server).collect();
    assert_eq!(remaining, ["b", "c"]);
    let mut other = Availability::default();
    other.restore(9, &availability.state()).expect("its own state is readable");
    assert_eq!(other, availability);
}

#[rstest]
#[case::no_name(drain("", 0, 2, 0))]
#[case::a_long_reason(Command::Drain {
    server: "a".into(), pool: 0, max_unavailable: 2, listed_unavailable: 0, by: "p".into(), why: "x".repeat(MAX_REASON_BYTES + 1), unix_ms: 0,
})]
fn a_too_long_or_empty_text_is_invalid(#[case] command: Command) {
    assert_eq!(decide(&mut Availability::default(), &command), Verdict::Invalid);
}

#[rstest]
#[case::another_part(9, &encoded(&drain("a", 0, 1, 0)))]
#[case::another_version(AVAILABILITY_PART, &[2, 0])]
#[case::garbage(AVAILABILITY_PART, &[1, 9, 9])]
fn an_unknown_part_version_or_command_is_an_error(#[case] part: u8, #[case] command: &[u8]) {
    assert!(Availability::default().decide(3, part, command).is_err());
    assert!(Availability::default().restore(3, &[7]).is_err());
}

#[rstest]
#[case(0.25, 12, 3)]
#[case(0.25, 3, 1)]
#[case(0.0, 3, 1)]
fn at_least_one_server_may_be_unavailable(#[case] part: f64, #[case] servers: usize, #[case] expected: u16) {
    assert_eq!(max_unavailable(part, servers), expected);
}
