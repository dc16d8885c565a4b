//! Runs five proxy processes whose packets to each other pass through one switch, with callers and central
//! servers of the test. Links between the proxies can be cut in one or both directions or lose packets;
//! proxies can be killed, stopped and started. The central servers record which set-ups arrive.

#![allow(dead_code)] // each test file uses a part of it

use std::collections::HashMap;
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use border::pool::{PoolEntry, PoolUpdates, Readiness};
use bytes::Bytes;
use daemon::settings::EXAMPLE;
use iax2::element::{self, Elements};
use iax2::{Endpoint, Event, Limits};

pub const PROXIES: usize = 5;
/// A child process that is killed when dropped.
pub struct Running(pub Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The test's threads, stopped and joined when dropped.
struct Threads {
    stopped: Arc<AtomicBool>,
    handles: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Calls `turn` for each datagram of a socket, and at least once per millisecond.
    fn serve(
        &mut self,
        socket: UdpSocket,
        mut turn: impl FnMut(&UdpSocket, Option<(&[u8], SocketAddr)>) + Send + 'static,
    ) {
        let stopped = self.stopped.clone();
        socket.set_read_timeout(Some(Duration::from_millis(1))).expect("set");
        self.handles.push(thread::spawn(move || {
            let mut buffer = [0; 4096];
            while !stopped.load(Ordering::Relaxed) {
                match socket.recv_from(&mut buffer) {
                    Ok((length, from)) => turn(&socket, Some((&buffer[..length], from))),
                    Err(_) => turn(&socket, None),
                }
            }
        }));
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.handles.drain(..).for_each(|thread| drop(thread.join()));
    }
}

fn loopback_socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").expect("a port")
}

fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1000.0
}

/// The switch between the proxies: which links are cut, and how many bytes have passed.
pub struct Switch {
    /// One socket for each proxy, at which the others reach it.
    sockets: Vec<UdpSocket>,
    /// Each proxy by the address that it sends from.
    senders: Mutex<HashMap<SocketAddr, usize>>,
    /// The own address of each running proxy.
    addresses: Mutex<Vec<Option<SocketAddr>>>,
    /// Cut links, by sender and receiver.
    cut: Mutex<[[bool; PROXIES]; PROXIES]>,
    pub loss_percent: AtomicU64,
    pub bytes: AtomicU64,
}

impl Switch {
    fn forward(&self, to: usize, bytes: &[u8], from: SocketAddr) {
        let Some(&sender) = self.senders.lock().expect("whole").get(&from) else { return };
        let count = self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        // Losses are spread over all links.
        let lost = count % 100 < self.loss_percent.load(Ordering::Relaxed);
        if lost || self.cut.lock().expect("whole")[sender][to] {
            return;
        }
        if let Some(address) = self.addresses.lock().expect("whole")[to] {
            let _ = self.sockets[sender].send_to(bytes, address);
        }
    }
}

/// The key files of all proxies and their addresses at the switch, for settings.
pub struct KeyFiles {
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    public_keys: Vec<String>,
}

impl KeyFiles {
    fn generate(folder: &Path, addresses: Vec<SocketAddr>) -> Self {
        let generate_key = |name: &str| {
            let made = frostthread().args(["key", "new"]).arg(folder.join(name)).output().expect("ran");
            assert!(made.status.success(), "{made:?}");
            String::from_utf8(made.stdout).expect("text").trim().to_owned()
        };
        let public_keys = (0..PROXIES).map(|i| generate_key(&format!("p{i}.key"))).collect();
        generate_key("fleet.key");
        Self { folder: folder.to_owned(), addresses, public_keys }
    }

    fn path_text(&self, name: &str) -> String {
        self.folder.join(name).to_str().expect("text").to_owned()
    }

    /// The address at the switch by which others reach a proxy.
    pub fn switch_address(&self, proxy: usize) -> SocketAddr {
        self.addresses[proxy]
    }

    /// Writes a roster of some proxies; returns its file.
    pub fn roster(&self, name: &str, proxies: &[usize]) -> String {
        let row = |i: &usize| format!("p{i} = \"{}\"\n", self.public_keys[*i]);
        fs::write(self.folder.join(name), proxies.iter().map(row).collect::<String>()).expect("written");
        self.path_text(name)
    }

