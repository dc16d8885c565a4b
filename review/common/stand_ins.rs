//! Stand-ins for the cases of this review: call hosts that speak SIP, the change log, callers, and a border
//! proxy started with the command of the deploy file. Only the standard library is used. All addresses are
//! loopback addresses with ports given by the kernel.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(fd: i32, address: *const u8, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

// ---------------------------------------------------------------- record, exit

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();
/// Processes to be killed at the end, whatever happens.
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static LAST_CHILD: AtomicUsize = AtomicUsize::new(0);
/// Temporary folders to be removed at the end.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Opens the record, arms the watchdog, and returns whether the disruption is played.
pub fn begin() -> bool {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let file = File::create(folder.join("record.txt")).expect("record.txt");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    std::panic::set_hook(Box::new(|info| {
        record(&format!("could not run: {info}"));
        if thread::current().name() == Some("main") {
            finish(2, "the case could not run");
        }
    }));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        finish(2, "the case took too long");
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record(&format!("begin, disruption {}", if trouble { "on" } else { "off" }));
    trouble
}

/// Milliseconds since the begin.
pub fn now_ms() -> f64 {
    RECORD.get().map_or(0.0, |(start, _)| start.elapsed().as_secs_f64() * 1000.0)
}

pub fn record(text: &str) {
    if let Some((start, file)) = RECORD.get() {
        let at = start.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(file.lock().unwrap(), "{at:10.1} ms  {text}");
    }
}

/// Ends all processes of the case, and the case: 0 the rule held, 1 it was broken, 2 the case could not run.
pub fn finish(code: i32, verdict: &str) -> ! {
    record(verdict);
    println!("{verdict}");
    for pid in CHILDREN.lock().unwrap().iter() {
        unsafe { kill(*pid, SIGKILL) };
    }
    for folder in FOLDERS.lock().unwrap().iter() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until the condition holds, or this long; returns whether it holds.
pub fn wait_until(ms: u64, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep_ms(5);
    }
    condition()
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0
}

// ---------------------------------------------------------------- SIP

#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub call: String,
    pub cseq: String,
    pub reason: String,
    pub deadline: String,
    pub body: Vec<u8>,
}

/// Takes a whole message from the buffer, if there is one.
pub fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let end = buffer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let value = |name: &str| {
        head.lines()
            .find_map(|line| line.split_once(':').filter(|(n, _)| n.eq_ignore_ascii_case(name)))
            .map(|(_, v)| v.trim().to_owned())
            .unwrap_or_default()
    };
    let length: usize = value("Content-Length").parse().unwrap_or(0);
    if buffer.len() < end + length {
        return None;
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    let first = head.lines().next().unwrap_or("").to_owned();
    Some(Message {
        first,
        call: value("Call-ID"),
        cseq: value("CSeq"),
        reason: value("Reason"),
        deadline: value("X-Deadline"),
        body,
    })
}

