//! Case 2: the release of a call that stands is lost when an answer to another call leaves the connection
//! useless. See claim.txt.

#[path = "../common/stand_ins.rs"]
mod stand_ins;

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use stand_ins::*;

/// The protocol's limits: a release is due within 1 s, and within 8 s if none could be sent; each 50 ms longer.
const LAST_RELEASE_MS: f64 = 8000.0 + 50.0;
const HOLD_MS: u64 = 6000;

fn main() {
    let trouble = begin();
    // The answer that is spoilt is the first one, from a given time on, on a connection of s-0 that set up
    // calls which stand, while s-0 has another connection open.
    let armed = Arc::new(AtomicBool::new(false));
    let first_host: Arc<OnceLock<Arc<HostState>>> = Arc::default();
    let start = |n: u16| {
        let (armed, state) = (armed.clone(), first_host.clone());
        let decide = move |message: &Message, connection: usize| {
            let useful = state.get().is_some_and(|host| {
                let (open, standing) = host.connections_and_standing_on(connection);
                open > 1 && standing > 0
            });
            let spoilt = trouble && n == 0 && useful && armed.swap(false, Ordering::Relaxed);
            // A length that doesn't match: within the 16 KiB of a message, but longer than what was sent.
            let length = spoilt.then_some(15_000);
            Plan::Accept { after_ms: 60, desc: desc_of(&message.call), length }
        };
        let host = CallHost::start(&format!("s-{n}"), n, Box::new(decide));
        host.state.hold_ms.store(HOLD_MS, Ordering::Relaxed);
        host
    };
    let hosts: Vec<CallHost> = (0..3).map(start).collect();
    let _ = first_host.set(hosts[0].state.clone());
    let log = ChangeLog::start(&hosts.iter().map(|host| host.entry("in_service")).collect::<Vec<_>>());
    let proxy = Proxy::start(&ISTANBUL, &log);
    let caller = Caller::connect("A", "127.0.0.1", proxy.listen);

    // Six calls a second, three at once, for 12 s. The answer is spoilt once, after the first 5 s.
    for burst in 0..24 {
        if burst == 10 {
            armed.store(true, Ordering::Relaxed);
        }
        for n in 0..3 {
            caller.offer(&call_id(3 * burst + n), "thread-open", 9000, (burst % 3) as u16);
        }
        sleep_ms(500);
    }
    // All calls have been released, and the 8 s are over.
    sleep_ms(HOLD_MS + 11_000);

    let (mut released, mut lost) = (0, Vec::new());
    for host in &hosts {
        for (at, call) in host.releases() {
            let lines = caller.of(&call);
            if !lines.iter().any(|line| line.op == "accept") {
                continue;
            }
            match lines.iter().find(|line| line.op == "end") {
                Some(line) if line.at - at <= LAST_RELEASE_MS => released += 1,
                other => lost.push(format!("{call} at {} (told: {other:?})", host.state.name)),
            }
        }
    }
    record(&format!("{released} calls were released to their caller in time; lost: {lost:?}"));
    if released == 0 {
        finish(2, "could not run: no call was released at all");
    }
    match lost.len() {
        0 => finish(0, "held: every call that stood and was over was released to its caller"),
        n => finish(
            1,
            &format!("broken: {n} calls that stood and were over were never released to their caller"),
        ),
    }
}
