//! Runs `frostthread serve` as a process between callers, central servers and a change log of the test, each
//! of which does exactly what the test says. Every wait is for a condition and has a time limit.

#![allow(dead_code)] // each test file uses a part of it

#[path = "../reserved_port/mod.rs"]
mod reserved_port;

use std::collections::{BTreeSet, VecDeque};
use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use reserved_port::ReservedPort;
use serde_json::{Value, json};
use sip::{Message, Reader, Request, Response, StartLine};
use socket2::{Domain, Socket, Type};

pub const DESCRIPTION: &str = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n";
/// Time limit of each wait.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Longer than the configured wait for a release, including the protocol's tolerance.
pub const RELEASE_WAIT: Duration = Duration::from_millis(350);

/// Polls until a value is there; panics after [`MAX_WAIT`].
pub fn wait_for<T>(event: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + MAX_WAIT;
    while Instant::now() < deadline {
        if let Some(found) = poll() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    panic!("{event}: not within {MAX_WAIT:?}");
}

/// Formats a call's identifier.
pub fn call_id(number: u64) -> String {
    format!("{number:016x}")
}

/// A central server's listener. Connections are accepted only when the test says so.
pub struct Server {
    pub name: String,
    pub listener: TcpListener,
}

impl Server {
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned(), listener: TcpListener::bind("127.0.0.1:0").expect("a port") }
    }

    /// A server with small receive buffers, and an accept queue of one connection.
    pub fn with_small_buffer(name: &str) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(4096).expect("set");
        socket.set_tcp_mss(536).expect("set");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(0).expect("a listener");
        Self { name: name.to_owned(), listener: socket.into() }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Connects until the accept queue is full; returns the connections.
    pub fn fill_accept_queue(&self) -> Vec<TcpStream> {
        let dial = || TcpStream::connect_timeout(&self.address(), Duration::from_millis(100)).ok();
        std::iter::from_fn(dial).collect()
    }

    pub fn accept(&self) -> ServerConnection {
        self.listener.set_nonblocking(true).expect("set");
        let (stream, _) = wait_for("a connection", || self.listener.accept().ok());
        ServerConnection::from_stream(stream)
    }

    /// Its entry in the server list.
    pub fn entry(&self, status: &str) -> Value {
        json!({"name": self.name, "address": self.address().to_string(), "zone": "east", "type": "std",
            "group": 0, "status": status, "weight": 1, "since_ms": 0})
    }
}

/// A central server's end of a connection.
pub struct ServerConnection {
    pub stream: TcpStream,
    reader: Reader,
    received: VecDeque<Message>,
}

impl ServerConnection {
    fn from_stream(stream: TcpStream) -> Self {
        stream.set_nonblocking(false).expect("set");
        stream.set_nodelay(true).expect("set");
        Self { stream, reader: Reader::default(), received: VecDeque::new() }
    }

    /// Takes the next message of a method, if one has arrived.
    fn next_ready(&mut self, method: &str) -> Option<Message> {
        self.stream.set_nonblocking(true).expect("set");
        let mut buffer = [0; 65536];
        while let Ok(read @ 1..) = self.stream.read(&mut buffer) {
            self.reader.feed(&buffer[..read]);
            while let Some(message) = self.reader.message().expect("sound") {
                self.received.push_back(message);
            }
        }
        self.stream.set_nonblocking(false).expect("set");
        let at = self.received.iter().position(|message| message.method == method)?;
        self.received.remove(at)
    }

    /// Waits for the next message; none if the connection has ended.
    pub fn next(&mut self) -> Option<Message> {
        self.stream.set_read_timeout(Some(MAX_WAIT)).expect("set");
        loop {
            if let Some(message) = self.received.pop_front() {
                return Some(message);
            }
            let mut buffer = [0; 65536];
            let read = match self.stream.read(&mut buffer) {
                Ok(read) => read,
                Err(error) if error.kind() == ErrorKind::ConnectionReset => 0,
                Err(error) => panic!("no message came: {error}"),
            };
            if read == 0 {
                return None;
            }
            self.reader.feed(&buffer[..read]);
            while let Some(message) = self.reader.message().expect("sound") {
                self.received.push_back(message);
            }
        }
    }

    /// Waits for the next message of a method, skipping others.
    pub fn next_with_method(&mut self, method: &str) -> Message {
        loop {
            let message = self.next().expect("a message");
            if matches!(&message.start, StartLine::Request { method: found, .. } if found == method) {
                return message;
            }
        }
    }