fn sip(first: &str, call: &str, cseq: &str, headers: &str, body: &[u8], length: usize) -> Vec<u8> {
    let mut bytes = format!(
        "{first}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: {cseq}\r\n{headers}Content-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn bye(call: &str, cause: u8) -> Vec<u8> {
    sip("BYE sip:x@net SIP/2.0", call, "2 BYE", &format!("Reason: Q.850;cause={cause}\r\n"), b"", 0)
}

/// What a call host does with a set-up.
#[derive(Clone)]
pub enum Plan {
    /// Answers after this time with this description. `length` is written to Content-Length if given.
    Accept {
        after_ms: u64,
        desc: String,
        length: Option<usize>,
    },
    /// Refuses after this time.
    Refuse {
        after_ms: u64,
        code: u16,
        note: &'static str,
    },
    Silent,
}

pub struct Event {
    pub at: f64,
    pub call: String,
    pub what: String,
}

/// Decides on a set-up, read on the connection of this number.
type Decide = Box<dyn Fn(&Message, usize) -> Plan + Send + Sync>;

pub struct HostState {
    pub name: String,
    decide: Decide,
    pub events: Mutex<Vec<Event>>,
    connections: Mutex<Vec<(usize, Arc<TcpStream>)>>,
    /// Calls given up, and calls that stand with the connection of their set-up.
    cancelled: Mutex<Vec<String>>,
    standing: Mutex<BTreeMap<String, usize>>,
    /// Releases that were sent and not yet heard: they are sent also on the next connection that is opened.
    unheard: Mutex<BTreeMap<String, u8>>,
    next: AtomicUsize,
    /// How long a call stands before the host releases it; 0 for longer than the case.
    pub hold_ms: AtomicU64,
    vanished: AtomicBool,
    stopped: AtomicBool,
}

/// How many connections wait to be accepted at a call host.
const QUEUE: i32 = 8;

/// A listener whose queue can be filled.
fn listener_with_short_queue() -> TcpListener {
    let address = raw_address([127, 0, 0, 1], 0);
    // SAFETY: the arguments are valid, and the descriptor is owned by the listener alone.
    let listener = unsafe {
        let fd = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        assert!(fd >= 0 && bind(fd, address.as_ptr(), 16) == 0 && listen(fd, QUEUE) == 0, "a listener");
        TcpListener::from_raw_fd(fd)
    };
    listener.set_nonblocking(true).expect("a listener");
    listener
}

const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2000000;

/// A socket address in the form of the system call.
fn raw_address(ip: [u8; 4], port: u16) -> [u8; 16] {
    let mut address = [0u8; 16];
    address[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    address[2..4].copy_from_slice(&port.to_be_bytes());
    address[4..8].copy_from_slice(&ip);
    address
}

#[derive(Clone)]
pub struct CallHost {
    pub address: SocketAddr,
    pub pool: u16,
    pub state: Arc<HostState>,
}

impl CallHost {
    pub fn start(name: &str, pool: u16, decide: Decide) -> Self {
        let listener = listener_with_short_queue();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(HostState {
            name: name.to_owned(),
            decide,
            events: Mutex::default(),
            connections: Mutex::default(),
            cancelled: Mutex::default(),
            standing: Mutex::default(),
            unheard: Mutex::default(),
            next: AtomicUsize::new(0),
            hold_ms: AtomicU64::new(0),
            vanished: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        });
        let shared = state.clone();
        thread::spawn(move || {
            loop {
                if shared.stopped.load(Ordering::Relaxed) {
                    return;
                }
                if shared.has_vanished() {
                    // The listener stays, and nobody accepts.
                    sleep_ms(1000);
                    continue;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let shared = shared.clone();
                        thread::spawn(move || shared.serve(Arc::new(stream)));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        // The state of its lines, told unasked each second (told_ms) if it has changed, on the open connections.
        let shared = state.clone();
        thread::spawn(move || {
            let mut told = 0;
            loop {
                sleep_ms(1000);
                let standing = shared.standing.lock().unwrap().len();
                if std::mem::replace(&mut told, standing) != standing && !shared.has_vanished() {
                    let streams: Vec<_> = shared.connections.lock().unwrap().clone();
                    streams.iter().for_each(|(_, stream)| shared.notify(stream));
                }
            }
        });
        Self { address, pool, state }
    }

    /// The machine vanishes: open connections stay open and silent, and new ones never come up, as the queue of
    /// its listener is full. Returns the calls that stood there.
    pub fn vanish(&self) -> Vec<String> {
        self.state.vanished.store(true, Ordering::Relaxed);
        record(&format!("host {}: vanishes", self.state.name));
        let address = self.address;
        for _ in 0..2 * QUEUE {
            thread::spawn(move || {
                let stream = TcpStream::connect_timeout(&address, Duration::from_secs(100));
                sleep_ms(100_000);
                drop(stream);
            });
        }
        self.state.standing.lock().unwrap().keys().cloned().collect()
    }

    /// The host stops: the calls that stand are cut, connections end, and new ones are refused.
    pub fn stop(&self) {
        record(&format!("host {}: stops", self.state.name));
        let standing: Vec<String> = self.state.standing.lock().unwrap().keys().cloned().collect();
        standing.iter().for_each(|call| self.release(call, 41));
        self.state.stopped.store(true, Ordering::Relaxed);
        for (_, stream) in self.state.connections.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Write);
        }
    }

    /// How many connections are open.
    pub fn connections(&self) -> usize {
        self.state.connections.lock().unwrap().len()
    }

    /// Its entry in the change log.
    pub fn entry(&self, status: &str) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"here\",\"type\":\"std\",\"group\":{},\"status\":\"{status}\",\"weight\":1,\"since_ms\":0}}",
            self.state.name, self.address, self.pool
        )
    }

    /// Releases a call that stands, on its set-up's connection, otherwise on any open one.
    pub fn release(&self, call: &str, cause: u8) {
        self.state.release(call, cause);
    }

    /// The calls that it has released, with the time of the first BYE.
    pub fn releases(&self) -> Vec<(f64, String)> {
        let mut seen = Vec::new();
        let events = self.state.events.lock().unwrap();
        events.iter().filter(|e| e.what.starts_with("sends BYE")).for_each(|e| {
            if !seen.iter().any(|(_, call)| *call == e.call) {
                seen.push((e.at, e.call.clone()));
            }
        });
        seen
    }

    /// The calls whose set-ups it has read, with the times.
    pub fn set_ups(&self) -> Vec<(f64, String)> {
        let events = self.state.events.lock().unwrap();
        events.iter().filter(|e| e.what.starts_with("reads INVITE")).map(|e| (e.at, e.call.clone())).collect()
    }

    pub fn saw(&self, call: &str, what: &str) -> bool {
        self.state.events.lock().unwrap().iter().any(|e| e.call == call && e.what.starts_with(what))
    }
}

impl HostState {
    /// How many connections are open, and how many calls stand whose set-up came on this one.
    pub fn connections_and_standing_on(&self, number: usize) -> (usize, usize) {
        let open = self.connections.lock().unwrap().len();
        (open, self.standing.lock().unwrap().values().filter(|on| **on == number).count())
    }

    fn release(&self, call: &str, cause: u8) {
        if self.has_vanished() {
            return;
        }
        let Some(on) = self.standing.lock().unwrap().remove(call) else { return };
        self.unheard.lock().unwrap().insert(call.to_owned(), cause);
        let connections = self.connections.lock().unwrap().clone();
        let own = connections.iter().find(|(n, _)| *n == on).or(connections.first());
        if let Some((number, stream)) = own {
            self.note(call, &format!("sends BYE, cause {cause}, on connection {number}"));
            let _ = (&**stream).write_all(&bye(call, cause));
        }
    }

    fn note(&self, call: &str, what: &str) {
        record(&format!("host {}: call {call}: {what}", self.name));
        self.events.lock().unwrap().push(Event {
            at: now_ms(),
            call: call.to_owned(),
            what: what.to_owned(),
        });
    }

    fn has_vanished(&self) -> bool {
        self.vanished.load(Ordering::Relaxed)
    }

    /// The header with its report.
    fn gauges(&self) -> String {
        let free = 400 - self.standing.lock().unwrap().len();
        format!("X-Gauges: idle:{free};circuits:400;svc_ms:5;pending:0;max_rate:300\r\n")
    }

    fn notify(&self, stream: &TcpStream) {
        let gauges = self.gauges();
        let bytes = sip("NOTIFY sip:state@net SIP/2.0", "0000000000000000", "1 NOTIFY", &gauges, b"", 0);
        let _ = (&*stream).write_all(&bytes);
    }

    fn serve(self: Arc<Self>, stream: Arc<TcpStream>) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        record(&format!("host {}: connection {number} is open", self.name));
        self.notify(&stream);
        let unheard = self.unheard.lock().unwrap().clone();
        for (call, cause) in unheard {
            self.note(
                &call,
                &format!("sends BYE, cause {cause}, on connection {number} too, as it was just opened"),
            );
            let _ = (&*stream).write_all(&bye(&call, cause));
        }
        self.connections.lock().unwrap().push((number, stream.clone()));
        let (mut buffer, mut bytes) = (Vec::new(), [0; 16384]);
        loop {
            match (&*stream).read(&mut bytes) {
                Ok(n) if n > 0 => buffer.extend_from_slice(&bytes[..n]),
                _ => break,
            }
            while let Some(message) = take_message(&mut buffer) {
                if self.has_vanished() {
                    sleep_ms(200_000);
                }
                self.handle(number, &stream, message);
            }
        }
        record(&format!("host {}: connection {number} is closed", self.name));
        self.connections.lock().unwrap().retain(|(n, _)| *n != number);
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn handle(self: &Arc<Self>, number: usize, stream: &Arc<TcpStream>, message: Message) {
        let method = message.first.split(' ').next().unwrap_or("").to_owned();
        let call = message.call.clone();
        let answer = |code: u16| {
            let gauges = self.gauges();
            let bytes = sip(&format!("SIP/2.0 {code} said"), &call, &message.cseq, &gauges, b"", 0);
            let _ = (&**stream).write_all(&bytes);
        };
        match method.as_str() {
            "INVITE" => {
                self.note(
                    &call,
                    &format!("reads INVITE on connection {number}, X-Deadline {}", message.deadline),
                );
                self.cancelled.lock().unwrap().retain(|c| *c != call);
                let plan = (self.decide)(&message, number);
                let (this, stream) = (self.clone(), stream.clone());
                thread::spawn(move || this.play(number, &stream, &message, plan));
            }
            "CANCEL" => {
                self.note(&call, "reads CANCEL");
                self.cancelled.lock().unwrap().push(call.clone());
                self.standing.lock().unwrap().remove(&call);
                answer(200);
            }
            "BYE" => {
                self.note(&call, &format!("reads BYE, {}", message.reason));
                self.standing.lock().unwrap().remove(&call);
                answer(200);
            }
            "OPTIONS" => answer(200),
            "SIP/2.0" if message.cseq.ends_with("BYE") => {
                self.note(&call, "hears that its BYE was read");
                self.unheard.lock().unwrap().remove(&call);
            }
            "ACK" => self.note(&call, "reads ACK"),
            _ => {}
        }
    }

    fn play(&self, number: usize, stream: &TcpStream, message: &Message, plan: Plan) {
        let call = &message.call;
        let gauges = self.gauges();
        let (bytes, what) = match plan {
            Plan::Silent => return,
            Plan::Refuse { after_ms, code, note } => {
                sleep_ms(after_ms);
                let headers = format!("X-Outcome: {note}\r\n{gauges}");
                let first = format!("SIP/2.0 {code} said");
                (sip(&first, call, &message.cseq, &headers, b"", 0), format!("answers {code} {note}"))
            }
            Plan::Accept { after_ms, desc, length } => {
                sleep_ms(after_ms);
                let length_field = length.unwrap_or(desc.len());
                let what =
                    format!("answers 200, body of {} bytes, Content-Length {length_field}", desc.len());
                (sip("SIP/2.0 200 OK", call, &message.cseq, &gauges, desc.as_bytes(), length_field), what)
            }
        };
        // A set-up that was given up is dropped.
        if self.has_vanished() {
            return;
        }
        if self.cancelled.lock().unwrap().contains(call) {
            return self.note(call, "drops the set-up that was given up");
        }
        if what.starts_with("answers 200") {
            self.standing.lock().unwrap().insert(call.clone(), number);
        }
        self.note(call, &what);
        let _ = (&*stream).write_all(&bytes);
        let hold_ms = self.hold_ms.load(Ordering::Relaxed);
        if what.starts_with("answers 200") && hold_ms > 0 {
            sleep_ms(hold_ms);
            self.release(call, 16);
        }
    }
}

/// The description that a call host gives for a call.
pub fn desc_of(call: &str) -> String {
    format!("{call}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\na=sendrecv\r\n")
}

pub fn accept_after(ms: u64) -> Decide {
    Box::new(move |message, _| Plan::Accept { after_ms: ms, desc: desc_of(&message.call), length: None })
}

// ---------------------------------------------------------------- change log

#[derive(Default)]
struct LogState {
    events: Mutex<Vec<String>>,
}

pub struct ChangeLog {
    pub address: SocketAddr,
    state: Arc<LogState>,
}

impl ChangeLog {
    /// Starts with a first event that carries the whole list.
    pub fn start(entries: &[String]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().unwrap();
        let log = Self { address, state: Arc::default() };
        log.add(entries);
        let state = log.state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || state.serve(stream));
            }
        });
        log
    }

    /// Adds an event.
    pub fn add(&self, entries: &[String]) {
        let mut events = self.state.events.lock().unwrap();
        let seq = events.len() + 1;
        events.push(format!(
            "{{\"seq\":{seq},\"fleet\":{{\"index\":{seq},\"snapshot\":{},\"endpoints\":[{}]}}}}",
            seq == 1,
            entries.join(",")
        ));
        record(&format!("change log: event {seq}: {}", entries.join(",")));
    }

    pub fn known(&self) -> String {
        let events = self.state.events.lock().unwrap();
        format!("{{\"seq\":{},\"results\":[{}]}}", events.len(), events.join(","))
    }
}