    /// The settings lines of a proxy's keys.
    pub fn keys(&self, proxy: usize, roster: &str) -> String {
        let (key, fleet) = (self.path_text(&format!("p{proxy}.key")), self.path_text("fleet.key"));
        format!("key = \"{key}\"\nfleet_keys = [\"{fleet}\"]\nroster = \"{roster}\"\n")
    }

    /// The gossip table of one of the first `members` proxies.
    pub fn gossip(&self, proxy: usize, members: usize) -> String {
        let all: Vec<usize> = (0..members).collect();
        format!(
            "[gossip]\nlisten = \"127.0.0.1:0\"\naddress = \"{}\"\nseeds = [\"{}\"]\n{}\
             cap = 60000\nbeat = \"50 ms\"\nliars = 0\n",
            self.switch_address(proxy),
            self.switch_address((proxy + 1) % members),
            self.keys(proxy, &self.roster("roster.toml", &all)),
        )
    }
}

/// The running proxies with their callers, switch and central servers.
pub struct Cluster {
    folder: tempfile::TempDir,
    pub proxies: Vec<Option<Running>>,
    pub files: Vec<PathBuf>,
    callers: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    /// Calls per second at each proxy.
    demand: Arc<Mutex<[f64; PROXIES]>>,
    pub switch: Arc<Switch>,
    /// Received set-ups: time in milliseconds, sender's port, and central server.
    pub set_ups: Arc<Mutex<Vec<(f64, u16, usize)>>>,
    started: Instant,
    _threads: Threads,
}

impl Cluster {
    /// Starts a cluster in which all proxies gossip; `tables` is added to the settings of each.
    pub fn new(servers: usize, tables: &str) -> Self {
        Self::with_tables(servers, |files, proxy| format!("{}\n{tables}\n", files.gossip(proxy, PROXIES)))
    }

    /// Starts a cluster; `tables` returns what is added to each proxy's settings.
    pub fn with_tables(servers: usize, tables: impl Fn(&KeyFiles, usize) -> String) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let started = Instant::now();
        let mut threads = Threads { stopped: Arc::default(), handles: Vec::new() };

        let set_ups = Arc::new(Mutex::new(Vec::new()));
        let entries: Vec<PoolEntry> = (0..servers)
            .map(|server| central_server(&mut threads, server, started, set_ups.clone()))
            .collect();

