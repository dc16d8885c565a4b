//! A new configuration moves discovery to a change log that is crowded: a call waits 1.8 s for its turn.

use std::sync::atomic::Ordering;

use standins::*;

const TURN_MS: u64 = 1_800;
/// What the change log has to tell counts as told 4 s after SIGHUP.
const TOLD_AFTER_MS: f64 = 4_000.0;
/// The grace of a drain, on sockets 50 ms longer.
const GRACE_MS: f64 = 550.0;

fn main() {
    open_record();
    let deployment = Deployment::istanbul_main();
    let (one, two) = (Server::steady("s-1", 2_000.0), Server::steady("s-2", 2_000.0));
    let change_log = ChangeLog::start();
    change_log.tell(&[
        entry("s-1", one.address, 0, "in_service", 0.0),
        entry("s-2", two.address, 1, "in_service", 0.0),
    ]);
    let successor = change_log.start_successor();
    let proxy = Proxy::start("n1", &deployment, 0, &change_log);
    let caller =
        Caller::connect("caller", proxy.listen, false).unwrap_or_else(|| cannot_run("no connection"));
    let mut next = 0_usize;
    let mut traffic = |until: f64| {
        while now() < until {
            caller.offer(&new_call(), "thread-open", 9000, (next % 2) as u16);
            next += 1;
            sleep_ms(100.0);
        }
    };
    traffic(now() + 3_000.0);
    if trouble() {
        successor.turn_ms.store(TURN_MS, Ordering::Relaxed);
    }
    change_log.mute.store(true, Ordering::Relaxed);
    let moved_at = now();
    proxy.reconfigure(&configuration("n1", proxy.listen, &deployment, 0, &change_log, successor.address));
    traffic(moved_at + 1_000.0);
    change_log.tell(&[entry("s-2", two.address, 1, "terminating", 0.0)]);
    traffic(moved_at + 1_500.0);
    change_log.closed.store(true, Ordering::Relaxed);
    traffic(moved_at + 12_000.0);
    let told_at = moved_at + TOLD_AFTER_MS;
    let late: Vec<(f64, String)> =
        lock(&two.state).set_ups.iter().filter(|(at, _)| *at > told_at + GRACE_MS).cloned().collect();
    let mut broken = Vec::new();
    if let (Some((first, call)), Some((last, _))) = (late.first(), late.last()) {
        broken.push(format!(
            "s-2 got {} set-ups after the grace, {call} first: {:.0} to {:.0} ms after the proxy counts as told",
            late.len(), first - told_at, last - told_at
        ));
    }
    verdict(&broken);
}
