//! The stand-ins as separate programs, for a proxy that is run by hand: [`server`], [`list`], [`callers`],
//! and a [`relay`] that loses, duplicates, delays and reorders datagrams between any two of them.

use std::collections::{HashMap, VecDeque};
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use anyhow::{Context, Result, ensure};
use border::pool::{PoolEntry, PoolUpdates, Readiness};
use bytes::{Bytes, BytesMut};
use iax2::Datagram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

use crate::drill::{Drill, LinkFaults};
use crate::drills::sockets::{MAX_DATAGRAM_BYTES, bind};
use crate::reports::summary::delay_histogram;
use crate::stand_ins::callers::Callers;
use crate::stand_ins::central::Central;
use crate::stand_ins::feed::Feed;
use crate::stand_ins::link::Link;
use crate::witness::{RuleChecker, Verdict};

/// How often a list's file is checked for changes.
const FILE_POLL_INTERVAL: Duration = Duration::from_millis(100);

struct Stopwatch {
    started_at: Instant,
    end: f64,
}

impl Stopwatch {
    fn new(seconds: Option<f64>) -> Self {
        Self { started_at: Instant::now(), end: seconds.map_or(f64::INFINITY, |s| s * 1000.0) }
    }

    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    fn is_over(&self) -> bool {
        self.now() >= self.end
    }

    /// Time until `due` or the end; an hour if neither is known.
    fn wait(&self, due: f64) -> Duration {
        let duration = (due.min(self.end) - self.now()).clamp(0.0, 3_600_000.0);
        Duration::from_secs_f64(duration / 1000.0)
    }
}

/// Receives a datagram, or nothing by `due`.
async fn arrival(
    socket: &UdpSocket,
    stopwatch: &Stopwatch,
    due: f64,
    buffer: &mut BytesMut,
) -> Option<(SocketAddr, Bytes)> {
    buffer.reserve(MAX_DATAGRAM_BYTES);
    // An error here concerns the peer of an earlier datagram; whoever waits for that peer detects it.
    let (_, from) =
        tokio::time::timeout(stopwatch.wait(due), socket.recv_buf_from(buffer)).await.ok()?.ok()?;
    Some((from, buffer.split().freeze()))
}

async fn send(socket: &UdpSocket, mut next: impl FnMut() -> Option<Datagram>) {
    while let Some(datagram) = next() {
        // A datagram that the network refuses is lost.
        let _ = socket.send_to(&datagram.bytes, datagram.peer).await;
    }
}

/// How a stand-in server behaves; times in seconds since its start.
pub struct ServerBehaviour {
    pub listen: SocketAddr,
    pub name: String,
    pub pool: u16,
    /// Conversations per second that it carries when warm and healthy.
    pub capacity: f64,
    pub cold: bool,
    pub slow: f64,
    /// From when and for how long it accepts set-ups without answering any.
    pub hang: Option<(f64, f64)>,
    /// When it stops sending anything.
    pub silent: f64,
    pub faulty: f64,
    pub lines: Option<usize>,
    pub reports: bool,
    pub seconds: Option<f64>,
}

/// Runs one stand-in server; prints its entry for the pool list once it listens.
pub async fn server(behaviour: ServerBehaviour) -> Result<()> {
    let socket = bind(behaviour.listen).with_context(|| format!("listening at {}", behaviour.listen))?;
    let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?.as_secs_f64() * 1000.0;
    let entry = PoolEntry {
        name: behaviour.name,
        address: socket.local_addr()?,
        state: Readiness::Running,
        pool: behaviour.pool,
        started: behaviour.cold.then_some(started.floor()),
    };
    println!("{}", serde_json::to_string(&entry)?);
    let stopwatch = Stopwatch::new(behaviour.seconds);
    let since = if behaviour.cold { 0.0 } else { f64::NEG_INFINITY };
    let rng = Pcg64Mcg::seed_from_u64(rand::rng().random());
    let mut central = Central::new(Drill::setup_work_for(behaviour.capacity), since, behaviour.reports, rng);
    central.slow = (f64::INFINITY, behaviour.slow);
    central.faulty = (f64::INFINITY, behaviour.faulty);
    central.lines = behaviour.lines.unwrap_or(usize::MAX);
    let mut buffer = BytesMut::new();
    while !stopwatch.is_over() {
        let arrived = arrival(&socket, &stopwatch, central.due(), &mut buffer).await;
        let now = stopwatch.now();
        if let Some((from, duration)) = behaviour.hang
            && now >= from * 1000.0
        {
            central.hung_until = (from + duration) * 1000.0;
        }
        if now >= behaviour.silent * 1000.0 {
            continue;
        }
        if let Some((from, bytes)) = arrived {
            central.receive(now, from, &bytes);
        }
        central.turn(now);
        send(&socket, || central.datagram()).await;
    }
    Ok(())
}