    pub fn next_set_up(&mut self) -> Message {
        self.next_with_method("INVITE")
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    pub fn respond(&mut self, set_up: &Message, code: u16) {
        let bytes = response(set_up, code);
        self.send(&bytes);
    }

    pub fn release(&mut self, call: &str, cause: u8) {
        let reason = format!("Q.850;cause={cause}");
        let headers = &[("Reason", reason.as_str())];
        let bye = Request { method: "BYE", uri: "sip:x@net", call_id: call, number: 9, headers, body: b"" };
        self.send(&bye.write());
    }
}

/// The bytes of a response to a set-up.
pub fn response(set_up: &Message, code: u16) -> Vec<u8> {
    response_with_note(set_up, code, "ok")
}

/// A response with an outcome note.
pub fn response_with_note(set_up: &Message, code: u16, note: &str) -> Vec<u8> {
    let body: &[u8] = if code == 200 { b"v=0\r\n" } else { b"" };
    build_response(set_up, code, note, body)
}

/// A successful response with a given description.
pub fn response_with_description(set_up: &Message, desc: &str) -> Vec<u8> {
    build_response(set_up, 200, "ok", desc.as_bytes())
}

fn build_response(set_up: &Message, code: u16, note: &str, body: &[u8]) -> Vec<u8> {
    let (call_id, number) = (set_up.call_id.as_str(), set_up.number);
    let headers = &[("X-Outcome", note)];
    Response { code, phrase: "x", call_id, number, method: "INVITE", headers, body }.write()
}

/// Waits for the next set-up on any connection of a server, including new ones; returns the connection's
/// index too.
pub fn next_set_up(server: &Server, peers: &mut Vec<ServerConnection>) -> (usize, Message) {
    server.listener.set_nonblocking(true).expect("set");
    wait_for("a set-up", || {
        if let Ok((stream, _)) = server.listener.accept() {
            peers.push(ServerConnection::from_stream(stream));
        }
        peers.iter_mut().enumerate().find_map(|(which, peer)| Some((which, peer.next_ready("INVITE")?)))
    })
}

/// A caller's connection.
pub struct Caller {
    pub stream: TcpStream,
    lines: BufReader<TcpStream>,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        Self::on(wait_for("the proxy's listener", || TcpStream::connect(address).ok()))
    }

    /// A caller with a small receive buffer.
    pub fn with_small_buffer(address: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(4096).expect("set");
        socket.set_tcp_mss(536).expect("set");
        socket.connect(&address.into()).expect("the proxy's listener");
        Self::on(socket.into())
    }

    fn on(stream: TcpStream) -> Self {
        stream.set_nodelay(true).expect("set");
        stream.set_read_timeout(Some(MAX_WAIT)).expect("set");
        let lines = BufReader::new(stream.try_clone().expect("one more"));
        Self { stream, lines }
    }

    pub fn send(&mut self, line: &Value) {
        self.stream.write_all(format!("{line}\n").as_bytes()).expect("written");
    }

    pub fn offer(&mut self, call: &str) {
        self.send(&offer(call, 1, DESCRIPTION));
    }

    /// Offers a call to another called number.
    pub fn offer_to(&mut self, call: &str, called: u64) {
        self.send(&offer(call, called, DESCRIPTION));
    }

    /// Offers a call whose description fills most of a message.
    pub fn offer_large(&mut self, call: &str) {
        self.send(&offer(call, 1, &"x".repeat(15_000)));
    }

    /// Offers calls, all written at once.
    pub fn offer_all(&mut self, calls: impl Iterator<Item = String>) {
        let text: String = calls.map(|call| format!("{}\n", offer(&call, 1, DESCRIPTION))).collect();
        self.stream.write_all(text.as_bytes()).expect("written");
    }

    /// Sends readiness tests as fast as possible, and reads their answers.
    pub fn send_tests(&mut self, count: usize) {
        let test = json!({"op": "test", "call": call_id(0xfe), "with": {}, "why": 0});
        let text = format!("{test}\n").repeat(count);
        let mut stream = self.stream.try_clone().expect("one more");
        let writer = std::thread::spawn(move || stream.write_all(text.as_bytes()).expect("written"));
        (0..count).for_each(|_| drop(self.line().expect("an answer")));
        writer.join().expect("written");
    }

    /// Waits until the other end's system has received all that was written.
    pub fn wait_until_delivered(&self) {
        let port = self.stream.local_addr().expect("connected").port();
        wait_for("the delivery", || {
            let sockets = fs::read_to_string("/proc/net/tcp").expect("read");
            let own = sockets.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
            let mut own = own.filter(|fields| fields[1].ends_with(&format!(":{port:04X}")));
            own.any(|fields| fields[4].starts_with("00000000:")).then_some(())
        });
    }

