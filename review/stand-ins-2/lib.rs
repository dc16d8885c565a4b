//! Stand-ins for the cases of the second review: a change log, central servers with a processor, a network
//! between a proxy and a central server, callers, and border proxies started by the deploy file's command.
//! Standard library only. Everything listens on 127.0.0.1 with ports given by the kernel.

use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// `PR_SET_PDEATHSIG` of Linux: the signal that a process gets when the one that started it ends.
const SET_SIGNAL_AT_END_OF_PARENT: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
// The numbers that x86-64 and arm64 have.
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
/// A run that takes longer could not run.
const LONGEST_RUN_MS: u64 = 110_000;

// ---------------------------------------------------------------------------------------------- record, time

struct Record {
    started: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Opens the record in the file that the environment names. Exits with 2 if that is not possible.
pub fn open_record() {
    let path = std::env::var("RECORD").unwrap_or_else(|_| cannot_run("RECORD is not set"));
    let file = File::create(&path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
    let _ = RECORD.set(Record { started: Instant::now(), file: Mutex::new(file) });
    std::panic::set_hook(Box::new(|panic| cannot_run(&panic.to_string())));
    thread::spawn(|| {
        thread::sleep(Duration::from_millis(LONGEST_RUN_MS));
        cannot_run("it took too long");
    });
}

/// Milliseconds since the record was opened.
pub fn now() -> f64 {
    RECORD.get().map_or(0.0, |record| record.started.elapsed().as_secs_f64() * 1000.0)
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

/// Writes a line to the record, with the time in milliseconds.
pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let _ = writeln!(lock(&record.file), "{:9.1} {text}", now());
    }
}

/// The border proxies' processes, to be ended with this one.
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Sends a signal to a process that was started here, without a line in the record.
pub fn signal_quietly(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// Ends all processes that were started, and this one.
pub fn finish(code: i32) -> ! {
    for child in lock(&CHILDREN).iter() {
        unsafe { kill(*child, SIGKILL) };
    }
    std::process::exit(code);
}

/// Prints a line, if anybody reads it.
pub fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

pub fn cannot_run(why: &str) -> ! {
    note(&format!("cannot run: {why}"));
    let _ = writeln!(std::io::stderr(), "cannot run: {why}");
    finish(2);
}

pub fn sleep_ms(ms: f64) {
    thread::sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0));
}

/// Waits until `done` or `timeout` milliseconds have passed; returns whether it is done.
pub fn wait_for(timeout: f64, mut done: impl FnMut() -> bool) -> bool {
    let end = now() + timeout;
    while now() < end {
        if done() {
            return true;
        }
        sleep_ms(5.0);
    }
    done()
}

/// Whether the run has its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Prints and records the verdict, and ends the run with its exit code.
pub fn verdict(broken: &[String]) -> ! {
    for line in broken {
        note(&format!("BROKEN {line}"));
        say(&format!("broken: {line}"));
    }
    let text = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
    note(text);
    say(text);
    finish(i32::from(!broken.is_empty()));
}

// ------------------------------------------------------------------------------------------------ change log

struct ChangeLogEvents {
    events: Mutex<Vec<String>>,
    added: Condvar,
}

/// A change log: `GET /changes` with `Last-Event-ID`, answered by server-sent events, a comment each second.
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<ChangeLogEvents>,
    /// How long a call waits for its turn.
    pub turn_ms: Arc<AtomicU64>,
    /// Takes no new call and ends the open ones.
    pub closed: Arc<AtomicBool>,
    /// Tells nothing more.
    pub mute: Arc<AtomicBool>,
}

/// An entry of the list of central servers.
pub fn entry(name: &str, address: SocketAddr, group: u16, status: &str, since_ms: f64) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"z1","type":"std","group":{group},"status":"{status}","weight":1,"since_ms":{since_ms:.0}}}"#
    )
}

impl ChangeLog {
    pub fn start() -> Self {
        Self::start_with(Arc::new(ChangeLogEvents { events: Mutex::default(), added: Condvar::new() }))
    }

    /// Another change log that goes on with the same numbers.
    pub fn start_successor(&self) -> Self {
        Self::start_with(self.events.clone())
    }

