//! Case 3: after a stall the border proxy sends set-ups to a call host that drains since long. See claim.txt.

#[path = "../common/stand_ins.rs"]
mod stand_ins;

use stand_ins::*;

const STALL_MS: f64 = 1950.0;
/// How long a host drains before it stops, and how long a call lasts.
const DRAIN_MS: f64 = 6700.0;
const HOLD_MS: u64 = 13_000;

fn main() {
    let trouble = begin();
    let start = |n: u16| {
        let host = CallHost::start(&format!("s-{n}"), n, accept_after(15));
        host.state.hold_ms.store(HOLD_MS, std::sync::atomic::Ordering::Relaxed);
        host
    };
    let hosts: Vec<CallHost> = (0..8).map(start).collect();
    let log = ChangeLog::start(&hosts.iter().map(|host| host.entry("in_service")).collect::<Vec<_>>());
    let proxy = Proxy::start(&PITCHLINE, &log);
    let caller = Caller::connect("A", "127.0.0.1", proxy.listen);
    let mut calls = 0;
    let mut offers_until = |end: f64| {
        while now_ms() < end {
            caller.offer(&call_id(calls), "pitch-hold", 9000, (calls % 8) as u16);
            calls += 1;
            sleep_ms(100);
        }
        calls
    };
    offers_until(now_ms() + 4000.0);
    let grace = PITCHLINE.drain_grace_s * 1000.0 + 50.0;
    let (mut after_grace, mut cut) = (0, 0);
    // Two hosts of eight are drained and stopped, one after the other; each drain is told early in a stall.
    for host in &hosts[..2] {
        if trouble {
            proxy.signal(SIGSTOP, "stands still");
        }
        let stall = now_ms();
        sleep_ms(100);
        log.add(&[host.entry("terminating")]);
        // The change log writes it to its open connection within some milliseconds.
        sleep_ms(50);
        let told = now_ms();
        offers_until(stall + STALL_MS);
        if trouble {
            proxy.signal(SIGCONT, "goes on");
        }
        offers_until(told + DRAIN_MS);
        let name = &host.state.name;
        host.stop();
        sleep_ms(1000);
        log.add(&[host.entry("terminated")]);
        for (at, call) in host.set_ups().into_iter().filter(|(at, _)| *at > told + grace) {
            let was_cut = caller.of(&call).iter().any(|line| line.op == "end" && line.why == Some(41));
            let then = if was_cut { ", and was cut when the host stopped" } else { "" };
            record(&format!("{call} was sent to {name} {:.0} ms after its drain was told{then}", at - told));
            after_grace += 1;
            cut += usize::from(was_cut);
        }
        offers_until(now_ms() + 3000.0);
    }
    let served = caller.lines().iter().filter(|line| line.op == "accept").count();
    record(&format!("{served} calls stood in all"));
    if served == 0 {
        finish(2, "could not run: no call stood");
    }
    match after_grace {
        0 => finish(0, "held: no set-up went to a draining call host after the grace"),
        n => finish(
            1,
            &format!(
                "broken: {n} set-ups went to draining call hosts after the grace, {cut} of these calls were cut"
            ),
        ),
    }
}