        let feed = TcpListener::bind("127.0.0.1:0").expect("a port");
        let feed_at = feed.local_addr().expect("bound");
        feed.set_nonblocking(true).expect("set");
        let stopped = threads.stopped.clone();
        threads.handles.push(thread::spawn(move || {
            let line = PoolUpdates { version: 1, whole: true, servers: entries }.write();
            let mut open = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                if let Ok((mut stream, _)) = feed.accept() {
                    let _ = stream.write_all(line.as_bytes());
                    open.push(stream);
                }
                thread::sleep(Duration::from_millis(5));
            }
        }));

        let sockets: Vec<UdpSocket> = (0..PROXIES).map(|_| loopback_socket()).collect();
        let receivers: Vec<UdpSocket> =
            sockets.iter().map(|socket| socket.try_clone().expect("cloned")).collect();
        let switch = Arc::new(Switch {
            sockets,
            senders: Mutex::default(),
            addresses: Mutex::new(vec![None; PROXIES]),
            cut: Mutex::default(),
            loss_percent: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        });
        for (to, socket) in receivers.into_iter().enumerate() {
            let switch = switch.clone();
            threads.serve(socket, move |_, datagram| {
                if let Some((bytes, from)) = datagram {
                    switch.forward(to, bytes, from);
                }
            });
        }

        let callers: Arc<Mutex<Vec<Option<SocketAddr>>>> = Arc::new(Mutex::new(vec![None; PROXIES]));
        let demand: Arc<Mutex<[f64; PROXIES]>> = Arc::default();
        for proxy in 0..PROXIES {
            let (callers, demand) = (callers.clone(), demand.clone());
            let mut endpoint = Endpoint::new(Limits::default(), 10 + proxy as u64);
            let mut next = elapsed_ms(started);
            let mut number = 0;
            threads.serve(loopback_socket(), move |socket, datagram| {
                let now = elapsed_ms(started);
                if let Some((bytes, from)) = datagram {
                    endpoint.receive(now, from, &Bytes::copy_from_slice(bytes));
                }
                let rate = demand.lock().expect("whole")[proxy];
                if rate == 0.0 {
                    next = now;
                }
                while next <= now && rate > 0.0 {
                    next = (next + 1000.0 / rate).max(now - 1000.0);
                    number += 1;
                    let calling = format!("{proxy}{number}");
                    let new = Elements::new().with(element::CALLED_NUMBER, "155");
                    let new = new.with(element::CALLING_NUMBER, &calling[..]);
                    if let Some(proxy) = callers.lock().expect("whole")[proxy] {
                        endpoint.call(now, proxy, &new);
                    }
                }
                endpoint.turn(now);
                while let Some((leg, event)) = endpoint.next_event() {
                    if matches!(event, Event::Answered(_)) {
                        endpoint.end(now, leg, &Elements::new().with_cause(16));
                    }
                }
                while let Some(outgoing) = endpoint.next_datagram() {
                    let _ = socket.send_to(&outgoing.bytes, outgoing.peer);
                }
            });
        }

        let mut cluster = Self {
            proxies: (0..PROXIES).map(|_| None).collect(),
            files: Vec::new(),
            callers,
            demand,
            switch,
            set_ups,
            started,
            _threads: threads,
            folder,
        };
        cluster.write_settings(feed_at, &tables);
        (0..PROXIES).for_each(|proxy| cluster.start(proxy));
        cluster
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn write_settings(&mut self, feed: SocketAddr, tables: &impl Fn(&KeyFiles, usize) -> String) {
        let text = |path: &Path| path.to_str().expect("text").to_owned();
        let sockets = self.switch.sockets.iter().map(|socket| socket.local_addr().expect("bound")).collect();
        let files = KeyFiles::generate(self.folder.path(), sockets);
        for i in 0..PROXIES {
            let tables = tables(&files, i);
            let settings = EXAMPLE
                .replace("frostthread-state", &text(&self.path(&format!("p{i}"))))
                .replace("name = \"p1\"", &format!("name = \"p{i}\""))
                .replace("proxies = 4", &format!("proxies = {PROXIES}"))
                .replace("standing = \"30 s\"", "standing = \"300 ms\"")
                .replace("127.0.0.1:4569", "127.0.0.1:0")
                .replace("127.0.0.1:4600", &feed.to_string())
                .replace("[iax2]\n", &format!("{tables}[iax2]\n"));
            let file = self.path(&format!("p{i}.toml"));
            fs::write(&file, settings).expect("written");
            self.files.push(file);
        }
    }

    /// Starts a proxy and waits until it is ready.
    pub fn start(&mut self, proxy: usize) {
        let ready = self.path(&format!("p{proxy}")).join("ready.json");
        let _ = fs::remove_file(&ready);
        let mut command = frostthread();
        command.args(["run", "--config"]).arg(&self.files[proxy]).stderr(Stdio::null());
        self.proxies[proxy] = Some(Running(command.spawn().expect("started")));
        let deadline = Instant::now() + Duration::from_secs(20);
        while !self.read_addresses(proxy) {
            assert!(Instant::now() < deadline, "p{proxy} did not get ready");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Starts a proxy without waiting.
    pub fn spawn(&mut self, proxy: usize) {
        let _ = fs::remove_file(self.path(&format!("p{proxy}")).join("ready.json"));
        let mut command = frostthread();
        command.args(["run", "--config"]).arg(&self.files[proxy]).stderr(Stdio::null());
        self.proxies[proxy] = Some(Running(command.spawn().expect("started")));
    }

    /// Reads a proxy's addresses, which change when a release replaces its process; false before it is ready.
    pub fn read_addresses(&self, proxy: usize) -> bool {
        let ready = self.path(&format!("p{proxy}")).join("ready.json");
        let ready_text = fs::read_to_string(&ready).ok();
        let Some(ready_json) =
            ready_text.and_then(|text| serde_json::from_str::<serde_json::Value>(&text).ok())
        else {
            return false;
        };
        let address = |key: &str| -> SocketAddr {
            ready_json[key].as_str().expect("text").parse().expect("an address")
        };
        self.callers.lock().expect("whole")[proxy] = Some(address("callers"));
        self.switch.senders.lock().expect("whole").insert(address("peers"), proxy);
        self.switch.addresses.lock().expect("whole")[proxy] = Some(address("peers"));
        true
    }

    /// The address for a proxy's callers, as last read.
    pub fn callers_address(&self, proxy: usize) -> SocketAddr {
        self.callers.lock().expect("whole")[proxy].expect("runs")
    }

    /// The command line of a proxy's process.
    pub fn command_line(&self, proxy: usize) -> String {
        let id = self.proxies[proxy].as_ref().expect("runs").0.id();
        fs::read_to_string(format!("/proc/{id}/cmdline")).unwrap_or_default()
    }

    pub fn kill(&mut self, proxy: usize) {
        self.callers.lock().expect("whole")[proxy] = None;
        self.switch.addresses.lock().expect("whole")[proxy] = None;
        self.proxies[proxy] = None;
    }

    pub fn signal(&self, proxy: usize, signal: &str) {
        let id = self.proxies[proxy].as_ref().expect("runs").0.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("ran").success());
    }

    pub fn sleep(&self, duration_ms: f64) {
        thread::sleep(Duration::from_secs_f64(duration_ms / 1000.0));
    }

    pub fn set_demand(&self, rates: [f64; PROXIES]) {
        *self.demand.lock().expect("whole") = rates;
    }

    /// Cuts or restores links in one direction: packets from `from` no longer reach `to`.
    pub fn set_cut(&self, from: &[usize], to: &[usize], cut: bool) {
        let mut links = self.switch.cut.lock().expect("whole");
        from.iter().for_each(|&from| to.iter().for_each(|&to| links[from][to] = cut));
    }

    /// Milliseconds since the cluster was started.
    pub fn now(&self) -> f64 {
        elapsed_ms(self.started)
    }

    pub fn set_ups_since(&self, since_ms: f64) -> usize {
        self.set_ups.lock().expect("whole").iter().filter(|(at, ..)| *at >= since_ms).count()
    }

    /// Runs a command of the program for a proxy; returns the JSON that it prints.
    pub fn query(&self, proxy: usize, arguments: &[&str]) -> serde_json::Value {
        let output = self.command(proxy, arguments);
        serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{arguments:?}: {output:?}"))
    }

    /// Runs a command of the program for a proxy.
    pub fn command(&self, proxy: usize, arguments: &[&str]) -> Output {
        frostthread()
            .args(arguments)
            .args(["--json", "--config"])
            .arg(&self.files[proxy])
            .output()
            .expect("ran")
    }

    /// Waits until `holds` returns true; panics after 20 s.
    pub fn wait_until(&self, condition: &str, holds: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !holds(self) {
            assert!(Instant::now() < deadline, "{condition}: not within 20 s");
            (0..PROXIES).filter(|&proxy| self.proxies[proxy].is_some()).for_each(|proxy| {
                self.read_addresses(proxy);
            });
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Starts a central server that answers every set-up.
fn central_server(
    threads: &mut Threads,
    server: usize,
    started: Instant,
    set_ups: Arc<Mutex<Vec<(f64, u16, usize)>>>,
) -> PoolEntry {
    let socket = loopback_socket();
    let entry = PoolEntry {
        name: format!("s-{server}"),
        address: socket.local_addr().expect("bound"),
        state: Readiness::Running,
        pool: 0,
        started: None,
    };
    let mut endpoint = Endpoint::new(Limits::default(), 1);
    threads.serve(socket, move |socket, datagram| {
        let now = elapsed_ms(started);
        if let Some((bytes, from)) = datagram {
            endpoint.receive(now, from, &Bytes::copy_from_slice(bytes));
        }
        endpoint.turn(now);
        while let Some((leg, event)) = endpoint.next_event() {
            match event {
                Event::Offered { peer, .. } => {
                    set_ups.lock().expect("whole").push((now, peer.port(), server));
                    endpoint.accept(now, leg, &Elements::new());
                    endpoint.answer(now, leg, &Elements::new());
                }
                Event::Poked(poke) => endpoint.pong(&poke, &Elements::new()),
                _ => {}
            }
        }
        while let Some(outgoing) = endpoint.next_datagram() {
            let _ = socket.send_to(&outgoing.bytes, outgoing.peer);
        }
    });
    entry
}

pub fn frostthread() -> Command {
    Command::new(env!("CARGO_BIN_EXE_frostthread"))
}