/// Reads the entries of a list's file: one JSON object per line.
fn entries(file: &Path) -> Result<Vec<PoolEntry>> {
    let text = fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let read = |(i, line): (usize, &str)| -> Result<PoolEntry> {
        serde_json::from_str(line).with_context(|| format!("{}, line {}", file.display(), i + 1))
    };
    let entries = lines.map(read).collect::<Result<Vec<PoolEntry>>>()?;
    PoolUpdates::read(&PoolUpdates { version: 1, whole: true, servers: entries.clone() }.write())?;
    Ok(entries)
}

/// Serves the pool list in a file, and its changes `late` seconds after they are found in the file.
pub async fn list(listen: SocketAddr, file: &Path, late: f64, seconds: Option<f64>) -> Result<()> {
    let listener = TcpListener::bind(listen).await.with_context(|| format!("listening at {listen}"))?;
    println!("{}", serde_json::json!({ "feed": listener.local_addr()? }));
    let stopwatch = Stopwatch::new(seconds);
    let mut current = entries(file)?;
    let mut feed = Feed::new(1, &current);
    let (sender, mut receiver) = mpsc::unbounded_channel::<OwnedWriteHalf>();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                let (from, to) = stream.into_split();
                let mut request = String::new();
                if BufReader::new(from).read_line(&mut request).await.is_ok_and(|read| read > 0) {
                    let _ = sender.send(to);
                }
            });
        }
    });
    let mut subscribers: Vec<OwnedWriteHalf> = Vec::new();
    while !stopwatch.is_over() {
        let wait = stopwatch.wait(stopwatch.now() + FILE_POLL_INTERVAL.as_secs_f64() * 1000.0);
        if let Ok(Some(mut subscriber)) = tokio::time::timeout(wait, receiver.recv()).await
            && subscriber.write_all(feed.whole(0).write().as_bytes()).await.is_ok()
        {
            subscribers.push(subscriber);
        }
        let now = stopwatch.now();
        match entries(file) {
            Ok(updates) => {
                for entry in changes(&current, &updates) {
                    feed.change(&entry, |_| now + late * 1000.0);
                }
                current = updates;
            }
            // A file that is being written is read again at the next check.
            Err(error) => eprintln!("list: {error:#}"),
        }
        for (_, updates) in feed.deliver(now) {
            let line = updates.write();
            let mut remaining = Vec::new();
            for mut subscriber in subscribers.drain(..) {
                if subscriber.write_all(line.as_bytes()).await.is_ok() {
                    remaining.push(subscriber);
                }
            }
            subscribers = remaining;
        }
    }
    Ok(())
}

/// The changes from one list to the next; an entry that is missing from the new list is gone.
fn changes(from: &[PoolEntry], to: &[PoolEntry]) -> Vec<PoolEntry> {
    let gone = from.iter().filter(|old| !to.iter().any(|new| new.name == old.name));
    let gone = gone.map(|old| PoolEntry { state: Readiness::Gone, ..old.clone() });
    to.iter().filter(|new| !from.contains(new)).cloned().chain(gone).collect()
}

