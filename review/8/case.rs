//! One of four central servers, the whole machine, is lost for 5 s and returns cold; the list tells of the new start seconds later.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use standins::*;

const OUTAGE_MS: f64 = 5_000.0;
/// How long after the return the list tells of it.
const LIST_DELAY_MS: f64 = 4_000.0;
/// What has ended without a release is released towards its client within 8 s, on sockets 50 ms longer.
const RELEASE_LIMIT_MS: f64 = 8_050.0;
const CALLS: usize = 12;

fn main() {
    open_record();
    let deployment = Deployment { pools: 4, ..Deployment::istanbul_main() };
    let one = Server::steady("s-1", 40_000.0);
    let others: Vec<Server> = (2..=4).map(|n| Server::steady(&format!("s-{n}"), 40_000.0)).collect();
    let network = Network::start("s-1", one.address);
    let change_log = ChangeLog::start();
    let mut list = vec![entry("s-1", network.address, 0, "in_service", 0.0)];
    for (other, pool) in others.iter().zip(1..) {
        list.push(entry(&format!("s-{}", pool + 1), other.address, pool, "in_service", 0.0));
    }
    change_log.tell(&list);
    let proxy = Proxy::start("n1", &deployment, 0, &change_log);
    let caller =
        Caller::connect("caller", proxy.listen, false).unwrap_or_else(|| cannot_run("no connection"));
    let calls: Vec<String> = (0..CALLS).map(|_| new_call()).collect();
    for call in &calls {
        caller.offer(call, "thread-open", 9000, 0);
        sleep_ms(100.0);
    }
    if !wait_for(5_000.0, || calls.iter().all(|call| caller.stands(call))) {
        cannot_run("not all calls stand");
    }
    let at_one: Vec<String> =
        calls.iter().filter(|call| lock(&one.state).standing.contains_key(*call)).cloned().collect();
    note(&format!("{} calls stand at s-1", at_one.len()));
    if at_one.is_empty() {
        cannot_run("no call stands at s-1");
    }
    // Ordinary calls to the other central servers, two a second.
    let done = Arc::new(AtomicBool::new(false));
    let (listen, until) = (proxy.listen, done.clone());
    let ordinary = thread::spawn(move || {
        let Some(other) = Caller::connect("other caller", listen, false) else { return };
        let mut pools = (1..=3).cycle();
        while !until.load(Ordering::Relaxed) {
            other.offer(&new_call(), "thread-open", 9000, pools.next().unwrap_or(1));
            sleep_ms(500.0);
        }
    });
    sleep_ms(2_000.0);
    // The machine is lost just after it has told the state of its group.
    let told_at = lock(&one.state).told_at;
    if !wait_for(3_000.0, || lock(&one.state).told_at > told_at) {
        cannot_run("the state of the group is not told");
    }
    sleep_ms(50.0);
    let mut ended_at = now();
    if trouble() {
        ended_at = network.cut();
        network.forget_connections();
        one.die();
        sleep_ms(OUTAGE_MS - (now() - ended_at));
        let since = unix_ms();
        network.heal();
        sleep_ms(LIST_DELAY_MS);
        change_log.tell(&[entry("s-1", network.address, 0, "in_service", since)]);
    } else {
        one.release_all();
    }
    sleep_ms(ended_at + 14_000.0 - now());
    done.store(true, Ordering::Relaxed);
    let _ = ordinary.join();
    let mut broken = Vec::new();
    for call in &at_one {
        let released = caller.answers(call).iter().find(|answer| answer.op == "end").map(|answer| answer.at);
        match released {
            Some(at) if at - ended_at <= RELEASE_LIMIT_MS => {}
            Some(at) => {
                broken.push(format!("call {call} was released {:.0} ms after its end", at - ended_at))
            }
            None => broken.push(format!("call {call} was not released within 14 s of its end")),
        }
    }
    verdict(&broken);
}