impl LogState {
    fn serve(&self, mut stream: TcpStream) {
        let (mut head, mut byte) = (Vec::new(), [0; 1]);
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => head.push(byte[0]),
                _ => return,
            }
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let last = head.lines().find_map(|line| line.strip_prefix("last-event-id:")).unwrap_or("0");
        let mut next: usize = last.trim().parse().unwrap_or(0);
        record(&format!("change log: asked for what comes after {next}"));
        let mut text = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: here\n\n",
        );
        let mut said = Instant::now();
        loop {
            let events = self.events.lock().unwrap().clone();
            for (n, event) in events.iter().enumerate().skip(next) {
                text += &format!("id: {}\ndata: {event}\n\n", n + 1);
            }
            next = next.max(events.len());
            if said.elapsed() > Duration::from_millis(1000) {
                text += ": here\n\n";
                said = Instant::now();
            }
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            text.clear();
            sleep_ms(5);
        }
    }
}

// ---------------------------------------------------------------- border proxy

/// The settings of a deployment: classes as (name, quoted s), and the figures that differ.
pub struct Deployment {
    pub classes: &'static [(&'static str, f64)],
    pub pools: u16,
    pub balancers: u32,
    pub release_s: f64,
    pub drain_grace_s: f64,
    pub max_attempts: u32,
    pub may_probe: bool,
    pub cold_s: f64,
    pub cold_from: f64,
    pub fall_s: f64,
    pub fall_multiple: f64,
    pub retry_after: bool,
    pub repeat_s: f64,
    /// The figures of a report.
    pub report: &'static str,
    /// Tenants as (name, share, quota a second).
    pub tenants: &'static [(&'static str, f64, f64)],
    pub over_share_worth: f64,
}

