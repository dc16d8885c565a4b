//! Drives one border proxy where the platform's protocol is spoken: connections, the change log, the clock
//! and signals in; bytes out. Nothing is decided here. [`serve`] runs it as the platform starts it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::env;
use std::fs;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use bytes::{Buf, Bytes, BytesMut};
use platform::{Border, Broke, Conn, Order, Plan};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{AbortHandle, LocalSet};

use crate::clock::{Clock, unix};
use crate::watch_log;

/// Bytes read from a connection at a time, so that each gets its turn.
const READ: usize = 16 * 1024;
/// Arrivals that wait to be told; past that they wait in the sockets.
const QUEUE: usize = 256;
/// Arrivals told between two decisions.
const BATCH: usize = 128;
/// Bytes that wait for a connection which does not read; past that it is closed.
const OUTBOX: usize = 256 * 1024;
/// A connection that was dismissed reads on for so long, and no more than so many bytes, so that what it was
/// told last is not lost with what it still sends.
const DISMISSED: Duration = Duration::from_millis(2000);
const DISCARDED: usize = 128 << 20;
/// Between two looks after accepting failed, as it does without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// After SIGTERM set-ups still come for so long.
const STOPPING: f64 = 750.0;
/// Between two log lines that hold beliefs against sockets.
const BELIEFS: f64 = 1000.0;

enum Arrival {
    Caller(TcpStream, SocketAddr),
    Up(Conn, TcpStream),
    Bytes(Conn, Bytes),
    Broke(Conn, Broke),
}

/// What is kept of one connection.
struct Wire {
    stream: Rc<TcpStream>,
    outbox: Rc<RefCell<BytesMut>>,
    /// There is something in the outbox.
    filled: Rc<Notify>,
    dismissed: Rc<Cell<bool>>,
    tasks: [AbortHandle; 2],
}

impl Drop for Wire {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

struct Wires {
    wires: HashMap<Conn, Wire>,
    dials: HashMap<Conn, AbortHandle>,
    arrivals: mpsc::Sender<Arrival>,
    peers: Option<(UdpSocket, SocketAddr)>,
}

impl Wires {
    fn add(&mut self, conn: Conn, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let stream = Rc::new(stream);
        let outbox = Rc::new(RefCell::new(BytesMut::new()));
        let (filled, dismissed) = (Rc::new(Notify::new()), Rc::new(Cell::new(false)));
        let read =
            tokio::task::spawn_local(read(conn, stream.clone(), dismissed.clone(), self.arrivals.clone()));
        let write = write(stream.clone(), outbox.clone(), filled.clone(), dismissed.clone());
        let write = tokio::task::spawn_local(write);
        let tasks = [read.abort_handle(), write.abort_handle()];
        self.wires.insert(conn, Wire { stream, outbox, filled, dismissed, tasks });
    }

    /// False where the connection takes no more.
    fn write(&mut self, conn: Conn, mut bytes: Bytes) -> bool {
        let Some(wire) = self.wires.get(&conn) else { return true };
        let mut outbox = wire.outbox.borrow_mut();
        while outbox.is_empty() && !bytes.is_empty() {
            match wire.stream.try_write(&bytes) {
                Ok(n) => bytes.advance(n),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // The reader hears of it too.
                Err(_) => return true,
            }
        }
        if bytes.is_empty() {
            return true;
        }
        if outbox.len() + bytes.len() > OUTBOX {
            return false;
        }
        outbox.extend_from_slice(&bytes);
        wire.filled.notify_one();
        true
    }

    fn dial(&mut self, conn: Conn, address: SocketAddr, within: f64) {
        let arrivals = self.arrivals.clone();
        let dial = tokio::task::spawn_local(async move {
            let within = Duration::from_secs_f64(within / 1000.0);
            let arrival = match tokio::time::timeout(within, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => Arrival::Up(conn, stream),
                Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                    Arrival::Broke(conn, Broke::Refused)
                }
                Ok(Err(_)) => Arrival::Broke(conn, Broke::Closed),
                Err(_) => Arrival::Broke(conn, Broke::TimedOut),
            };
            let _ = arrivals.send(arrival).await;
        });
        self.dials.insert(conn, dial.abort_handle());
    }