    fn start_with(events: Arc<ChangeLogEvents>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let (turn_ms, closed, mute) = (Arc::default(), Arc::default(), Arc::default());
        let this = Self { address, events, turn_ms, closed, mute };
        let (events, turn, closed, mute) =
            (this.events.clone(), this.turn_ms.clone(), this.closed.clone(), this.mute.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if closed.load(Ordering::Relaxed) {
                    continue;
                }
                let (events, turn, closed, mute) =
                    (events.clone(), turn.clone(), closed.clone(), mute.clone());
                thread::spawn(move || serve_changes(stream, &events, &turn, &closed, &mute, address));
            }
        });
        this
    }

    /// Adds an event and returns its number. The first one carries the whole list.
    pub fn tell(&self, entries: &[String]) -> usize {
        let mut events = lock(&self.events.events);
        let seq = events.len() + 1;
        let event = format!(
            r#"{{"seq":{seq},"fleet":{{"index":{seq},"snapshot":false,"endpoints":[{}]}}}}"#,
            entries.join(",")
        );
        note(&format!("change log event {seq}: {}", entries.join(",")));
        events.push(event);
        self.events.added.notify_all();
        seq
    }

    /// The events up to now, as the configuration has them.
    pub fn known(&self) -> String {
        let events = lock(&self.events.events);
        format!(r#"{{"seq":{},"results":[{}]}}"#, events.len(), events.join(","))
    }
}

fn serve_changes(
    mut stream: TcpStream,
    events: &ChangeLogEvents,
    turn: &AtomicU64,
    closed: &AtomicBool,
    mute: &AtomicBool,
    address: SocketAddr,
) {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&head).to_string();
    let mut last = 0;
    for line in head.lines() {
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("last-event-id")
        {
            last = value.trim().parse().unwrap_or(0);
        }
    }
    note(&format!("change log {address} is asked for the events after {last}"));
    sleep_ms(turn.load(Ordering::Relaxed) as f64);
    let answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    if stream.write_all(answer.as_bytes()).is_err() {
        return;
    }
    note(&format!("change log {address} answers a call for the events after {last}"));
    loop {
        let mut told = lock(&events.events);
        if told.len() <= last {
            told = events.added.wait_timeout(told, Duration::from_millis(1000)).unwrap().0;
        }
        let new: Vec<String> = told.iter().skip(last).cloned().collect();
        drop(told);
        if closed.load(Ordering::Relaxed) {
            return;
        }
        if mute.load(Ordering::Relaxed) {
            continue;
        }
        let mut text = String::from(":\n\n");
        for event in new {
            last += 1;
            text += &format!("id: {last}\ndata: {event}\n\n");
        }
        if stream.write_all(text.as_bytes()).is_err() {
            note(&format!("change log {address}: a reader has gone"));
            return;
        }
    }
}

// ------------------------------------------------------------------------------------------------------- SIP

#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    }
}

/// Takes the next whole message from the buffer.
pub fn next_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let end = buffer.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).to_string();
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message { start, headers, body: Vec::new() };
    let length: usize = message.header("Content-Length").parse().unwrap_or(0);
    if buffer.len() < end + 4 + length {
        return None;
    }
    message.body = buffer[end + 4..end + 4 + length].to_vec();
    buffer.drain(..end + 4 + length);
    Some(message)
}

// --------------------------------------------------------------------------------------------- central server

/// The description that the stand-ins give for a call.
pub fn description(call: &str) -> String {
    format!("{call}\r\nc=IN IP4 127.0.0.1\r\n")
}

struct Job {
    call: String,
    conn: u64,
    sequence: String,
}

/// A call that stands at a central server.
#[derive(Clone, Debug)]
pub struct Standing {
    pub since: f64,
    /// When it comes to its end by itself.
    pub until: f64,
    conn: u64,
}