/// The figures of istanbul-main, with three thread servers and five border proxies.
pub const ISTANBUL: Deployment = Deployment {
    classes: &[("thread-open", 2.0), ("slot-set", 2.0), ("seat-check", 1.5)],
    pools: 3,
    balancers: 5,
    release_s: 0.3,
    drain_grace_s: 0.5,
    max_attempts: 4,
    may_probe: true,
    cold_s: 14.0,
    cold_from: 0.28,
    fall_s: 1.0,
    fall_multiple: 2.5,
    retry_after: false,
    repeat_s: 0.5,
    report: "\"idle\",\"circuits\",\"pending\",\"max_rate\"",
    tenants: &[("yildiz-koleji", 0.44, 13.0), ("ege-okullari", 0.34, 10.0), ("bogaz-lisesi", 0.22, 7.0)],
    over_share_worth: 0.2,
};

/// The figures of midlands-pitchline, with eight call hosts and four border proxies.
pub const PITCHLINE: Deployment = Deployment {
    classes: &[("availability", 1.2), ("pitch-hold", 2.0), ("booking-lookup", 2.5)],
    pools: 8,
    balancers: 4,
    release_s: 0.2,
    drain_grace_s: 1.0,
    max_attempts: 6,
    may_probe: false,
    cold_s: 14.0,
    cold_from: 0.37,
    fall_s: 2.0,
    fall_multiple: 3.0,
    retry_after: true,
    repeat_s: 0.0,
    report: "\"idle\",\"circuits\",\"svc_ms\",\"max_rate\"",
    tenants: &[],
    over_share_worth: 1.0,
};

