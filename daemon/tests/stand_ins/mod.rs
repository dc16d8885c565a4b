//! Stand-ins for the parties around `frostthread serve`: central servers, the change log, a caller. All listen on
//! loopback addresses with ports given by the kernel, and end with the test.

#[path = "../reserved_port/mod.rs"]
mod reserved_port;

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use reserved_port::ReservedPort;
use serde_json::{Value, json};
use tempfile::TempDir;

/// A test that waits longer than this for anything fails.
const PATIENCE: Duration = Duration::from_secs(30);

/// How long callers wait for an answer.
pub const CALLER_TIMEOUT_MS: f64 = 90_000.0;
/// Interval of the comments by which the proxy knows that the change log is there.
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Serves each connection on a thread of its own.
fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
}

/// A central server that accepts every set-up at once.
pub struct CentralServer {
    name: &'static str,
    group: u16,
    address: SocketAddr,
    deadlines: Arc<Mutex<Vec<f64>>>,
}

impl CentralServer {
    pub fn start(name: &'static str, group: u16) -> Self {
        let (listener, address) = listener();
        let deadlines = Arc::new(Mutex::new(Vec::new()));
        let read = deadlines.clone();
        serve(listener, move |stream| accept_set_ups(stream, &read));
        Self { name, group, address, deadlines }
    }

    /// How many set-ups it has read.
    pub fn set_ups(&self) -> usize {
        self.deadlines().len()
    }

    /// How long the proxy waits for each set-up that the server has read, in milliseconds.
    pub fn deadlines(&self) -> Vec<f64> {
        self.deadlines.lock().expect("locked").clone()
    }

    /// Its entry in the change log.
    pub fn entry(&self, status: &str) -> Value {
        json!({"name": self.name, "address": self.address, "zone": "here", "type": "std", "group": self.group,
            "status": status, "weight": 1, "since_ms": 0})
    }
}

fn accept_set_ups(mut stream: TcpStream, deadlines: &Mutex<Vec<f64>>) {
    let mut reader = sip::Reader::default();
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        reader.feed(&buffer[..length]);
        while let Some(message) = reader.message().expect("a valid message") {
            if message.method != "INVITE" {
                continue;
            }
            let deadline = message.header("X-Deadline").expect("a deadline").parse().expect("a number");
            deadlines.lock().expect("locked").push(deadline);
            let answer = sip::Response {
                code: 200,
                phrase: "OK",
                call_id: &message.call_id,
                number: message.number,
                method: "INVITE",
                headers: &[],
                body: b"v=0\r\n",
            };
            if stream.write_all(&answer.write()).is_err() {
                return;
            }
        }
    }
}

/// The events so far, each as it is sent, and the number of requests.
#[derive(Default)]
struct Events {
    texts: Vec<String>,
    requests: usize,
    /// Open responses, with the number of events that each has got.
    responses: Vec<(TcpStream, usize)>,
}

impl Events {
    /// Writes to all open responses what they have not got yet.
    fn write(&mut self) {
        let texts = &self.texts;
        self.responses.retain_mut(|(stream, sent)| {
            let written = texts[*sent..].iter().try_for_each(|text| stream.write_all(text.as_bytes()));
            *sent = texts.len();
            written.is_ok()
        });
    }
}

/// The change log. An event has been written to all open responses when [`Changelog::add`] returns.
pub struct Changelog {
    address: SocketAddr,
    known: Value,
    events: Arc<(Mutex<Events>, Condvar)>,
}

impl Changelog {
    pub fn start(servers: &[Value]) -> Self {
        let (listener, address) = listener();
        let first = json!({"seq": 1, "fleet": {"index": 1, "snapshot": true, "endpoints": servers}});
        let known = json!({"seq": 1, "results": [first]});
        let events = Arc::new((
            Mutex::new(Events { texts: vec![sent_event(&first)], ..Events::default() }),
            Condvar::new(),
        ));
        let shared = events.clone();
        serve(listener, move |stream| respond(stream, &shared));
        Self { address, known, events }
    }

    /// Waits until the proxy has made a request.
    pub fn wait_for_request(&self) {
        let (events, requested) = &*self.events;
        let waiting = requested
            .wait_timeout_while(events.lock().expect("locked"), PATIENCE, |events| events.requests == 0)
            .expect("locked");
        assert!(!waiting.1.timed_out(), "the proxy has not requested the change log");
    }

    /// Adds an event about these servers.
    pub fn add(&self, servers: &[Value]) {
        let mut events = self.events.0.lock().expect("locked");
        let seq = events.texts.len() + 1;
        let event = json!({"seq": seq, "fleet": {"index": seq, "snapshot": false, "endpoints": servers}});
        events.texts.push(sent_event(&event));
        events.write();
    }
}