#[derive(Default)]
pub struct ServerState {
    queue: VecDeque<Job>,
    connections: BTreeMap<u64, TcpStream>,
    last_connection: u64,
    pub standing: BTreeMap<String, Standing>,
    /// Time and call of each set-up received.
    pub set_ups: Vec<(f64, String)>,
    /// Time and call of each release received.
    pub releases: Vec<(f64, String)>,
    /// Releases that were sent and not heard: call and cause.
    unheard: Vec<(String, u8)>,
    /// When the state of the group was last told.
    pub told_at: f64,
    stopped: bool,
}

pub struct ServerTerms {
    pub name: String,
    /// Set-ups a second that the processor can do, by the time in milliseconds.
    pub rate: Box<dyn Fn(f64) -> f64 + Send + Sync>,
    /// How long a call stands, in milliseconds.
    pub hold: f64,
    /// Value of X-Gauges in answers, by the time; none if it is empty.
    pub gauges: Box<dyn Fn(f64) -> String + Send + Sync>,
    pub lines: usize,
}

/// A central server with a processor that does one set-up after the other. A set-up that was given up before its
/// turn is dropped.
pub struct Server {
    pub address: SocketAddr,
    pub state: Arc<Mutex<ServerState>>,
    terms: Arc<ServerTerms>,
}

impl Server {
    /// A central server that does 50 set-ups a second and reports that; its calls stand for `hold` milliseconds.
    pub fn steady(name: &str, hold: f64) -> Self {
        Self::start(ServerTerms {
            name: name.to_owned(),
            rate: Box::new(|_| 50.0),
            hold,
            gauges: Box::new(|_| "pending:0;max_rate:50".to_owned()),
            lines: 150,
        })
    }