    pub fn end(&mut self, call: &str) {
        self.send(&json!({"op": "end", "call": call, "with": {}, "why": 16}));
    }

    /// Offers a call that is already established at a server.
    pub fn declare_established(&mut self, call: &str, server: &str) {
        let with = json!({"class": "voice", "extras": format!("at:{server}")});
        self.send(&json!({"op": "offer", "call": call, "with": with}));
    }

    /// Sends a readiness test; whether it passes.
    pub fn passes_test(&mut self) -> bool {
        self.send(&json!({"op": "test", "call": call_id(0xfe), "with": {}, "why": 0}));
        self.line().expect("an answer")["why"] == 1
    }

    /// Waits for the next line; none if the connection has ended.
    pub fn line(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(serde_json::from_str(&line).expect("JSON")),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => None,
            Err(error) => panic!("no line came: {error}"),
        }
    }

    /// Waits for the next line; returns its operation and call.
    pub fn next_reply(&mut self) -> (String, String) {
        let line = self.line().expect("a line");
        let text = |field: &str| line[field].as_str().expect("text").to_owned();
        (text("op"), text("call"))
    }
}

fn offer(call: &str, called: u64, desc: &str) -> Value {
    let with = json!({"class": "voice", "left": "8000", "key": format!("{called:x}")});
    json!({"op": "offer", "call": call, "with": with, "desc": desc})
}

/// A change log's listener.
pub struct ChangeLog {
    listener: TcpListener,
}

/// The head of a response of the change log.
pub const RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

impl Default for ChangeLog {
    fn default() -> Self {
        Self { listener: TcpListener::bind("127.0.0.1:0").expect("a port") }
    }
}

impl ChangeLog {
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Accepts a request without answering it; returns its connection and the requested last event number.
    pub fn accept_unanswered(&self) -> (TcpStream, u64) {
        self.listener.set_nonblocking(true).expect("set");
        let (stream, _) = wait_for("a change log request", || self.listener.accept().ok());
        stream.set_nonblocking(false).expect("set");
        stream.set_read_timeout(Some(MAX_WAIT)).expect("set");
        let mut lines = BufReader::new(stream.try_clone().expect("one more")).lines();
        let head: Vec<String> =
            lines.by_ref().map(|line| line.expect("text")).take_while(|line| !line.is_empty()).collect();
        let last =
            head.iter().find_map(|line| line.to_lowercase().strip_prefix("last-event-id: ")?.parse().ok());
        (stream, last.expect("a number"))
    }

    /// Accepts a request and answers its head; returns the connection for events, and the requested last
    /// event number.
    pub fn accept_request(&self) -> (TcpStream, u64) {
        let (mut stream, last) = self.accept_unanswered();
        stream.write_all(format!("{RESPONSE_HEAD}: here\n\n").as_bytes()).expect("written");
        (stream, last)
    }
}

/// An event of the change log.
pub fn event(seq: u64, entries: &[Value]) -> String {
    let fleet = json!({"index": seq, "snapshot": false, "endpoints": entries});
    format!("id: {seq}\ndata: {}\n\n", json!({"seq": seq, "fleet": fleet}))
}

/// One border proxy as a process, with its configuration.
pub struct TestProxy {
    folder: tempfile::TempDir,
    pub address: SocketAddr,
    port: Rc<ReservedPort>,
    pub changelog: ChangeLog,
    configuration: Value,
    /// Limit on the process's file descriptors, if it differs from the configuration's.
    pub descriptors_allowed: Option<u64>,
    running: Option<Child>,
}

impl Drop for TestProxy {
    fn drop(&mut self) {
        if let Some(mut running) = self.running.take() {
            let _ = running.kill();
            let _ = running.wait();
        }
    }
}

impl TestProxy {
    /// Starts a proxy that knows these central servers as running.
    pub fn new(servers: &[&Server]) -> Self {
        let mut test_proxy = Self::not_started(servers);
        test_proxy.start();
        test_proxy
    }

