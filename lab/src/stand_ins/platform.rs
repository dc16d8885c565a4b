//! Stand-ins for the platform's protocol on loopback: central servers that speak SIP, a change log, callers,
//! and a border proxy started as the platform starts one. A [`Behaviour`] determines what a central server
//! does with a set-up. [`run_calls`] is a short run without faults.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use serde_json::{Value, json};
use sip::{Message, Reader, Request, Response, StartLine};
use tempfile::TempDir;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time-out for anything that a stand-in waits for, also on a slow machine.
pub const TIMEOUT: Duration = Duration::from_secs(20);

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a central server does with a set-up.
#[derive(Clone, Debug, Default)]
pub struct SetupBehaviour {
    /// Code and note of the answer, if one is sent.
    pub answer: Option<(u16, Option<&'static str>)>,
    /// Body of a 200 response.
    pub desc: String,
    /// Bytes sent before the answer, or instead of it.
    pub malformed: Option<Vec<u8>>,
    /// Releases the call after this time, with this cause.
    pub release: Option<(Duration, u8)>,
}

impl SetupBehaviour {
    pub fn accept(setup: &Message) -> Self {
        Self { answer: Some((200, None)), desc: desc_of(&setup.call_id), ..Self::default() }
    }

    pub fn refuse(code: u16, note: Option<&'static str>) -> Self {
        Self { answer: Some((code, note)), ..Self::default() }
    }
}

/// The session description that a stand-in gives for a call.
pub fn desc_of(call: &str) -> String {
    format!("{call}\r\nc=IN IP4 127.0.0.1\r\n")
}

/// Determines what a central server does with each set-up.
pub type Behaviour = Box<dyn Fn(&Message) -> SetupBehaviour + Send + Sync>;

struct CentralState {
    name: String,
    behaviour: Behaviour,
    stopped: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Methods received, by call.
    methods_received: Mutex<BTreeMap<String, Vec<String>>>,
}

/// A stand-in central server.
pub struct Central {
    pub address: SocketAddr,
    state: Arc<CentralState>,
}

impl Central {
    pub fn start(name: &str, behaviour: Behaviour) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(CentralState {
            name: name.to_owned(),
            behaviour,
            stopped: AtomicBool::new(false),
            connections: Mutex::default(),
            methods_received: Mutex::default(),
        });
        let shared = state.clone();
        thread::spawn(move || {
            while !shared.stopped.load(Ordering::Relaxed) {
                if let Ok((stream, _)) = listener.accept() {
                    let shared = shared.clone();
                    thread::spawn(move || shared.serve(stream));
                } else {
                    thread::sleep(POLL_INTERVAL);
                }
            }
        });
        Ok(Self { address, state })
    }

    /// The server's entry in the change log.
    pub fn entry(&self, status: &str, group: u16) -> Value {
        json!({"name": self.state.name, "address": self.address.to_string(), "zone": "here", "type": "std",
            "group": group, "status": status, "weight": 1, "since_ms": 0})
    }

    /// The methods received for a call.
    pub fn methods_received(&self, call: &str) -> Vec<String> {
        locked(&self.state.methods_received).get(call).cloned().unwrap_or_default()
    }

    /// Closes all open connections.
    pub fn hang_up(&self) {
        for stream in locked(&self.state.connections).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Sends a message on the latest open connection.
    pub fn send(&self, bytes: &[u8]) -> Result<()> {
        let connections = locked(&self.state.connections);
        let mut stream = connections.last().context("no connection is open")?;
        Ok(stream.write_all(bytes)?)
    }
}

impl Drop for Central {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::Relaxed);
        self.hang_up();
    }
}

/// A release of an established call.
pub fn bye(call: &str, cause: u8) -> Vec<u8> {
    let reason = format!("Q.850;cause={cause}");
    let headers = &[("Reason", reason.as_str())];
    Request { method: "BYE", uri: "sip:x@net", call_id: call, number: 2, headers, body: b"" }.write()
}