    pub fn start(terms: ServerTerms) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let terms = Arc::new(terms);
        let state: Arc<Mutex<ServerState>> = Arc::default();
        let (for_accept, terms_for_accept) = (state.clone(), terms.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, terms) = (for_accept.clone(), terms_for_accept.clone());
                thread::spawn(move || serve_connection(stream, &state, &terms));
            }
        });
        let (for_work, terms_for_work) = (state.clone(), terms.clone());
        thread::spawn(move || work(&for_work, &terms_for_work));
        let (for_ends, terms_for_ends) = (state.clone(), terms.clone());
        thread::spawn(move || end_calls(&for_ends, &terms_for_ends));
        Self { address, state, terms }
    }

    /// All calls come to their end now.
    pub fn release_all(&self) {
        lock(&self.state).standing.values_mut().for_each(|standing| standing.until = now());
    }

    /// The process dies: its calls are cut, and its connections end.
    pub fn die(&self) {
        let mut state = lock(&self.state);
        note(&format!("{}: the process dies with {} calls", self.terms.name, state.standing.len()));
        state.standing.clear();
        state.queue.clear();
        state.unheard.clear();
        for (_, stream) in std::mem::take(&mut state.connections) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn write_to(state: &mut ServerState, conn: u64, text: &str) -> bool {
    state.connections.get_mut(&conn).is_some_and(|stream| stream.write_all(text.as_bytes()).is_ok())
}

fn group_state(terms: &ServerTerms, state: &ServerState) -> String {
    let free = terms.lines.saturating_sub(state.standing.len());
    format!(
        "NOTIFY sip:group@net SIP/2.0\r\nVia: SIP/2.0/TCP server\r\nCall-ID: 0000000000000000\r\nCSeq: 1 NOTIFY\r\n\
         X-Gauges: idle:{free};circuits:{}\r\nContent-Length: 0\r\n\r\n",
        terms.lines
    )
}

fn release_text(call: &str, cause: u8) -> String {
    format!(
        "BYE sip:call@net SIP/2.0\r\nVia: SIP/2.0/TCP server\r\nCall-ID: {call}\r\nCSeq: 2 BYE\r\n\
         Reason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"
    )
}

fn serve_connection(mut stream: TcpStream, state: &Mutex<ServerState>, terms: &ServerTerms) {
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else { return };
    let conn = {
        let mut state = lock(state);
        state.last_connection += 1;
        let conn = state.last_connection;
        state.connections.insert(conn, writer);
        let mut text = group_state(terms, &state);
        for (call, cause) in state.unheard.clone() {
            text += &release_text(&call, cause);
        }
        write_to(&mut state, conn, &text);
        conn
    };
    note(&format!("{}: connection {conn} opened", terms.name));
    let mut buffer = Vec::new();
    let mut bytes = [0; 16 * 1024];
    loop {
        let n = match stream.read(&mut bytes) {
            Ok(n) if n > 0 => n,
            _ => break,
        };
        buffer.extend_from_slice(&bytes[..n]);
        while let Some(message) = next_message(&mut buffer) {
            handle(&mut lock(state), terms, conn, &message);
        }
    }
    let mut state = lock(state);
    state.connections.remove(&conn);
    // The set-ups open on a connection are given up when it is closed.
    state.queue.retain(|job| job.conn != conn);
    note(&format!("{}: connection {conn} closed", terms.name));
}

fn response(call: &str, sequence: &str, code: &str, gauges: &str, body: &str) -> String {
    let gauges = if gauges.is_empty() { String::new() } else { format!("X-Gauges: {gauges}\r\n") };
    format!(
        "SIP/2.0 {code}\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: {sequence}\r\n{gauges}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn handle(state: &mut ServerState, terms: &ServerTerms, conn: u64, message: &Message) {
    let method = message.start.split(' ').next().unwrap_or("").to_owned();
    let call = message.header("Call-ID").to_owned();
    let sequence = message.header("CSeq").to_owned();
    match method.as_str() {
        "INVITE" => {
            note(&format!(
                "{}: set-up {call} on connection {conn}, shot {sequence}, deadline {}",
                terms.name,
                message.header("X-Deadline")
            ));
            state.set_ups.push((now(), call.clone()));
            state.queue.push_back(Job { call, conn, sequence });
        }
        "CANCEL" => {
            note(&format!("{}: set-up {call} is given up", terms.name));
            state.queue.retain(|job| job.call != call);
        }
        "BYE" => {
            let known = state.standing.remove(&call).is_some();
            note(&format!("{}: release of {call} on connection {conn}, it stood: {known}", terms.name));
            state.releases.push((now(), call.clone()));
            write_to(state, conn, &response(&call, &sequence, "200 OK", "", ""));
        }
        "OPTIONS" => {
            let gauges = (terms.gauges)(now());
            write_to(state, conn, &response(&call, &sequence, "200 OK", &gauges, ""));
        }
        // The answer to a release that this server sent.
        "SIP/2.0" if sequence.ends_with("BYE") => state.unheard.retain(|(unheard, _)| *unheard != call),
        _ => {}
    }
}

fn work(state: &Mutex<ServerState>, terms: &ServerTerms) {
    loop {
        if lock(state).stopped {
            return;
        }
        let call = lock(state).queue.front().map(|job| job.call.clone());
        let Some(call) = call else {
            sleep_ms(1.0);
            continue;
        };
        sleep_ms(1000.0 / (terms.rate)(now()));
        let mut state = lock(state);
        // A set-up that was given up meanwhile is dropped; its work has been done.
        if state.queue.front().is_none_or(|job| job.call != call) {
            continue;
        }
        let job = state.queue.pop_front().expect("just seen");
        let gauges = (terms.gauges)(now());
        let text = response(&job.call, &job.sequence, "200 OK", &gauges, &description(&job.call));
        if write_to(&mut state, job.conn, &text) {
            note(&format!("{}: {} stands", terms.name, job.call));
            let until = now() + terms.hold;
            state.standing.insert(job.call, Standing { since: now(), until, conn: job.conn });
        }
    }
}

/// Ends the calls whose time is over, and tells the state of the group each second.
fn end_calls(state: &Mutex<ServerState>, terms: &ServerTerms) {
    loop {
        sleep_ms(10.0);
        let mut state = lock(state);
        if state.stopped {
            return;
        }
        let over: Vec<(String, u64)> = state
            .standing
            .iter()
            .filter(|(_, standing)| standing.until <= now())
            .map(|(call, standing)| (call.clone(), standing.conn))
            .collect();
        for (call, conn) in over {
            state.standing.remove(&call);
            state.unheard.push((call.clone(), 16));
            let other = state.connections.keys().next().copied();
            note(&format!("{}: {call} has come to its end", terms.name));
            let text = release_text(&call, 16);
            if !write_to(&mut state, conn, &text)
                && let Some(other) = other
            {
                write_to(&mut state, other, &text);
            }
        }
        if now() - state.told_at >= 1000.0 {
            state.told_at = now();
            let text = group_state(terms, &state);
            let conns: Vec<u64> = state.connections.keys().copied().collect();
            for conn in conns {
                write_to(&mut state, conn, &text);
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------------- network

/// The network between the border proxies and a central server. Cut off, it carries nothing: open connections
/// stay open and silent, and new ones never come up.
pub struct Network {
    pub address: SocketAddr,
    shared: Arc<NetworkShared>,
    fillers: Mutex<Vec<TcpStream>>,
}

#[derive(Default)]
struct NetworkShared {
    cut: AtomicBool,
    /// Connections from before this generation belong to a machine that has gone for good.
    generation: AtomicU64,
    listener: Mutex<Option<TcpListener>>,
}

impl Network {
    pub fn start(name: &str, server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let shared: Arc<NetworkShared> = Arc::default();
        *lock(&shared.listener) = Some(listener);
        let (for_accept, name) = (shared.clone(), name.to_owned());
        thread::spawn(move || {
            loop {
                sleep_ms(1.0);
                if for_accept.cut.load(Ordering::Relaxed) {
                    continue;
                }
                let accepted = lock(&for_accept.listener).as_ref().and_then(|l| l.accept().ok());
                let Some((near, _)) = accepted else { continue };
                let _ = near.set_nonblocking(false);
                let Ok(far) = TcpStream::connect(server) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                note(&format!("network to {name}: a connection comes up"));
                let generation = for_accept.generation.load(Ordering::Relaxed);
                for to_server in [true, false] {
                    let (from, to) = if to_server { (&near, &far) } else { (&far, &near) };
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let (shared, name) = (for_accept.clone(), name.clone());
                    thread::spawn(move || carry(from, to, to_server, generation, &shared, &name));
                }
            }
        });
        Self { address, shared, fillers: Mutex::default() }
    }

    /// Cuts the server off; returns since when.
    pub fn cut(&self) -> f64 {
        let listener = lock(&self.shared.listener);
        self.shared.cut.store(true, Ordering::Relaxed);
        let cut_at = now();
        let fd = listener.as_ref().map_or(-1, |listener| listener.as_raw_fd());
        // Once one connection waits to be accepted, the kernel drops further ones.
        if unsafe { listen(fd, 0) } != 0 {
            cannot_run("listen");
        }
        for _ in 0..3 {
            if let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100)) {
                lock(&self.fillers).push(stream);
            }
        }
        note("the network is cut");
        cut_at
    }

    /// Carries again what it holds, and all that follows.
    pub fn heal(&self) {
        let listener = lock(&self.shared.listener);
        for _ in lock(&self.fillers).drain(..) {
            let _ = listener.as_ref().map(|listener| listener.accept());
        }
        let fd = listener.as_ref().map_or(-1, |listener| listener.as_raw_fd());
        if unsafe { listen(fd, 128) } != 0 {
            cannot_run("listen");
        }
        self.shared.cut.store(false, Ordering::Relaxed);
        note("the network is whole again");
    }

    /// The machine behind the network has gone: it forgets the connections that are open, and resets one when
    /// something arrives on it.
    pub fn forget_connections(&self) {
        self.shared.generation.fetch_add(1, Ordering::Relaxed);
    }
}

fn carry(
    mut from: TcpStream,
    mut to: TcpStream,
    to_server: bool,
    generation: u64,
    shared: &NetworkShared,
    name: &str,
) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(5)));
    let mut bytes = [0; 16 * 1024];
    loop {
        if shared.cut.load(Ordering::Relaxed) {
            sleep_ms(2.0);
            continue;
        }
        let gone = generation < shared.generation.load(Ordering::Relaxed);
        match from.peek(&mut bytes) {
            Ok(n) if n > 0 && gone => {
                if to_server {
                    note(&format!("network to {name}: bytes for a machine that has gone, connection reset"));
                    return reset(&from);
                }
                // What the machine had sent is lost with it.
                let _ = from.read(&mut bytes);
            }
            Ok(n) if n > 0 => {
                let n = from.read(&mut bytes).unwrap_or(0);
                if shared.cut.load(Ordering::Relaxed) {
                    while shared.cut.load(Ordering::Relaxed) {
                        sleep_ms(2.0);
                    }
                }
                if to.write_all(&bytes[..n]).is_err() {
                    return;
                }
            }
            Ok(_) if gone => sleep_ms(5.0),
            Ok(_) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) if gone => return,
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// Resets a connection, whatever other handles of it are open: dissolving the association makes the kernel do so.
fn reset(stream: &TcpStream) {
    let unspecified = [0u8; 16];
    unsafe { connect(stream.as_raw_fd(), unspecified.as_ptr(), 16) };
}

// ---------------------------------------------------------------------------------------------------- callers

#[derive(Clone, Debug)]
pub struct Answer {
    pub at: f64,
    pub op: String,
    pub why: i64,
}

#[derive(Default)]
pub struct CallerState {
    /// What came for each call, in order.
    pub answers: BTreeMap<String, Vec<Answer>>,
    /// When the connection ended.
    pub ended: Option<f64>,
}

/// A caller's connection.
pub struct Caller {
    stream: Mutex<TcpStream>,
    pub state: Arc<Mutex<CallerState>>,
    name: String,
    quiet: bool,
}

/// The text of a string field, or the digits of a number field.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = &line[start..];
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next(),
    }
}

impl Caller {
    pub fn connect(name: &str, proxy: SocketAddr, quiet: bool) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&proxy, Duration::from_secs(2)).ok()?;
        let _ = stream.set_nodelay(true);
        let mut reader = stream.try_clone().ok()?;
        let state: Arc<Mutex<CallerState>> = Arc::default();
        let (shared, who) = (state.clone(), name.to_owned());
        thread::spawn(move || {
            let mut buffer = Vec::new();
            let mut bytes = [0; 16 * 1024];
            while let Ok(n) = reader.read(&mut bytes) {
                if n == 0 {
                    break;
                }
                buffer.extend_from_slice(&bytes[..n]);
                while let Some(end) = buffer.iter().position(|&b| b == b'\n') {
                    let line: Vec<u8> = buffer.drain(..=end).collect();
                    let line = String::from_utf8_lossy(&line).to_string();
                    let op = field(&line, "op").unwrap_or("").to_owned();
                    let call = field(&line, "call").unwrap_or("").to_owned();
                    let why = field(&line, "why").and_then(|why| why.trim().parse().ok()).unwrap_or(-1);
                    if !quiet {
                        note(&format!("{who}: gets {op} {call} cause {why}"));
                    }
                    let answer = Answer { at: now(), op, why };
                    if !quiet || answer.op == "tested" {
                        lock(&shared).answers.entry(call).or_default().push(answer);
                    }
                }
            }
            lock(&shared).ended = Some(now());
        });
        Some(Self { stream: Mutex::new(stream), state, name: name.to_owned(), quiet })
    }

    pub fn send(&self, text: &str) -> bool {
        lock(&self.stream).write_all(text.as_bytes()).is_ok()
    }

    pub fn offer(&self, call: &str, class: &str, left: u32, dest: u16) -> bool {
        if !self.quiet {
            note(&format!("{}: sends set-up {call} for pool {dest}", self.name));
        }
        self.send(&offer_line(call, class, left, dest))
    }

    /// Gives a set-up up, or ends a call that stands.
    pub fn end(&self, call: &str) -> bool {
        if !self.quiet {
            note(&format!("{}: sends end {call}", self.name));
        }
        self.send(&end_line(call))
    }

    pub fn answers(&self, call: &str) -> Vec<Answer> {
        lock(&self.state).answers.get(call).cloned().unwrap_or_default()
    }

    pub fn stands(&self, call: &str) -> bool {
        self.answers(call).first().is_some_and(|answer| answer.op == "accept")
    }
}