    /// Prepares a proxy without starting it.
    pub fn not_started(servers: &[&Server]) -> Self {
        let port = Rc::new(ReservedPort::new());
        let address = port.address;
        let peers = UdpSocket::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
        let changelog = ChangeLog::default();
        let entries: Vec<Value> = servers.iter().map(|server| server.entry("in_service")).collect();
        let profile = json!({"name": "voice", "objective": 2.0, "deadline": 9.0, "worth": 1.0,
            "late_worth": 0.1, "effect": "repeatable", "streamed": true});
        let configuration = json!({
            "name": "n0", "listen": address.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 1024},
            "changelog": changelog.address().to_string(),
            "peer_listen": peers.to_string(), "peers_all": peers.to_string(),
            "known": {"seq": 1, "results": [
                {"seq": 1, "fleet": {"index": 1, "snapshot": true, "endpoints": entries}}]},
            "settings": {
                "balancers": 1, "over_share_worth": 0.2, "profiles": [profile], "tenants": [],
                "bounds": {"cancel": true, "connect_timeout": 3.0, "max_attempts": 4, "max_retry_after": 2.0,
                    "may_probe": true, "open_cap": 1000, "peers": true, "retry_after": false},
                "domain": {"clear_wait": 0.3, "gives_wait": false, "mean_hold": [8.0],
                    "network_form": "skills", "pools_by_class": [[0]], "repeat": 0.5},
                "feedback": {"how": "piggyback", "names": []},
                "rules": {"cold": 14.0, "cold_from": 0.28, "fall": 1.0, "overload_factor": 2.5},
            },
        });
        let folder = tempfile::tempdir().expect("a folder");
        Self { folder, address, port, changelog, configuration, descriptors_allowed: None, running: None }
    }

    /// Changes a field of the configuration, for the next write.
    pub fn set(&mut self, pointer: &str, value: Value) {
        *self.configuration.pointer_mut(pointer).expect("a field") = value;
    }

    fn file(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    /// Writes the first part of the configuration; 1 for all of it.
    pub fn write(&self, part: f64) {
        let text = self.configuration.to_string();
        let length = (text.len() as f64 * part) as usize;
        fs::write(self.file(), &text[..length]).expect("written");
    }

    pub fn text(&self) -> String {
        self.configuration.to_string()
    }

    pub fn start(&mut self) {
        self.write(1.0);
        self.spawn();
        assert!(Caller::new(self.address).passes_test(), "ready");
    }

    /// Starts a second process of the same proxy while this one runs.
    pub fn start_second(&self) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let (configuration, changelog) = (self.configuration.clone(), ChangeLog::default());
        let (address, descriptors_allowed) = (self.address, self.descriptors_allowed);
        let port = self.port.clone();
        let mut test_proxy =
            Self { folder, address, port, changelog, configuration, descriptors_allowed, running: None };
        test_proxy.write(1.0);
        test_proxy.spawn();
        test_proxy
    }

    /// Starts the process while its configuration is a pipe, which is returned for writing; later reads find
    /// a file.
    pub fn start_reading_a_pipe(&mut self) -> fs::File {
        assert!(Command::new("mkfifo").arg(self.file()).status().expect("ran").success());
        self.spawn();
        // Returns once the process has opened the other end.
        let pipe = fs::OpenOptions::new().write(true).open(self.file()).expect("opened");
        fs::remove_file(self.file()).expect("removed");
        self.write(1.0);
        pipe
    }

    fn spawn(&mut self) {
        let configured = self.configuration["limits"]["sockets"].as_u64().expect("a number");
        let sockets = self.descriptors_allowed.unwrap_or(configured);
        let run = format!("ulimit -n {sockets}; exec {} serve", env!("CARGO_BIN_EXE_frostthread"));
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &run]).env("LB_CONFIG", self.file()).env_remove("LB_LISTEN");
        let log_output = fs::File::create(self.folder.path().join("log")).expect("made");
        command.env("RUST_LOG", "debug").stdout(log_output.try_clone().expect("one more")).stderr(log_output);
        self.running = Some(command.stdin(Stdio::null()).spawn().expect("started"));
    }

    /// Everything the process has logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(self.folder.path().join("log")).expect("read")
    }

    /// The change log's events that the process has handled, according to its log.
    pub fn applied_events(&self) -> BTreeSet<u64> {
        let log_output = self.log_text();
        let numbers = log_output.lines().filter_map(|line| line.split_once("changelog.news version="));
        numbers.filter_map(|(_, rest)| rest.split(' ').next()?.parse().ok()).collect()
    }

    pub fn pid(&self) -> u32 {
        self.running.as_ref().expect("running").id()
    }

    pub fn signal(&self, name: &str) {
        let id = self.pid().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("ran").success());
    }

    /// Stops the process until [`TestProxy::resume`].
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.pid());
        wait_for("the process stopped", || {
            fs::read_to_string(&stat).ok().filter(|stat| stat.contains(") T "))
        });
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// The number of open file descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.pid())).expect("listed").count()
    }

    /// Waits until the process exits, which must be with success.
    pub fn wait_for_exit(&mut self) {
        let mut running = self.running.take().expect("running");
        let status = wait_for("the process's exit", || running.try_wait().expect("asked"));
        assert!(status.success(), "{status:?}: {}", self.log_text());
    }
}
