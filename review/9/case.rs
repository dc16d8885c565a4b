//! Bad clients send set-ups by the hundred at full speed, each to another number, and read all that they are sent.

use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;

use standins::*;

const MEMORY_MB: u64 = 32;
/// The proxy's part of a core: it is stopped for the rest of the time, by signals.
const CORES: f64 = 0.5;
const RUN_MS: f64 = 5.0;
const CLIENTS: usize = 8;
const AT_ONCE: usize = 300;
const SPAN_MS: f64 = 25_000.0;

/// Sends set-ups until `end_at`, on a new connection where one is closed.
fn insist(proxy: SocketAddr, end_at: f64) -> usize {
    let mut sent = 0;
    while now() < end_at {
        let Ok(mut stream) = TcpStream::connect(proxy) else { continue };
        let Ok(mut reader) = stream.try_clone() else { continue };
        let reads = thread::spawn(move || {
            let mut bytes = vec![0; 64 * 1024];
            while reader.read(&mut bytes).is_ok_and(|n| n > 0) {}
        });
        while now() < end_at {
            let text: String =
                (0..AT_ONCE).map(|_| offer_line(&new_call(), "thread-open", 9000, 0)).collect();
            if stream.write_all(text.as_bytes()).is_err() {
                break;
            }
            sent += AT_ONCE;
        }
        let _ = stream.shutdown(Shutdown::Both);
        let _ = reads.join();
    }
    sent
}

fn peak_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn main() {
    open_record();
    let deployment = Deployment { cores: CORES, memory_mb: MEMORY_MB, ..Deployment::istanbul_main() };
    let (one, two) = (Server::steady("s-1", 8_000.0), Server::steady("s-2", 8_000.0));
    let change_log = ChangeLog::start();
    change_log.tell(&[
        entry("s-1", one.address, 0, "in_service", 0.0),
        entry("s-2", two.address, 1, "in_service", 0.0),
    ]);
    let proxy = Proxy::start("n1", &deployment, 0, &change_log);
    let end_at = now() + SPAN_MS;
    let pid = proxy.pid();
    let part_of_a_core = thread::spawn(move || {
        while now() < end_at {
            signal_quietly(pid, SIGSTOP);
            sleep_ms(RUN_MS * (1.0 - CORES) / CORES);
            signal_quietly(pid, SIGCONT);
            sleep_ms(RUN_MS);
        }
    });
    let caller =
        Caller::connect("caller", proxy.listen, false).unwrap_or_else(|| cannot_run("no connection"));
    let mut clients = Vec::new();
    if trouble() {
        note(&format!("{CLIENTS} bad clients begin"));
        clients.extend((0..CLIENTS).map(|_| {
            let listen = proxy.listen;
            thread::spawn(move || insist(listen, end_at))
        }));
    }
    let mut n = 0_usize;
    while now() < end_at {
        caller.offer(&new_call(), "thread-open", 9000, (n % 2) as u16);
        n += 1;
        if n.is_multiple_of(10) {
            note(&format!("memory that the proxy has held at most: {} kB", peak_kb(pid)));
        }
        sleep_ms(100.0);
    }
    let sent: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let _ = part_of_a_core.join();
    let peak = peak_kb(pid);
    say(&format!("{sent} set-ups of bad clients, {peak} kB at most"));
    note(&format!("{sent} set-ups of bad clients, {peak} kB at most"));
    if peak == 0 {
        cannot_run("the proxy's memory is not known");
    }
    let mut broken = Vec::new();
    if peak > MEMORY_MB * 1024 {
        broken
            .push(format!("the proxy held {peak} kB, over its limit of {MEMORY_MB} MB, where it is killed"));
    }
    verdict(&broken);
}