pub fn offer_line(call: &str, class: &str, left: u32, dest: u16) -> String {
    format!(
        "{{\"op\":\"offer\",\"call\":\"{call}\",\"with\":{{\"class\":\"{class}\",\"left\":\"{left}\",\"key\":\"{call}\",\
         \"extras\":\"dest:{dest};width:1;via:-1\"}},\"desc\":\"{call}\\r\\nc=IN IP4 127.0.0.1\\r\\n\"}}\n"
    )
}

pub fn end_line(call: &str) -> String {
    format!("{{\"op\":\"end\",\"call\":\"{call}\",\"with\":{{}},\"why\":16}}\n")
}

static LAST_CALL: AtomicU64 = AtomicU64::new(0x9b1f_03aa_0000_0000);

/// A call id that was not used before.
pub fn new_call() -> String {
    format!("{:016x}", LAST_CALL.fetch_add(1, Ordering::Relaxed))
}

// ---------------------------------------------------------------------------------------------- border proxies

/// A service grade.
pub struct Class {
    pub name: &'static str,
    pub quoted: f64,
    pub worth: f64,
    pub late_worth: f64,
    pub hold: f64,
}

/// The figures of a deployment that the cases set.
pub struct Deployment {
    pub proxies: usize,
    pub pools: usize,
    /// Names of the figures in reports.
    pub names: &'static str,
    pub classes: &'static [Class],
    pub limit: f64,
    pub may_probe: bool,
    pub release: f64,
    pub repeat: f64,
    pub drain_grace: f64,
    pub cold: f64,
    pub cold_from: f64,
    pub factor: f64,
    pub fall: f64,
    pub cores: f64,
    pub memory_mb: u64,
}