    /// The connection ends once it has nothing more to send.
    fn dismiss(&mut self, conn: Conn) {
        let Some(wire) = self.wires.get(&conn) else { return };
        wire.dismissed.set(true);
        wire.filled.notify_one();
    }

    /// Carries an order out; gives a connection that takes no more.
    fn carry_out(&mut self, order: Order) -> Option<Conn> {
        match order {
            Order::Dial { conn, address, within } => self.dial(conn, address, within),
            Order::Write { conn, bytes } => {
                if !self.write(conn, bytes) {
                    self.wires.remove(&conn);
                    return Some(conn);
                }
            }
            Order::Close { conn } => {
                self.wires.remove(&conn);
                if let Some(dial) = self.dials.remove(&conn) {
                    dial.abort();
                }
            }
            Order::Dismiss { conn } => self.dismiss(conn),
            Order::Tell { bytes } => {
                if let Some((socket, all)) = &self.peers {
                    let _ = socket.try_send_to(&bytes, *all);
                }
            }
        }
        None
    }
}

/// Reads a connection for as long as it lasts.
async fn read(conn: Conn, stream: Rc<TcpStream>, dismissed: Rc<Cell<bool>>, arrivals: mpsc::Sender<Arrival>) {
    let mut discarded = 0;
    let mut end = None;
    loop {
        if dismissed.get() && end.is_none() {
            end = Some(tokio::time::Instant::now() + DISMISSED);
        }
        // A dismissed connection is looked at again before long, though it may say nothing.
        let wait = end.map_or(Duration::from_millis(250), |end| end - tokio::time::Instant::now());
        match tokio::time::timeout(wait, stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => break,
            Err(_) if end.is_some() => break,
            Err(_) => continue,
        }
        // No buffer is held while the connection is idle.
        let mut buffer = BytesMut::with_capacity(READ);
        match stream.try_read_buf(&mut buffer) {
            Ok(0) => break,
            Ok(n) if dismissed.get() => {
                discarded += n;
                if discarded > DISCARDED {
                    break;
                }
                tokio::task::yield_now().await;
            }
            Ok(_) => {
                if arrivals.send(Arrival::Bytes(conn, Bytes::copy_from_slice(&buffer))).await.is_err() {
                    return;
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    let _ = arrivals.send(Arrival::Broke(conn, Broke::Closed)).await;
}

/// Writes what found no room at once; a dismissed connection says no more after that.
async fn write(
    stream: Rc<TcpStream>,
    outbox: Rc<RefCell<BytesMut>>,
    filled: Rc<Notify>,
    dismissed: Rc<Cell<bool>>,
) {
    loop {
        filled.notified().await;
        while !outbox.borrow().is_empty() {
            if stream.writable().await.is_err() {
                return;
            }
            let mut outbox = outbox.borrow_mut();
            match stream.try_write(&outbox) {
                Ok(n) => outbox.advance(n),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        *outbox.borrow_mut() = BytesMut::new();
        if dismissed.get() {
            let _ = socket2::SockRef::from(&*stream).shutdown(std::net::Shutdown::Write);
            return;
        }
    }
}

async fn accept(listener: TcpListener, arrivals: mpsc::Sender<Arrival>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                if arrivals.send(Arrival::Caller(stream, from)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                tracing::warn!("accept.failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn read_plan(path: &str) -> Result<Plan> {
    let text = fs::read_to_string(path).with_context(|| path.to_owned())?;
    Plan::read(&text).with_context(|| path.to_owned())
}

/// Runs the proxy until SIGTERM, and until what it has taken then is answered.
pub async fn serve() -> Result<()> {
    let path = env::var("LB_CONFIG").context("LB_CONFIG names the configuration and is not set")?;
    let plan = read_plan(&path)?;
    let listen = match env::var("LB_LISTEN") {
        Ok(listen) => listen.parse().with_context(|| format!("LB_LISTEN has no use for {listen:?}"))?,
        Err(_) => plan.listen,
    };
    LocalSet::new().run_until(run(path, plan, listen)).await
}

fn bind_peers(plan: &Plan) -> Result<Option<(UdpSocket, SocketAddr)>> {
    let Some((own, all)) = plan.peer_listen.zip(plan.peers_all) else { return Ok(None) };
    let socket = std::net::UdpSocket::bind(own).with_context(|| format!("peer_listen {own}"))?;
    socket.set_nonblocking(true)?;
    Ok(Some((UdpSocket::from_std(socket)?, all)))
}

fn bind(listen: SocketAddr) -> Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let bound = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(listen), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&listen.into())?;
        socket.listen(1024)?;
        TcpListener::from_std(socket.into())
    };
    bound().with_context(|| format!("listening on {listen}"))
}

async fn run(path: String, plan: Plan, listen: SocketAddr) -> Result<()> {
    let clock = Clock(Instant::now());
    let mut border = Border::new(&plan, clock.now(), unix())?;
    let (arrivals_in, mut arrivals) = mpsc::channel(QUEUE);
    let peers = bind_peers(&plan)?;
    let mut wires =
        Wires { wires: HashMap::new(), dials: HashMap::new(), arrivals: arrivals_in.clone(), peers };
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let mut hang_up = signal(SignalKind::hangup())?;
    let (changelog, changelog_out) = watch::channel(plan.changelog);
    let (news_in, mut news) = mpsc::channel(16);
    tokio::task::spawn_local(watch_log::follow(changelog_out, plan.last(), plan.seed, news_in));
    let listener = bind(listen)?;
    let accepting = tokio::task::spawn_local(accept(listener, arrivals_in));
    tracing::info!(name = plan.name, %listen, sockets = plan.limits.sockets, "proxy.ready");

    let mut stop_at = None;
    let mut beliefs_at = 0.0;
    loop {
        while let Some(order) = border.order() {
            if let Some(conn) = wires.carry_out(order) {
                border.broke(clock.now(), conn, Broke::Closed);
                border.settle();
            }
        }
        let wait = Duration::from_secs_f64((border.due() - clock.now()).clamp(0.0, 1000.0) / 1000.0);
        let mut first = None;
        let mut change = None;
        tokio::select! {
            arrival = arrivals.recv() => first = arrival,
            Some(found) = news.recv() => change = Some(found),
            _ = terminate.recv() => stop_at = stop_at.or(Some(clock.now() + STOPPING)),
            _ = interrupt.recv() => stop_at = stop_at.or(Some(clock.now() + STOPPING)),
            _ = hang_up.recv() => match read_plan(&path) {
                Ok(plan) => drop(changelog.send_replace(plan.changelog)),
                Err(error) => tracing::warn!("configuration.kept: {error:#}"),
            },
            () = tokio::time::sleep(wait) => {}
        }
        let now = clock.now();
        if let Some(change) = change {
            tracing::debug!(version = change.version, whole = change.whole, "changelog.news");
            if let Err(error) = border.listed(now, unix(), &change) {
                tracing::warn!("changelog.unfit: {error}");
            }
        }
        let more = std::iter::from_fn(|| arrivals.try_recv().ok()).take(BATCH);
        for arrival in first.into_iter().chain(more) {
            match arrival {
                Arrival::Caller(stream, from) => {
                    let conn = border.accepted(now, from.ip());
                    wires.add(conn, stream);
                }
                Arrival::Up(conn, stream) => {
                    if wires.dials.remove(&conn).is_some() {
                        wires.add(conn, stream);
                        border.connected(now, conn);
                    }
                }
                Arrival::Bytes(conn, bytes) => border.received(now, conn, &bytes),
                Arrival::Broke(conn, how) => {
                    wires.wires.remove(&conn);
                    wires.dials.remove(&conn);
                    border.broke(now, conn, how);
                }
            }
        }
        border.turn(now);
        border.settle();
        if now >= beliefs_at && tracing::enabled!(tracing::Level::DEBUG) {
            beliefs_at = now + BELIEFS;
            border.beliefs().iter().for_each(|line| tracing::debug!("beliefs {line}"));
        }
        if let Some(at) = stop_at {
            border.stop();
            if now >= at {
                accepting.abort();
                if border.open() == 0 {
                    break;
                }
            }
        }
    }
    // What was said last leaves before the connections close.
    while let Some(order) = border.order() {
        wires.carry_out(order);
    }
    let tally = border.tally();
    tracing::info!(?tally, "proxy.stopped");
    Ok(())
}