/// An event as a chunk of the response.
fn sent_event(event: &Value) -> String {
    let text = format!("id: {}\ndata: {event}\n\n", event["seq"]);
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn respond(mut stream: TcpStream, events: &(Mutex<Events>, Condvar)) {
    let mut last = 0;
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).is_err() || line.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("last-event-id")
        {
            last = value.trim().parse().expect("a number");
        }
    }
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ = stream.write_all(head.as_bytes());
    let mut comments = stream.try_clone().expect("a second handle");
    let mut shared = events.0.lock().expect("locked");
    shared.responses.push((stream, last));
    shared.requests += 1;
    shared.write();
    events.1.notify_all();
    drop(shared);
    loop {
        std::thread::sleep(COMMENT_INTERVAL);
        let _events_are_not_written_meanwhile = events.0.lock().expect("locked");
        if comments.write_all(b"3\r\n:\n\n\r\n").is_err() {
            return;
        }
    }
}

/// `frostthread serve` as a process.
pub struct ServedProcess {
    child: Child,
    pub listen: SocketAddr,
    _port: ReservedPort,
    _folder: TempDir,
}

impl ServedProcess {
    pub fn start(changelog: &Changelog) -> Self {
        let port = ReservedPort::new();
        let listen = port.address;
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("config.json");
        fs::write(&file, configuration(listen, changelog).to_string()).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_frostthread"))
            .arg("serve")
            .env("LB_CONFIG", file)
            .env_remove("LB_LISTEN")
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("started");
        Self { child, listen, _port: port, _folder: folder }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("ran").success());
    }

    /// Stops the process until [`ServedProcess::go_on`]; returns once it stands still.
    pub fn stop(&self) {
        self.signal("-STOP");
        let status = format!("/proc/{}/stat", self.child.id());
        wait_until("the process to stand still", || {
            let text = fs::read_to_string(&status).expect("read");
            text.rsplit(')').next().is_some_and(|fields| fields.trim_start().starts_with('T'))
        });
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }
}

impl Drop for ServedProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "waited too long for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A configuration as the platform writes it, with a pool for each of two central servers.
fn configuration(listen: SocketAddr, changelog: &Changelog) -> Value {
    let profile = json!({"name": "voice", "objective": 20.0, "deadline": 90.0, "worth": 1.0, "late_worth": 0.1,
        "effect": "repeatable", "streamed": true});
    json!({
        "name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "changelog": changelog.address,
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 128},
        "known": changelog.known,
        "settings": {
            "balancers": 1, "over_share_worth": 0.2, "profiles": [profile], "tenants": [],
            "bounds": {"cancel": true, "connect_timeout": 0.5, "max_attempts": 4, "max_retry_after": 2.0,
                "may_probe": true, "open_cap": 100, "peers": false, "retry_after": false},
            "domain": {"clear_wait": 0.3, "gives_wait": false, "mean_hold": [8.0], "network_form": "skills",
                "pools_by_class": [[0, 1]], "repeat": 0.5},
            "feedback": {"how": "piggyback", "names": []},
            "rules": {"cold": 14.0, "cold_from": 0.28, "fall": 1.0, "overload_factor": 2.5},
        },
    })
}

/// A caller with one connection.
pub struct Caller {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    received: Vec<Value>,
}

impl Caller {
    /// Connects as soon as the proxy listens.
    pub fn connect(to: SocketAddr) -> Self {
        let mut connected = None;
        wait_until("the listener", || {
            connected = TcpStream::connect(to).ok();
            connected.is_some()
        });
        let stream = connected.expect("connected");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        let lines = BufReader::new(stream.try_clone().expect("a second handle"));
        Self { stream, lines, received: Vec::new() }
    }

    /// Offers a set-up that prefers a pool.
    pub fn offer(&mut self, call: u32, pool: u16) {
        let with = json!({"class": "voice", "left": CALLER_TIMEOUT_MS, "key": "1", "extras": format!("dest:{pool}")});
        let line = json!({"op": "offer", "call": format!("{call:016x}"), "with": with, "desc": "v=0\r\n"});
        self.stream.write_all(format!("{line}\n").as_bytes()).expect("sent");
    }

    /// Waits for the final answer to a set-up, which must be an accept.
    pub fn wait_for_accept(&mut self, call: u32) {
        let call = format!("{call:016x}");
        loop {
            if let Some(line) = self.received.iter().find(|line| line["call"] == call) {
                assert_eq!(line["op"], "accept", "{line}");
                return;
            }
            let mut text = String::new();
            let length = self.lines.read_line(&mut text).expect("a line within the patience");
            assert!(length > 0, "the proxy closed the connection");
            self.received.push(serde_json::from_str(&text).expect("JSON"));
        }
    }
}