impl CentralState {
    fn serve(&self, stream: TcpStream) {
        let Ok(mut from) = stream.try_clone() else { return };
        let _ = stream.set_nonblocking(false);
        let _ = from.set_read_timeout(Some(Duration::from_secs(1)));
        if let Ok(clone) = stream.try_clone() {
            locked(&self.connections).push(clone);
        }
        let (mut reader, mut bytes) = (Reader::default(), [0; 4096]);
        while !self.stopped.load(Ordering::Relaxed) {
            match from.read(&mut bytes) {
                Ok(0) => return,
                Ok(n) => reader.feed(&bytes[..n]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(_) => return,
            }
            while let Ok(Some(message)) = reader.message() {
                self.methods_received(&stream, &message);
            }
        }
    }

    fn methods_received(&self, mut stream: &TcpStream, message: &Message) {
        let StartLine::Request { method, .. } = &message.start else { return };
        locked(&self.methods_received).entry(message.call_id.clone()).or_default().push(method.clone());
        let answer = |code, headers, body| {
            let (call_id, number, method) = (message.call_id.as_str(), message.number, method.as_str());
            Response { code, phrase: "said", call_id, number, method, headers, body }.write()
        };
        match method.as_str() {
            "BYE" | "CANCEL" | "OPTIONS" => drop(stream.write_all(&answer(200, &[], b""))),
            "INVITE" => {
                let behaviour = (self.behaviour)(message);
                if let Some(malformed) = &behaviour.malformed {
                    let _ = stream.write_all(malformed);
                }
                if let Some((code, note)) = behaviour.answer {
                    let headers: Vec<(&str, &str)> = note.map(|n| ("X-Outcome", n)).into_iter().collect();
                    let _ = stream.write_all(&answer(code, &headers, behaviour.desc.as_bytes()));
                }
                if let (Some((after, cause)), Ok(mut stream)) = (behaviour.release, stream.try_clone()) {
                    let call = message.call_id.clone();
                    thread::spawn(move || {
                        thread::sleep(after);
                        let _ = stream.write_all(&bye(&call, cause));
                    });
                }
            }
            _ => {}
        }
    }
}

#[derive(Default)]
struct LogState {
    events: Mutex<Vec<String>>,
    stopped: AtomicBool,
    /// Connections answered; those up to `ended` are closed, those up to `muted_up_to` are sent nothing.
    calls: AtomicU64,
    ended: AtomicU64,
    muted_up_to: AtomicU64,
}

/// The change log. It sends events from the requested one on, preceded by the one before it.
pub struct ChangeLog {
    pub address: SocketAddr,
    state: Arc<LogState>,
}

impl ChangeLog {
    pub fn start() -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(LogState::default());
        let shared = state.clone();
        thread::spawn(move || {
            while !shared.stopped.load(Ordering::Relaxed) {
                if let Ok((stream, _)) = listener.accept() {
                    let shared = shared.clone();
                    thread::spawn(move || drop(shared.serve(stream)));
                } else {
                    thread::sleep(POLL_INTERVAL);
                }
            }
        });
        Ok(Self { address, state })
    }

    /// Adds an event with these entries; returns it in the configuration's form.
    pub fn add(&self, endpoints: &[Value]) -> Value {
        let mut events = locked(&self.state.events);
        let seq = events.len() + 1;
        let fleet = json!({"index": seq, "snapshot": seq == 1, "endpoints": endpoints});
        let event = json!({"seq": seq, "fleet": fleet});
        events.push(event.to_string());
        event
    }

    /// The configuration's `known`.
    pub fn known(&self) -> Value {
        let events = locked(&self.state.events);
        let results: Vec<Value> = events.iter().map(|e| serde_json::from_str(e).expect("JSON")).collect();
        json!({"seq": events.len(), "results": results})
    }

