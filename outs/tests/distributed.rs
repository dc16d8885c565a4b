//! Decided drains are distributed in the scopes of their pools, and each change is handed on once.

use agree::Machine;
use distribution::{Key, Scope};
use outs::drains::{self, Command, Notice};
use outs::{AVAILABILITY_PART, Availability, Changes};

fn decide(availability: &mut Availability, index: u64, command: Command) {
    availability
        .decide(index, AVAILABILITY_PART, &outs::Command::Drains(command).encode())
        .expect("a known command");
}

fn drain(availability: &mut Availability, index: u64, server: &str, pool: u16) {
    let (by, why) = ("p1".to_owned(), "disk".to_owned());
    let (server, max_unavailable, listed_unavailable) = (server.to_owned(), 2, 0);
    decide(
        availability,
        index,
        Command::Drain { server, pool, max_unavailable, listed_unavailable, by, why, unix_ms: 7 },
    );
}

fn undrain(availability: &mut Availability, index: u64, server: &str) {
    decide(availability, index, Command::Undrain { server: server.to_owned() });
}

/// The changes as scope, server, version and whether the server is drained.
fn changes(availability: &mut Availability) -> Vec<(Scope, String, u64, bool)> {
    let Changes::Since(changes) = availability.take_changes() else { panic!("reset") };
    let summary = |change: distribution::Change| {
        let server = drains::server_of(&change.key).expect("a drain").to_owned();
        (change.scope, server, change.version, change.value.is_some())
    };
    changes.into_iter().map(summary).collect()
}

#[test]
fn a_drain_is_in_the_scope_of_its_pool_until_undrained() {
    let mut availability = Availability::default();
    let empty = availability.root();
    drain(&mut availability, 4, "a", 3);
    drain(&mut availability, 5, "b", 70);
    let key = |server: &str| Key::new(format!("drain/{server}")).expect("a valid key");
    let (version, value) = availability.scoped().get(Scope::Service(3), &key("a")).expect("the entry exists");
    assert_eq!(version, 4);
    assert_eq!(Notice::decode(value), Some(Notice { by: "p1".into(), why: "disk".into(), unix_ms: 7 }));
    assert!(availability.scoped().get(Scope::Service(70), &key("b")).is_some());
    assert_ne!(availability.root(), empty);
    undrain(&mut availability, 9, "a");
    assert_eq!(availability.scoped().get(Scope::Service(3), &key("a")), None);
    assert_eq!(availability.scoped().summary(Scope::Service(3)).version, 9, "empty, last changed by 9");
}

#[test]
fn only_real_changes_are_handed_on_once_and_in_order() {
    let mut availability = Availability::default();
    drain(&mut availability, 4, "a", 3);
    drain(&mut availability, 5, "a", 3);
    undrain(&mut availability, 6, "nobody");
    drain(&mut availability, 7, "b", 3);
    undrain(&mut availability, 8, "a");
    let (service, name) = (Scope::Service(3), |name: &str| name.to_owned());
    let all = [(service, name("a"), 4, true), (service, name("b"), 7, true), (service, name("a"), 8, false)];
    assert_eq!(changes(&mut availability), all);
    assert_eq!(changes(&mut availability), []);
}

#[test]
fn after_a_snapshot_or_too_many_untaken_changes_the_feed_resets() {
    let mut availability = Availability::default();
    drain(&mut availability, 4, "a", 3);
    let mut other = Availability::default();
    other.restore(4, &availability.state()).expect("its own state is readable");
    assert_eq!((&other, other.root()), (&availability, availability.root()));
    assert_eq!(other.take_changes(), Changes::Reset);
    undrain(&mut other, 5, "a");
    assert_eq!(changes(&mut other).len(), 1);
    for index in 0..3_000 {
        drain(&mut availability, 10 + 2 * index, "b", 3);
        undrain(&mut availability, 11 + 2 * index, "b");
    }
    assert_eq!(availability.take_changes(), Changes::Reset);
    assert_eq!(changes(&mut availability), []);
}

#[test]
fn a_command_can_be_tried_on_a_copy_without_an_index() {
    let mut availability = Availability::default();
    drain(&mut availability, 4, "a", 3);
    let mut copy = availability.clone();
    drain(&mut copy, 0, "b", 3);
    assert!(copy.drains.get("b").is_some());
    assert_eq!(availability.drains.get("b"), None);
}

#[test]
fn a_state_of_an_older_version_is_an_error() {
    let mut state = Availability::default().state();
    state[0] = 1;
    assert!(Availability::default().restore(4, &state).is_err());
}