/// Runs callers of some proxies; the drill determines who calls how often and for how long. Returns false if
/// an accepted conversation did not get exactly one final answer in time.
pub async fn callers(drill: Drill, proxies: &[SocketAddr]) -> Result<bool> {
    ensure!(!proxies.is_empty(), "no proxy to call");
    let socket = bind(crate::drills::sockets::loopback())?;
    let mut drill = drill;
    drill.fleet.proxies = proxies.len();
    let max_wait = drill.grades.iter().map(|grade| grade.limit).fold(drill.load.caller_timeout, f64::max);
    let stopwatch = Stopwatch::new(Some(drill.seconds + max_wait));
    let mut callers = Callers::new(&drill, Pcg64Mcg::seed_from_u64(drill.seed));
    callers.proxies = proxies.iter().copied().map(Some).collect();
    let mut checker = RuleChecker::new(crate::drills::sockets::CLOCK_SLACK_MS, None);
    let mut buffer = BytesMut::new();
    while !stopwatch.is_over() {
        if let Some((from, bytes)) = arrival(&socket, &stopwatch, callers.due(), &mut buffer).await {
            checker.to_caller(stopwatch.now(), &bytes, |number| callers.try_of_call_number(from, number));
            callers.receive(stopwatch.now(), &drill, from, &bytes);
        }
        callers.turn(stopwatch.now(), &drill);
        while let Some(datagram) = callers.datagram() {
            let tries = &callers.tries;
            let of = |number: usize| (tries[number].proxy, tries[number].until);
            checker.from_caller(stopwatch.now(), datagram.peer, &datagram.bytes, of);
            callers.record_sent(&datagram);
            let _ = socket.send_to(&datagram.bytes, datagram.peer).await;
        }
    }
    checker.close(stopwatch.now());
    let Verdict { checked, broken, examples } = &checker.verdicts[0];
    let mut delays = delay_histogram();
    let answered = callers.people.iter().filter_map(|person| Some(person.answered_at? - person.first_at));
    answered.for_each(|delay| delays.saturating_record(delay.max(1.0) as u64));
    let (worth, earned) = callers.people.iter().fold((0.0, 0.0), |sum, person| {
        let (worth, earned) = callers.earned(&drill, person);
        (sum.0 + worth, sum.1 + earned)
    });
    println!(
        "{} callers, {} tries; {} answered, {} cut; earned {:.1}%; set-up p50 {} ms, p99 {} ms",
        callers.people.len(),
        callers.tries.iter().filter(|t| t.started_at.is_finite()).count(),
        callers.people.iter().filter(|person| person.answered_at.is_some()).count(),
        callers.people.iter().filter(|person| person.cut).count(),
        100.0 * earned / f64::max(worth, 1.0),
        delays.value_at_quantile(0.5),
        delays.value_at_quantile(0.99),
    );
    println!("one answer, in time: {checked} checked, {broken} broken");
    examples.iter().for_each(|example| println!("BROKEN: {example}"));
    Ok(*broken == 0)
}

/// Forwards datagrams between its clients and `to`, with the link's faults in each direction.
pub async fn relay(
    listen: SocketAddr,
    to: SocketAddr,
    faults: LinkFaults,
    seed: u64,
    seconds: Option<f64>,
) -> Result<()> {
    let front = Arc::new(bind(listen).with_context(|| format!("listening at {listen}"))?);
    println!("{}", serde_json::json!({ "relay": front.local_addr()? }));
    let stopwatch = Stopwatch::new(seconds);
    let mut link = Link::new(faults, Pcg64Mcg::seed_from_u64(seed));
    let (sender, mut receiver) = mpsc::unbounded_channel::<(SocketAddr, Bytes)>();
    let mut return_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut in_transit: VecDeque<(f64, Arc<UdpSocket>, SocketAddr, Bytes)> = VecDeque::new();
    let mut buffer = BytesMut::new();
    while !stopwatch.is_over() {
        let due = in_transit.iter().map(|datagram| datagram.0).fold(f64::INFINITY, f64::min);
        let datagram = tokio::select! {
            Some((client, bytes)) = receiver.recv() => Some((front.clone(), client, bytes)),
            datagram = arrival(&front, &stopwatch, due, &mut buffer) => match datagram {
                None => None,
                Some((client, bytes)) => {
                    let return_socket = match return_sockets.get(&client) {
                        Some(return_socket) => return_socket.clone(),
                        None => {
                            let return_socket = Arc::new(bind(crate::drills::sockets::loopback())?);
                            tokio::spawn(forward_replies(return_socket.clone(), client, sender.clone()));
                            return_sockets.insert(client, return_socket.clone());
                            return_socket
                        }
                    };
                    Some((return_socket, to, bytes))
                }
            }
        };
        let now = stopwatch.now();
        if let Some((socket, peer, bytes)) = datagram {
            in_transit.extend(link.pass(now).map(|at| (at, socket.clone(), peer, bytes.clone())));
        }
        let mut remaining = VecDeque::new();
        for (at, socket, peer, bytes) in in_transit.drain(..) {
            if at <= now {
                let _ = socket.send_to(&bytes, peer).await;
            } else {
                remaining.push_back((at, socket, peer, bytes));
            }
        }
        in_transit = remaining;
    }
    Ok(())
}

async fn forward_replies(
    return_socket: Arc<UdpSocket>,
    client: SocketAddr,
    sender: mpsc::UnboundedSender<(SocketAddr, Bytes)>,
) {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(MAX_DATAGRAM_BYTES);
        if return_socket.recv_buf_from(&mut buffer).await.is_err() {
            continue;
        }
        if sender.send((client, buffer.split().freeze())).is_err() {
            return;
        }
    }
}
