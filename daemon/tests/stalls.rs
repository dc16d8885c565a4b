//! `frostthread serve` as a process that stands still between a stand-in change log, central servers and a caller.

mod stand_ins;

use std::time::Duration;

use stand_ins::{CALLER_TIMEOUT_MS, Caller, CentralServer, Changelog, ServedProcess};

/// A proxy that follows the change log, with a caller and two servers, of which the first has got one set-up.
struct TwoServers {
    draining: CentralServer,
    other: CentralServer,
    changelog: Changelog,
    proxy: ServedProcess,
    caller: Caller,
}

impl TwoServers {
    fn start() -> Self {
        let draining = CentralServer::start("s-0", 0);
        let other = CentralServer::start("s-1", 1);
        let changelog = Changelog::start(&[draining.entry("in_service"), other.entry("in_service")]);
        let proxy = ServedProcess::start(&changelog);
        changelog.wait_for_request();
        let mut caller = Caller::connect(proxy.listen);
        caller.offer(1, 0);
        caller.wait_for_accept(1);
        Self { draining, other, changelog, proxy, caller }
    }
}

/// After a stall the proxy found the news of a drain and set-ups for the draining server waiting on its sockets, read
/// the callers first, and sent the set-ups to the draining server.
#[test]
fn after_a_stall_no_set_up_goes_to_a_server_whose_drain_was_told_meanwhile() {
    let TwoServers { draining, other, changelog, proxy, mut caller } = TwoServers::start();
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
    let TwoServers { draining, other, changelog, proxy, mut caller } = TwoServers::start();

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

/// A caller's time was counted from when its set-up was read, not from when it was sent.
#[test]
fn the_time_for_which_a_set_up_waited_in_a_stall_is_taken_off_its_deadline() {
    const STALL: Duration = Duration::from_millis(1200);
    let server = CentralServer::start("s-0", 0);
    let changelog = Changelog::start(&[server.entry("in_service")]);
    let proxy = ServedProcess::start(&changelog);
    let mut caller = Caller::connect(proxy.listen);
    caller.offer(1, 0);
    caller.wait_for_accept(1);

    proxy.stop();
    caller.offer(2, 0);
    std::thread::sleep(STALL);
    proxy.go_on();
    caller.wait_for_accept(2);
    let latest = CALLER_TIMEOUT_MS - STALL.as_secs_f64() * 1000.0;
    let deadline = server.deadlines()[1];
    assert!(deadline <= latest, "{deadline} ms, wanted are {latest} at most");
}
