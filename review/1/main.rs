//! Case 1: the calls at a call host that vanishes are not released in time where the host had four
//! connections. See claim.txt.

#[path = "../common/stand_ins.rs"]
mod stand_ins;

use stand_ins::*;

/// The protocol's limit for a release where none could be sent.
const LAST_RELEASE_MS: f64 = 8000.0 + 50.0;
/// The pool list hears of a silent host after this time at the latest.
const SILENT_NOTICE_MS: f64 = 13_000.0;
const HOLD_MS: u64 = 15_000;

fn main() {
    let trouble = begin();
    let start = |n: u16| {
        let host = CallHost::start(&format!("s-{n}"), n, accept_after(150));
        host.state.hold_ms.store(HOLD_MS, std::sync::atomic::Ordering::Relaxed);
        host
    };
    let hosts: Vec<CallHost> = (0..8).map(start).collect();
    let log = ChangeLog::start(&hosts.iter().map(|host| host.entry("in_service")).collect::<Vec<_>>());
    let proxy = Proxy::start(&PITCHLINE, &log);
    let caller = Caller::connect("A", "127.0.0.1", proxy.listen);
    let mut calls = 0;
    let mut offer = |pool: usize| {
        caller.offer(&call_id(calls), "pitch-hold", 9000, pool as u16);
        calls += 1;
    };
    // Some busy seconds: several set-ups at once for s-0, so that it gets further connections.
    for _ in 0..6 {
        (0..3).for_each(|_| offer(0));
        sleep_ms(500);
    }
    // Some seconds in which the conversations go to the other hosts.
    let quiet = now_ms();
    let mut next = 0;
    while now_ms() < quiet + 8000.0 && hosts[0].connections() < 4 {
        offer(1 + next % 7);
        next += 1;
        sleep_ms(333);
    }
    record(&format!("s-0 has {} connections", hosts[0].connections()));
    let vanished = now_ms();
    let standing = if trouble { hosts[0].vanish() } else { Vec::new() };
    while now_ms() < vanished + SILENT_NOTICE_MS {
        offer(next % 8);
        next += 1;
        sleep_ms(333);
    }
    if trouble {
        log.add(&[hosts[0].entry("terminated")]);
    }
    sleep_ms(HOLD_MS + 3000);

    let (mut released, mut lost) = (0, 0);
    let over = standing.into_iter().map(|call| (vanished, call));
    for (at, call) in over.chain(hosts.iter().flat_map(|host| host.releases())) {
        let lines = caller.of(&call);
        if !lines.iter().any(|line| line.op == "accept") {
            continue;
        }
        let told = lines.iter().find(|line| line.op == "end").map_or(f64::INFINITY, |line| line.at - at);
        if told <= LAST_RELEASE_MS {
            released += 1;
        } else {
            record(&format!("{call} was over at {at:.0} ms, and its caller was told {told:.0} ms later"));
            lost += 1;
        }
    }
    record(&format!("{released} calls were released to their caller in time, {lost} were not"));
    if released == 0 {
        finish(2, "could not run: no call was released in time");
    }
    match lost {
        0 => finish(0, "held: every call that stood and was over was released to its caller"),
        n => finish(
            1,
            &format!("broken: {n} calls that stood and were over were not released to their caller in 8 s"),
        ),
    }
}
