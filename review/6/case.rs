//! A new central server starts cold while bad clients send set-ups by the hundred and withdraw them at once.

use std::thread;

use standins::*;

// The figures of the site.
const PROXIES: usize = 7;
const COLD_FROM: f64 = 0.28;
const COLD_MS: f64 = 14_000.0;
const FACTOR: f64 = 2.5;
const FALL_MS: f64 = 1_000.0;
/// Set-ups a second that the processor of a warm central server can do.
const WARM_RATE: f64 = 50.0;
/// Ordinary set-ups a second at all border proxies together: a quiet day.
const ORDINARY_RATE: f64 = 30.0;
/// A bad client's set-ups at a time, and how long it leaves them before it withdraws them.
const AT_ONCE: usize = 200;
const WITHDRAWN_AFTER_MS: f64 = 10.0;

/// The ordinary callers' classes: about six, two and two of ten.
const CLASSES: [&str; 10] = [
    "thread-open",
    "seat-check",
    "thread-open",
    "slot-set",
    "thread-open",
    "thread-open",
    "seat-check",
    "thread-open",
    "slot-set",
    "thread-open",
];
const BAD_CLASS: &str = "slot-set";

fn server(name: &str, rate: impl Fn(f64) -> f64 + Send + Sync + Copy + 'static) -> Server {
    Server::start(ServerTerms {
        name: name.to_owned(),
        rate: Box::new(rate),
        hold: 8_000.0,
        gauges: Box::new(move |at| format!("pending:0;max_rate:{:.1}", rate(at))),
        lines: 150,
    })
}

/// Sends set-ups by the hundred and withdraws them, until `end_at`.
fn withdraw_at_once(proxy: std::net::SocketAddr, end_at: f64) {
    let Some(client) = Caller::connect("bad client", proxy, true) else { return };
    while now() < end_at {
        let calls: Vec<String> = (0..AT_ONCE).map(|_| new_call()).collect();
        let offers =
            calls.iter().zip((0..3).cycle()).map(|(call, pool)| offer_line(call, BAD_CLASS, 9000, pool));
        client.send(&offers.collect::<String>());
        sleep_ms(WITHDRAWN_AFTER_MS);
        client.send(&calls.iter().map(|call| end_line(call)).collect::<String>());
    }
}

fn main() {
    open_record();
    let deployment = Deployment { proxies: PROXIES, pools: 3, ..Deployment::istanbul_main() };
    let warm = [server("s-1", |_| WARM_RATE), server("s-2", |_| WARM_RATE)];
    let change_log = ChangeLog::start();
    change_log.tell(&[
        entry("s-1", warm[0].address, 0, "in_service", 0.0),
        entry("s-2", warm[1].address, 1, "in_service", 0.0),
    ]);
    let proxies: Vec<Proxy> =
        (0..PROXIES).map(|rank| Proxy::start(&format!("n{rank}"), &deployment, rank, &change_log)).collect();
    let end_at = now() + 14_000.0;
    let mut threads = Vec::new();
    for proxy in &proxies {
        let (listen, name) = (proxy.listen, proxy.name.clone());
        threads.push(thread::spawn(move || {
            let Some(caller) = Caller::connect(&format!("caller of {name}"), listen, false) else { return };
            let mut n = 0_usize;
            while now() < end_at {
                caller.offer(&new_call(), CLASSES[n % 10], 9000, (n % 3) as u16);
                n += 1;
                sleep_ms(1000.0 * PROXIES as f64 / ORDINARY_RATE);
            }
        }));
    }
    sleep_ms(4_000.0);
    let started = now();
    let capacity = move |at: f64| {
        WARM_RATE * (COLD_FROM + (1.0 - COLD_FROM) * ((at - started) / COLD_MS).clamp(0.0, 1.0))
    };
    let cold = server("s-3", capacity);
    change_log.tell(&[entry("s-3", cold.address, 2, "in_service", unix_ms())]);
    if trouble() {
        for proxy in &proxies {
            note(&format!("{}: a bad client begins", proxy.name));
            let listen = proxy.listen;
            threads.push(thread::spawn(move || withdraw_at_once(listen, end_at)));
        }
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let set_ups: Vec<f64> = lock(&cold.state).set_ups.iter().map(|(at, _)| *at).collect();
    let mut most: f64 = 0.0;
    let mut broken = Vec::new();
    for (i, at) in set_ups.iter().enumerate() {
        let count = set_ups[..=i].iter().filter(|earlier| **earlier > at - FALL_MS).count() as f64;
        let n = FACTOR * capacity(*at) * FALL_MS / 1000.0;
        let bound = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        most = most.max(count / bound);
        if count > bound && broken.is_empty() {
            broken.push(format!(
                "s-3 got {count} set-ups in the second up to {:.0} ms after its start; more than {bound:.0} make it fall",
                at - started
            ));
        }
    }
    note(&format!("s-3 got {} set-ups; the most in a second was {most:.2} of the bound", set_ups.len()));
    say(&format!("s-3 got {} set-ups; the most in a second was {most:.2} of the bound", set_ups.len()));
    verdict(&broken);
}