impl Deployment {
    /// One border proxy and two central servers with the figures of istanbul-main.
    pub fn istanbul_main() -> Self {
        Self {
            proxies: 1,
            pools: 2,
            names: "idle,circuits,pending,max_rate",
            classes: &[
                Class { name: "thread-open", quoted: 2.0, worth: 1.0, late_worth: 0.1, hold: 8.1 },
                Class { name: "slot-set", quoted: 2.0, worth: 2.0, late_worth: 0.25, hold: 12.2 },
                Class { name: "seat-check", quoted: 1.5, worth: 1.0, late_worth: 0.1, hold: 5.7 },
            ],
            limit: 9.0,
            may_probe: true,
            release: 0.3,
            repeat: 0.5,
            drain_grace: 0.5,
            cold: 14.0,
            cold_from: 0.28,
            factor: 2.5,
            fall: 1.0,
            cores: 1.0,
            memory_mb: 192,
        }
    }

    /// The object `settings` of the configuration.
    pub fn settings(&self, rank: usize) -> String {
        let pools: Vec<String> = (0..self.pools).map(|pool| pool.to_string()).collect();
        let names: Vec<String> = self.names.split(',').map(|name| format!("\"{name}\"")).collect();
        let Self { proxies, limit, may_probe, release, repeat, .. } = self;
        let joined = |item: &dyn Fn(&Class) -> String| {
            self.classes.iter().map(item).collect::<Vec<String>>().join(",")
        };
        let holds = joined(&|class| class.hold.to_string());
        let widths = joined(&|_| "1".to_owned());
        let pools_by_class = joined(&|_| format!("[{}]", pools.join(",")));
        let profiles = joined(&|class| {
            let Class { name, quoted, worth, late_worth, .. } = class;
            format!(
                r#"{{"deadline":{limit},"dedup_scope":"all","effect":"repeatable","late_worth":{late_worth},"name":"{name}","objective":{quoted},"streamed":true,"window":5.0,"worth":{worth}}}"#
            )
        });
        let Self { drain_grace, cold, cold_from, factor, fall, .. } = self;
        format!(
            r#"{{"areas":["z1"],"balancers":{proxies},"bounds":{{"cancel":true,"conn_idle":600.0,"connect_timeout":0.5,
"cpu_us_per_request":0.0,"cpu_us_per_s":300000,"max_attempts":4,"max_retry_after":2.0,"max_streams":1048576,
"may_probe":{may_probe},"open_cap":20000,"peers":false,"retry_after":false,"second_copies":false}},
"callers":{{"marks_retry":true}},"counted_by":"request","discovery":"pushed",
"domain":{{"advice":false,"channels_needed":[{widths}],"clear_wait":{release},"far_state":"piggyback","gives_wait":false,
"mean_hold":[{holds}],"network_form":"skills","pools_by_class":[{pools_by_class}],"repeat":{repeat},"self_no":-1}},
"family":"trunks","feedback":{{"how":"piggyback","names":[{}]}},"layers":["servers"],"over_share_worth":0.2,
"profiles":[{profiles}],
"rank":{rank},"rules":{{"answer_slack":0.02,"ask_within":10.0,"cold":{cold},"cold_from":{cold_from},
"drain_grace":{drain_grace},"fall":{fall},"overload_factor":{factor}}},"skus":["std"],"stage":0,"tick":0.005,
"weight_kind":"silent","zone":0}}"#,
            names.join(",")
        )
        .replace('\n', "")
    }
}