pub struct Proxy {
    pub listen: SocketAddr,
    pub pid: i32,
    child: Child,
    folder: PathBuf,
}

/// A free port at a loopback address of this run's own, so that runs side by side never meet at one.
fn free_address() -> SocketAddr {
    let pid = std::process::id();
    let own = std::net::Ipv4Addr::new(127, 1 + (pid >> 16) as u8 % 200, (pid >> 8) as u8, pid as u8);
    TcpListener::bind((own, 0)).and_then(|l| l.local_addr()).expect("a port")
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run ")).expect("run");
    line.split('"').nth(1).expect("run").to_owned()
}

impl Proxy {
    pub fn start(deployment: &Deployment, log: &ChangeLog) -> Self {
        Self::start_at(deployment, log, free_address())
    }

    pub fn start_at(deployment: &Deployment, log: &ChangeLog, listen: SocketAddr) -> Self {
        let d = deployment;
        let pools: Vec<String> = (0..d.pools).map(|p| p.to_string()).collect();
        let profiles: Vec<String> = d
            .classes
            .iter()
            .map(|(name, quoted)| {
                format!(
                    "{{\"name\":\"{name}\",\"objective\":{quoted},\"deadline\":9.0,\"worth\":1.0,\"late_worth\":0.1,\
                     \"effect\":\"repeatable\",\"dedup_scope\":\"all\",\"streamed\":true,\"window\":5.0}}"
                )
            })
            .collect();
        let tenant = |(name, share, quota): &(&str, f64, f64)| {
            format!("{{\"name\":\"{name}\",\"share\":{share},\"quota_rps\":{quota}}}")
        };
        let tenants: Vec<String> = d.tenants.iter().map(tenant).collect();
        let by_class = vec![format!("[{}]", pools.join(",")); d.classes.len()].join(",");
        let ones = vec!["1"; d.classes.len()].join(",");
        let holds = vec!["8.0"; d.classes.len()].join(",");
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"changelog\":\"{}\",\"known\":{},\"settings\":{{\"areas\":[\"here\"],\"balancers\":{},\
             \"bounds\":{{\"cancel\":true,\"conn_idle\":600.0,\"connect_timeout\":0.5,\"cpu_us_per_request\":0.0,\
             \"cpu_us_per_s\":300000,\"max_attempts\":{},\"max_retry_after\":2.0,\"max_streams\":1048576,\
             \"may_probe\":{},\"open_cap\":20000,\"peers\":false,\"retry_after\":{},\"second_copies\":false}},\
             \"callers\":{{\"marks_retry\":true}},\"counted_by\":\"request\",\"discovery\":\"pushed\",\
             \"domain\":{{\"advice\":false,\"channels_needed\":[{ones}],\"clear_wait\":{},\"far_state\":\"piggyback\",\
             \"gives_wait\":false,\"mean_hold\":[{holds}],\"network_form\":\"skills\",\"pools_by_class\":[{by_class}],\
             \"repeat\":{},\"self_no\":-1}},\"family\":\"trunks\",\
             \"feedback\":{{\"how\":\"piggyback\",\"names\":[{}]}},\
             \"layers\":[\"call-hosts\"],\"over_share_worth\":{},\"profiles\":[{}],\"rank\":0,\
             \"rules\":{{\"answer_slack\":0.02,\"ask_within\":10.0,\"cold\":{},\"cold_from\":{},\"drain_grace\":{},\
             \"fall\":{},\"overload_factor\":{}}},\"skus\":[\"std-1\"],\"stage\":0,\"tenants\":[{}],\"tick\":0.005,\
             \"weight_kind\":\"silent\",\"zone\":0}}}}",
            log.address,
            log.known(),
            d.balancers,
            d.max_attempts,
            d.may_probe,
            d.retry_after,
            d.release_s,
            d.repeat_s,
            d.report,
            d.over_share_worth,
            profiles.join(","),
            d.cold_s,
            d.cold_from,
            d.drain_grace_s,
            d.fall_s,
            d.fall_multiple,
            tenants.join(","),
        );
        let n = LAST_CHILD.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("review-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        FOLDERS.lock().unwrap().push(folder.clone());
        std::fs::write(folder.join("config.json"), config).expect("config.json");
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", listen.to_string())
            .env("LB_CONFIG", folder.join("config.json"))
            .stdin(Stdio::null())
            .stdout(File::create(folder.join("log")).expect("log"))
            .stderr(Stdio::null())
            .spawn()
            .expect("the border proxy starts");
        let pid = child.id() as i32;
        CHILDREN.lock().unwrap().push(pid);
        record(&format!("border proxy: process {pid} listens at {listen}"));
        let proxy = Self { listen, pid, child, folder };
        let ready = wait_until(30_000, || {
            Caller::try_connect("127.0.0.1", listen).is_some_and(|caller| {
                caller.send("{\"op\":\"test\",\"call\":\"00000000000000aa\",\"with\":{},\"why\":0}");
                wait_until(1000, || caller.lines().iter().any(|line| line.why == Some(1)))
            })
        });
        assert!(ready, "the border proxy did not get ready");
        proxy
    }

