//! Five processes of the program behind one switch, with callers and central servers of the test's own. Links
//! between the proxies are cut, one way or both, and lose; proxies are killed, stopped and started. What
//! counts is what came to the central servers' sockets.

#![allow(dead_code)] // each story uses some of it

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
/// Ends the process whatever the test comes to.
pub struct Running(pub Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Threads of the test's own, which end with it.
struct Threads {
    over: Arc<AtomicBool>,
    all: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Runs `turn` on datagrams of a socket, and at least each millisecond.
    fn serve(
        &mut self,
        socket: UdpSocket,
        mut turn: impl FnMut(&UdpSocket, Option<(&[u8], SocketAddr)>) + Send + 'static,
    ) {
        let over = self.over.clone();
        socket.set_read_timeout(Some(Duration::from_millis(1))).expect("set");
        self.all.push(thread::spawn(move || {
            let mut buffer = [0; 4096];
            while !over.load(Ordering::Relaxed) {
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
        self.over.store(true, Ordering::Relaxed);
        self.all.drain(..).for_each(|thread| drop(thread.join()));
    }
}

fn loopback() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").expect("a port")
}

fn millis(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1000.0
}

/// The one switch between proxies: which of them hears which, and what passed.
pub struct Switch {
    fronts: Vec<UdpSocket>,
    real: Mutex<HashMap<SocketAddr, usize>>,
    at: Mutex<Vec<Option<SocketAddr>>>,
    cut: Mutex<[[bool; PROXIES]; PROXIES]>,
    pub loses: AtomicU64,
    pub bytes: AtomicU64,
}

impl Switch {
    fn pass(&self, to: usize, bytes: &[u8], from: SocketAddr) {
        let Some(&sender) = self.real.lock().expect("whole").get(&from) else { return };
        let count = self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        // Every so many in a hundred are lost, whoever they are of.
        let lost = count % 100 < self.loses.load(Ordering::Relaxed);
        if lost || self.cut.lock().expect("whole")[sender][to] {
            return;
        }
        if let Some(address) = self.at.lock().expect("whole")[to] {
            let _ = self.fronts[sender].send_to(bytes, address);
        }
    }
}

/// The keys of all proxies and where each is heard, for their settings.
pub struct Files {
    folder: PathBuf,
    fronts: Vec<SocketAddr>,
    publics: Vec<String>,
}

impl Files {
    fn draw(folder: &Path, fronts: Vec<SocketAddr>) -> Self {
        let key = |name: &str| {
            let made = frostthread().args(["key", "new"]).arg(folder.join(name)).output().expect("ran");
            assert!(made.status.success(), "{made:?}");
            String::from_utf8(made.stdout).expect("text").trim().to_owned()
        };
        let publics = (0..PROXIES).map(|i| key(&format!("p{i}.key"))).collect();
        key("fleet.key");
        Self { folder: folder.to_owned(), fronts, publics }
    }

    fn text(&self, name: &str) -> String {
        self.folder.join(name).to_str().expect("text").to_owned()
    }

    /// Where a proxy is heard: at the switch.
    pub fn front(&self, proxy: usize) -> SocketAddr {
        self.fronts[proxy]
    }

    /// Writes a roster of some proxies; gives its file.
    pub fn roster(&self, name: &str, proxies: &[usize]) -> String {
        let row = |i: &usize| format!("p{i} = \"{}\"\n", self.publics[*i]);
        fs::write(self.folder.join(name), proxies.iter().map(row).collect::<String>()).expect("written");
        self.text(name)
    }

    /// The settings of a proxy's keys.
    pub fn keys(&self, proxy: usize, roster: &str) -> String {
        let (key, fleet) = (self.text(&format!("p{proxy}.key")), self.text("fleet.key"));
        format!("key = \"{key}\"\nfleet_keys = [\"{fleet}\"]\nroster = \"{roster}\"\n")
    }

    /// The table of a proxy that gossips with the first so many.
    pub fn gossip(&self, proxy: usize, members: usize) -> String {
        let all: Vec<usize> = (0..members).collect();
        format!(
            "[gossip]\nlisten = \"127.0.0.1:0\"\naddress = \"{}\"\nseeds = [\"{}\"]\n{}\
             cap = 60000\nbeat = \"50 ms\"\nliars = 0\n",
            self.front(proxy),
            self.front((proxy + 1) % members),
            self.keys(proxy, &self.roster("roster.toml", &all)),
        )
    }
}

pub struct Story {
    folder: tempfile::TempDir,
    pub proxies: Vec<Option<Running>>,
    pub files: Vec<PathBuf>,
    callers: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    /// Calls a second at each proxy.
    demand: Arc<Mutex<[f64; PROXIES]>>,
    pub switch: Arc<Switch>,
    /// When set-ups came, by whom, and to which central server.
    pub came: Arc<Mutex<Vec<(f64, u16, usize)>>>,
    began: Instant,
    _threads: Threads,
}

impl Story {
    /// With so many central servers; all proxies gossip, with tables more in the settings of all of them.
    pub fn new(servers: usize, tables: &str) -> Self {
        Self::with(servers, |files, proxy| format!("{}\n{tables}\n", files.gossip(proxy, PROXIES)))
    }

    /// With so many central servers, and with tables in the settings of each proxy.
    pub fn with(servers: usize, tables: impl Fn(&Files, usize) -> String) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let began = Instant::now();
        let mut threads = Threads { over: Arc::default(), all: Vec::new() };

        let came = Arc::new(Mutex::new(Vec::new()));
        let entries: Vec<PoolEntry> =
            (0..servers).map(|server| central(&mut threads, server, began, came.clone())).collect();

        let feed = TcpListener::bind("127.0.0.1:0").expect("a port");
        let feed_at = feed.local_addr().expect("bound");
        feed.set_nonblocking(true).expect("set");
        let over = threads.over.clone();
        threads.all.push(thread::spawn(move || {
            let line = PoolUpdates { version: 1, whole: true, servers: entries }.write();
            let mut open = Vec::new();
            while !over.load(Ordering::Relaxed) {
                if let Ok((mut stream, _)) = feed.accept() {
                    let _ = stream.write_all(line.as_bytes());
                    open.push(stream);
                }
                thread::sleep(Duration::from_millis(5));
            }
        }));

        let fronts: Vec<UdpSocket> = (0..PROXIES).map(|_| loopback()).collect();
        let heard: Vec<UdpSocket> = fronts.iter().map(|front| front.try_clone().expect("cloned")).collect();
        let switch = Arc::new(Switch {
            fronts,
            real: Mutex::default(),
            at: Mutex::new(vec![None; PROXIES]),
            cut: Mutex::default(),
            loses: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        });
        for (to, front) in heard.into_iter().enumerate() {
            let switch = switch.clone();
            threads.serve(front, move |_, datagram| {
                if let Some((bytes, from)) = datagram {
                    switch.pass(to, bytes, from);
                }
            });
        }

        let callers: Arc<Mutex<Vec<Option<SocketAddr>>>> = Arc::new(Mutex::new(vec![None; PROXIES]));
        let demand: Arc<Mutex<[f64; PROXIES]>> = Arc::default();
        for proxy in 0..PROXIES {
            let (callers, demand) = (callers.clone(), demand.clone());
            let mut endpoint = Endpoint::new(Limits::default(), 10 + proxy as u64);
            let mut next = millis(began);
            let mut number = 0;
            threads.serve(loopback(), move |socket, datagram| {
                let now = millis(began);
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
                while let Some((leg, happening)) = endpoint.next_event() {
                    if matches!(happening, Event::Answered(_)) {
                        endpoint.end(now, leg, &Elements::new().with_cause(16));
                    }
                }
                while let Some(out) = endpoint.next_datagram() {
                    let _ = socket.send_to(&out.bytes, out.peer);
                }
            });
        }

        let mut story = Self {
            proxies: (0..PROXIES).map(|_| None).collect(),
            files: Vec::new(),
            callers,
            demand,
            switch,
            came,
            began,
            _threads: threads,
            folder,
        };
        story.settings(feed_at, &tables);
        (0..PROXIES).for_each(|proxy| story.start(proxy));
        story
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn settings(&mut self, feed: SocketAddr, tables: &impl Fn(&Files, usize) -> String) {
        let text = |path: &Path| path.to_str().expect("text").to_owned();
        let fronts = self.switch.fronts.iter().map(|front| front.local_addr().expect("bound")).collect();
        let files = Files::draw(self.folder.path(), fronts);
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

    pub fn start(&mut self, proxy: usize) {
        let ready = self.path(&format!("p{proxy}")).join("ready.json");
        let _ = fs::remove_file(&ready);
        let mut command = frostthread();
        command.args(["run", "--config"]).arg(&self.files[proxy]).stderr(Stdio::null());
        self.proxies[proxy] = Some(Running(command.spawn().expect("started")));
        let end = Instant::now() + Duration::from_secs(20);
        while !self.follow(proxy) {
            assert!(Instant::now() < end, "p{proxy} did not get ready");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Starts it, whatever comes of that.
    pub fn try_start(&mut self, proxy: usize) {
        let _ = fs::remove_file(self.path(&format!("p{proxy}")).join("ready.json"));
        let mut command = frostthread();
        command.args(["run", "--config"]).arg(&self.files[proxy]).stderr(Stdio::null());
        self.proxies[proxy] = Some(Running(command.spawn().expect("started")));
    }

    /// Learns where a proxy listens: by a release it becomes another program, at other ports. False before it
    /// is ready.
    pub fn follow(&self, proxy: usize) -> bool {
        let ready = self.path(&format!("p{proxy}")).join("ready.json");
        let told = fs::read_to_string(&ready).ok();
        let Some(told) = told.and_then(|text| serde_json::from_str::<serde_json::Value>(&text).ok()) else {
            return false;
        };
        let address =
            |key: &str| -> SocketAddr { told[key].as_str().expect("text").parse().expect("an address") };
        self.callers.lock().expect("whole")[proxy] = Some(address("callers"));
        self.switch.real.lock().expect("whole").insert(address("peers"), proxy);
        self.switch.at.lock().expect("whole")[proxy] = Some(address("peers"));
        true
    }

    /// Where a proxy takes callers, by its latest word.
    pub fn takes(&self, proxy: usize) -> SocketAddr {
        self.callers.lock().expect("whole")[proxy].expect("runs")
    }

    /// What a proxy's process was started with.
    pub fn line(&self, proxy: usize) -> String {
        let id = self.proxies[proxy].as_ref().expect("runs").0.id();
        fs::read_to_string(format!("/proc/{id}/cmdline")).unwrap_or_default()
    }

    pub fn kill(&mut self, proxy: usize) {
        self.callers.lock().expect("whole")[proxy] = None;
        self.switch.at.lock().expect("whole")[proxy] = None;
        self.proxies[proxy] = None;
    }

    pub fn signal(&self, proxy: usize, signal: &str) {
        let id = self.proxies[proxy].as_ref().expect("runs").0.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("ran").success());
    }

    pub fn pass(&self, span: f64) {
        thread::sleep(Duration::from_secs_f64(span / 1000.0));
    }

    pub fn demand(&self, rates: [f64; PROXIES]) {
        *self.demand.lock().expect("whole") = rates;
    }

    /// One way: `to` hears nothing of `from` any more, or again.
    pub fn cut(&self, from: &[usize], to: &[usize], cut: bool) {
        let mut links = self.switch.cut.lock().expect("whole");
        from.iter().for_each(|&from| to.iter().for_each(|&to| links[from][to] = cut));
    }

    pub fn now(&self) -> f64 {
        millis(self.began)
    }

    pub fn came_since(&self, then: f64) -> usize {
        self.came.lock().expect("whole").iter().filter(|(at, ..)| *at >= then).count()
    }

    /// What a command of the program prints of a proxy, as JSON.
    pub fn told(&self, proxy: usize, words: &[&str]) -> serde_json::Value {
        let asked = self.ask(proxy, words);
        serde_json::from_slice(&asked.stdout).unwrap_or_else(|_| panic!("{words:?}: {asked:?}"))
    }

    pub fn ask(&self, proxy: usize, words: &[&str]) -> Output {
        frostthread().args(words).args(["--json", "--config"]).arg(&self.files[proxy]).output().expect("ran")
    }

    /// Waits until something holds.
    pub fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        while !holds(self) {
            assert!(Instant::now() < end, "{what}: not within 20 s");
            (0..PROXIES).filter(|&proxy| self.proxies[proxy].is_some()).for_each(|proxy| {
                self.follow(proxy);
            });
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// A central server, which answers whatever comes.
fn central(
    threads: &mut Threads,
    server: usize,
    began: Instant,
    came: Arc<Mutex<Vec<(f64, u16, usize)>>>,
) -> PoolEntry {
    let socket = loopback();
    let entry = PoolEntry {
        name: format!("s-{server}"),
        address: socket.local_addr().expect("bound"),
        state: Readiness::Running,
        pool: 0,
        started: None,
    };
    let mut endpoint = Endpoint::new(Limits::default(), 1);
    threads.serve(socket, move |socket, datagram| {
        let now = millis(began);
        if let Some((bytes, from)) = datagram {
            endpoint.receive(now, from, &Bytes::copy_from_slice(bytes));
        }
        endpoint.turn(now);
        while let Some((leg, happening)) = endpoint.next_event() {
            match happening {
                Event::Offered { peer, .. } => {
                    came.lock().expect("whole").push((now, peer.port(), server));
                    endpoint.accept(now, leg, &Elements::new());
                    endpoint.answer(now, leg, &Elements::new());
                }
                Event::Poked(poke) => endpoint.pong(&poke, &Elements::new()),
                _ => {}
            }
        }
        while let Some(out) = endpoint.next_datagram() {
            let _ = socket.send_to(&out.bytes, out.peer);
        }
    });
    entry
}

pub fn frostthread() -> Command {
    Command::new(env!("CARGO_BIN_EXE_frostthread"))
}