/// A folder that is removed at the end.
pub fn folder() -> PathBuf {
    let base = std::env::var("FOLDER").unwrap_or_else(|_| cannot_run("FOLDER is not set"));
    PathBuf::from(base)
}

/// A border proxy's process, started by the deploy file's command.
pub struct Proxy {
    pub name: String,
    pub listen: SocketAddr,
    child: Child,
    file: PathBuf,
}

fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    listener.local_addr().unwrap()
}

pub fn configuration(
    name: &str,
    listen: SocketAddr,
    deployment: &Deployment,
    rank: usize,
    change_log: &ChangeLog,
    address: SocketAddr,
) -> String {
    let Deployment { cores, memory_mb, .. } = deployment;
    let seed = 0x8c1f_30d2_7a5b_e964_u64 ^ (unix_ms() as u64).wrapping_mul(0x9e37_79b9) ^ rank as u64;
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"{seed:016x}","limits":{{"cores":{cores:.1},"memory_mb":{memory_mb},"sockets":512}},
"changelog":"{address}","known":{},"settings":{}}}"#,
        change_log.known(),
        deployment.settings(rank)
    )
}

impl Proxy {
    /// Starts a proxy and waits until it passes a test.
    pub fn start(name: &str, deployment: &Deployment, rank: usize, change_log: &ChangeLog) -> Self {
        let listen = free_port();
        let file = folder().join(format!("{name}.json"));
        let text = configuration(name, listen, deployment, rank, change_log, change_log.address);
        if fs::write(&file, text).is_err() {
            cannot_run("the configuration could not be written");
        }
        let run = std::env::var("RUN").unwrap_or_else(|_| cannot_run("RUN is not set"));
        let log = File::create(folder().join(format!("{name}.log"))).unwrap();
        let mut command = Command::new("/bin/sh");
        // However this process ends, the border proxies end with it.
        let end_with_parent = || {
            unsafe { prctl(SET_SIGNAL_AT_END_OF_PARENT, SIGKILL as u64) };
            Ok(())
        };
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(["-c", &run])
            .env("LB_NAME", name)
            .env("LB_LISTEN", listen.to_string())
            .env("LB_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        lock(&CHILDREN).push(child.id() as i32);
        let mut proxy = Self { name: name.to_owned(), listen, child, file };
        let ready = wait_for(20_000.0, || {
            let Some(caller) = Caller::connect("tester", proxy.listen, true) else { return false };
            caller.send("{\"op\":\"test\",\"call\":\"00000000000000aa\",\"with\":{},\"why\":0}\n");
            wait_for(200.0, || !caller.answers("00000000000000aa").is_empty())
        });
        if !ready {
            proxy.stop();
            cannot_run(&format!("{name} did not get ready"));
        }
        note(&format!("{name} is ready at {listen}"));
        proxy
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        note(&format!("{}: signal {signal}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Writes a new configuration file and sends SIGHUP.
    pub fn reconfigure(&self, text: &str) {
        let new = self.file.with_extension("new");
        if fs::write(&new, text).is_err() || fs::rename(&new, &self.file).is_err() {
            cannot_run("the configuration could not be replaced");
        }
        self.signal(SIGHUP);
    }

    fn stop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