    pub fn signal(&self, signal: i32, name: &str) {
        record(&format!("border proxy: {name}"));
        assert_eq!(unsafe { kill(self.pid, signal) }, 0, "kill");
    }

    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|pid| *pid != self.pid);
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.end();
    }
}

// ---------------------------------------------------------------- callers

/// A line that a border proxy has sent.
#[derive(Clone, Debug)]
pub struct Line {
    pub at: f64,
    pub op: String,
    pub call: String,
    pub why: Option<u32>,
    pub desc: Option<String>,
    pub text: String,
}

#[derive(Clone)]
pub struct Caller {
    pub name: String,
    stream: Arc<TcpStream>,
    lines: Arc<Mutex<Vec<Line>>>,
    closed: Arc<AtomicBool>,
}

/// The text of a JSON field, with its escapes resolved.
fn text_field(line: &str, name: &str) -> Option<String> {
    let start = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let (mut text, mut chars) = (String::new(), line[start..].chars());
    loop {
        match chars.next()? {
            '"' => return Some(text),
            '\\' => match chars.next()? {
                'n' => text.push('\n'),
                'r' => text.push('\r'),
                't' => text.push('\t'),
                'u' => {
                    let hex: String = chars.by_ref().take(4).collect();
                    text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                }
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
}

fn escape(text: &str) -> String {
    text.chars()
        .map(|c| match c {
            '\r' => "\\r".to_owned(),
            '\n' => "\\n".to_owned(),
            '"' | '\\' => format!("\\{c}"),
            c => c.to_string(),
        })
        .collect()
}

/// Connects from a chosen loopback address.
fn connect_from(from: &str, to: SocketAddr) -> Option<TcpStream> {
    let ip = |text: &str| text.parse::<std::net::Ipv4Addr>().unwrap().octets();
    let (own, far) = (raw_address(ip(from), 0), raw_address(ip(&to.ip().to_string()), to.port()));
    // SAFETY: the arguments are valid, and the descriptor is owned by the stream alone.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        assert!(fd >= 0, "socket");
        let stream = TcpStream::from_raw_fd(fd);
        (bind(fd, own.as_ptr(), 16) == 0 && connect(fd, far.as_ptr(), 16) == 0).then_some(stream)
    }
}

impl Caller {
    pub fn connect(name: &str, from: &str, to: SocketAddr) -> Self {
        let mut caller = Self::try_connect(from, to).expect("the border proxy takes the connection");
        caller.name = name.to_owned();
        record(&format!("caller {name}: connected from {from}"));
        caller
    }

    fn try_connect(from: &str, to: SocketAddr) -> Option<Self> {
        let stream = Arc::new(connect_from(from, to)?);
        let _ = stream.set_nodelay(true);
        let caller = Self {
            name: String::from("test"),
            stream: stream.clone(),
            lines: Arc::default(),
            closed: Arc::default(),
        };
        let (lines, closed) = (caller.lines.clone(), caller.closed.clone());
        thread::spawn(move || {
            let (mut buffer, mut bytes) = (Vec::new(), [0; 16384]);
            loop {
                match (&*stream).read(&mut bytes) {
                    Ok(n) if n > 0 => buffer.extend_from_slice(&bytes[..n]),
                    Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                    _ => break,
                }
                while let Some(end) = buffer.iter().position(|&b| b == b'\n') {
                    let text: Vec<u8> = buffer.drain(..=end).collect();
                    let text = String::from_utf8_lossy(&text).trim_end().to_owned();
                    let why = text.find("\"why\":").and_then(|at| {
                        text[at + 6..].split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
                    });
                    let line = Line {
                        at: now_ms(),
                        op: text_field(&text, "op").unwrap_or_default(),
                        call: text_field(&text, "call").unwrap_or_default(),
                        why,
                        desc: text_field(&text, "desc"),
                        text: text.clone(),
                    };
                    if line.op != "tested" {
                        let shown: String = text.chars().take(300).collect();
                        record(&format!("a caller reads {shown}"));
                    }
                    lines.lock().unwrap().push(line);
                }
            }
            closed.store(true, Ordering::Relaxed);
        });
        Some(caller)
    }

    pub fn send(&self, line: &str) {
        if !line.contains("\"test\"") {
            let shown: String = line.chars().take(300).collect();
            record(&format!("caller {}: sends {shown}", self.name));
        }
        let _ = (&*self.stream).write_all(format!("{line}\n").as_bytes());
    }

    /// Sends a set-up; returns when its last byte was written.
    pub fn offer(&self, call: &str, class: &str, left: u32, first_pool: u16) -> f64 {
        self.offer_with(call, class, left, &format!("dest:{first_pool};width:1;via:-1"), &desc_of(call))
    }

    /// The same with the fields of `extras` and a description.
    pub fn offer_with(&self, call: &str, class: &str, left: u32, extras: &str, desc: &str) -> f64 {
        let number = &call[call.len() - 8..];
        self.send(&format!(
            "{{\"op\":\"offer\",\"call\":\"{call}\",\"with\":{{\"class\":\"{class}\",\"left\":\"{left}\",\
             \"key\":\"{number}00000001\",\"extras\":\"{extras}\"}},\"desc\":\"{}\"}}",
            escape(desc)
        ));
        now_ms()
    }

    pub fn end(&self, call: &str) {
        self.send(&format!("{{\"op\":\"end\",\"call\":\"{call}\",\"with\":{{}},\"why\":16}}"));
    }

    pub fn lines(&self) -> Vec<Line> {
        self.lines.lock().unwrap().clone()
    }

    /// The lines about a call.
    pub fn of(&self, call: &str) -> Vec<Line> {
        self.lines().into_iter().filter(|line| line.call == call).collect()
    }

    pub fn close(&self) {
        record(&format!("caller {}: closes its connection", self.name));
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }
}

/// The id of the n-th call of this run.
pub fn call_id(n: usize) -> String {
    format!("{:016x}", 0x9b1f_03aa_5c7e_0000_u64 + n as u64)
}