    /// Number of connections so far.
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::Relaxed)
    }

    /// Closes the current connections in the middle of an event.
    pub fn break_connections(&self) {
        self.state.ended.store(self.calls(), Ordering::Relaxed);
    }

    /// Sends nothing more on the current connections.
    pub fn stop_sending(&self) {
        self.state.muted_up_to.store(self.calls(), Ordering::Relaxed);
    }
}

impl Drop for ChangeLog {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::Relaxed);
    }
}

impl LogState {
    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        stream.set_nonblocking(false)?;
        let mut head = Vec::new();
        let mut bytes = [0; 1024];
        while !head.ends_with(b"\r\n\r\n") {
            let n = stream.read(&mut bytes)?;
            ensure!(n > 0, "no request");
            head.extend_from_slice(&bytes[..n]);
        }
        let call = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let last = head.lines().find_map(|line| line.strip_prefix("last-event-id:")).unwrap_or("0");
        let mut next = last.trim().parse::<usize>()?.saturating_sub(1);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")?;
        let mut last_sent = Instant::now();
        while !self.stopped.load(Ordering::Relaxed) {
            if self.ended.load(Ordering::Relaxed) >= call {
                return Ok(stream.write_all(b"id: 99\ndata: {\"seq\":99,\"fl")?);
            }
            if self.muted_up_to.load(Ordering::Relaxed) < call {
                let events = locked(&self.events).clone();
                for (n, event) in events.iter().enumerate().skip(next) {
                    stream.write_all(format!("id: {}\ndata: {event}\n\n", n + 1).as_bytes())?;
                }
                next = next.max(events.len());
                if last_sent.elapsed() > Duration::from_millis(500) {
                    stream.write_all(b": here\n\n")?;
                    last_sent = Instant::now();
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

/// The platform's configuration of a border proxy before these central servers.
pub fn configuration(changelog: &ChangeLog, sockets: usize) -> Result<Value> {
    // The kernel chooses a free port; it stays free long enough for the proxy to bind it.
    let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let profile = json!({"name": "voice", "objective": 2.0, "deadline": 9.0, "worth": 1.0, "late_worth": 0.1,
        "effect": "repeatable"});
    Ok(json!({
        "name": "p1", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        "changelog": changelog.address.to_string(), "known": changelog.known(),
        "settings": {
            "balancers": 1, "over_share_worth": 0.2,
            "bounds": {"cancel": true, "connect_timeout": 0.5, "max_attempts": 4, "max_retry_after": 2.0,
                "may_probe": true, "open_cap": 20000, "peers": false, "retry_after": false},
            "domain": {"clear_wait": 0.3, "gives_wait": false, "mean_hold": [8.0], "network_form": "skills",
                "pools_by_class": [[0, 1, 2, 3]], "repeat": 0.5},
            "feedback": {"how": "piggyback", "names": ["idle", "circuits", "pending", "max_rate"]},
            "profiles": [profile],
            "rules": {"cold": 14.0, "cold_from": 0.28, "fall": 1.0, "overload_factor": 2.5},
        },
    }))
}

/// A border proxy's process, started as the platform starts one.
pub struct Proxy {
    pub listen: SocketAddr,
    child: Child,
    folder: TempDir,
}

impl Proxy {
    /// Runs `program` with `arguments` as the border proxy. Returns once it accepts callers.
    pub fn start(program: &Path, arguments: &[&str], configuration: &Value) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let file = folder.path().join("config.json");
        fs::write(&file, configuration.to_string())?;
        let listen: SocketAddr = configuration["listen"].as_str().context("listen")?.parse()?;
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env("LB_NAME", "p1")
            .env("LB_LISTEN", listen.to_string())
            .env("LB_CONFIG", file);
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        let proxy = Self { listen, child, folder };
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            if let Ok(mut caller) = Caller::connect(listen)
                && caller.answers_test()
            {
                return Ok(proxy);
            }
            thread::sleep(POLL_INTERVAL);
        }
        bail!("the border proxy did not get ready")
    }

    /// Writes another configuration, and signals the proxy.
    pub fn reconfigure(&self, configuration: &str) -> Result<()> {
        fs::write(self.file(), configuration)?;
        self.signal(nix::sys::signal::Signal::SIGHUP)
    }

    fn file(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    pub fn signal(&self, signal: nix::sys::signal::Signal) -> Result<()> {
        Ok(nix::sys::signal::kill(nix::unistd::Pid::from_raw(self.child.id() as i32), signal)?)
    }

    /// Whether it has ended, and if so, whether successfully.
    pub fn ended(&mut self) -> Result<Option<bool>> {
        Ok(self.child.try_wait()?.map(|status| status.success()))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub fn connect(proxy: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&proxy, TIMEOUT)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        Ok(self.stream.write_all(bytes)?)
    }

    pub fn offer(&mut self, call: &str, key: &str) -> Result<()> {
        let with = json!({"class": "voice", "left": "4000", "key": key, "extras": "dest:0;width:1;via:-1"});
        let offer = json!({"op": "offer", "call": call, "with": with, "desc": desc_of(call)});
        self.send(format!("{offer}\n").as_bytes())
    }

    pub fn end(&mut self, call: &str) -> Result<()> {
        self.send(format!("{}\n", json!({"op": "end", "call": call, "with": {}, "why": 16})).as_bytes())
    }

    /// Reads the next line; none if the connection ends instead.
    pub fn receive(&mut self) -> Result<Option<Value>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(serde_json::from_slice(&line)?));
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Ok(None),
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => return Ok(None),
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn answers_test(&mut self) -> bool {
        let test = json!({"op": "test", "call": "00000000000000aa", "with": {}, "why": 0});
        self.send(format!("{test}\n").as_bytes()).is_ok()
            && self.receive().is_ok_and(|line| line.is_some_and(|line| line["why"] == 1))
    }
}

/// The call id of the n-th call.
pub fn call_id(n: usize) -> String {
    format!("{:016x}", 0x9b1f_03aa_5c7e_0000_u64 + n as u64)
}

/// Sends this many calls through a border proxy to two stand-in central servers, which release each soon
/// after. Returns how many were answered and released as expected.
pub fn run_calls(program: &Path, arguments: &[&str], calls: usize) -> Result<usize> {
    let behaviour = |setup: &Message| SetupBehaviour {
        release: Some((Duration::from_millis(200), 16)),
        ..SetupBehaviour::accept(setup)
    };
    let centrals = [Central::start("s-0", Box::new(behaviour))?, Central::start("s-1", Box::new(behaviour))?];
    let changelog = ChangeLog::start()?;
    changelog.add(&[centrals[0].entry("in_service", 0), centrals[1].entry("in_service", 1)]);
    let proxy = Proxy::start(program, arguments, &configuration(&changelog, 256)?)?;
    let mut caller = Caller::connect(proxy.listen)?;
    let mut accepted = BTreeSet::new();
    let mut released = 0;
    for n in 0..calls {
        caller.offer(&call_id(n), &format!("{:016x}", n + 1))?;
        thread::sleep(POLL_INTERVAL);
    }
    let mut outstanding = 2 * calls;
    while outstanding > 0 {
        let line = caller.receive()?.context("the border proxy closed the connection")?;
        let call = line["call"].as_str().unwrap_or("").to_owned();
        match line["op"].as_str() {
            Some("accept") if line["desc"] == desc_of(&call) => {
                accepted.insert(call);
                outstanding -= 1;
            }
            Some("end") if line["why"] == 16 && accepted.remove(&call) => {
                released += 1;
                outstanding -= 1;
            }
            _ => outstanding = outstanding.saturating_sub(2),
        }
    }
    Ok(released)
}
