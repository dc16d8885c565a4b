//! `frostthread serve` as a process between a stand-in change log, central servers and a caller: what the change log
//! has told is known before a set-up is sent.

mod stand_ins;

use stand_ins::{Caller, CentralServer, Changelog, ServedProcess};

/// After a stall the proxy found the news of a drain and set-ups for the draining server waiting on its sockets, read
/// the callers first, and sent the set-ups to the draining server.
#[test]
fn after_a_stall_no_set_up_goes_to_a_server_whose_drain_was_told_meanwhile() {
    let draining = CentralServer::start("s-0", 0);
    let other = CentralServer::start("s-1", 1);
    let changelog = Changelog::start(&[draining.entry("in_service"), other.entry("in_service")]);
    let proxy = ServedProcess::start(&changelog);
    changelog.wait_for_request();
    let mut caller = Caller::connect(proxy.listen);
    caller.offer(1, 0);
    caller.wait_for_accept(1);
    assert_eq!(draining.set_ups(), 1, "the server is used while it is in service");

    for round in 0..3 {
        let (first, last) = (round * 10 + 2, round * 10 + 9);
        proxy.stop();
        if round == 0 {
            changelog.add(&[draining.entry("terminating")]);
        }
        (first..=last).for_each(|call| caller.offer(call, 0));
        proxy.go_on();
        (first..=last).for_each(|call| caller.wait_for_accept(call));
    }
    assert_eq!(draining.set_ups(), 1, "no set-up was sent to the draining server");
    assert_eq!(other.set_ups(), 24);
}

/// The same for news that came in many events, more than are read at once, the last of which tells the drain.
#[test]
fn after_a_stall_all_events_of_the_change_log_are_known_before_a_set_up_is_sent() {
    const EVENTS: usize = 400;
    let draining = CentralServer::start("s-0", 0);
    let other = CentralServer::start("s-1", 1);
    let changelog = Changelog::start(&[draining.entry("in_service"), other.entry("in_service")]);
    let proxy = ServedProcess::start(&changelog);
    changelog.wait_for_request();
    let mut caller = Caller::connect(proxy.listen);
    caller.offer(1, 0);
    caller.wait_for_accept(1);

    proxy.stop();
    for _ in 0..EVENTS {
        changelog.add(&[other.entry("in_service")]);
    }
    changelog.add(&[draining.entry("terminating")]);
    (2..10).for_each(|call| caller.offer(call, 0));
    proxy.go_on();
    (2..10).for_each(|call| caller.wait_for_accept(call));
    assert_eq!((draining.set_ups(), other.set_ups()), (1, 8));
}
