//! Drives one border proxy where the platform's protocol is spoken: connections, the change log, the clock
//! and signals in; bytes out. Nothing is decided here. [`serve`] runs it as the platform starts it.

use std::env;
use std::fs;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use platform::{Action, Border, ConnectionError, ConnectionId, PlatformConfig, QueuedAttempt};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

use crate::clock::{Clock, unix};
use crate::connections::{Arrival, Found, Wires};
use crate::watch_log::{self, Had};

/// Arrivals told between two decisions, and callers' connections taken on.
const BATCH: usize = 128;
const ACCEPTED: usize = 16;
/// Between two looks after accepting failed, as it does without descriptors.
const ACCEPT_PAUSE: f64 = 50.0;
/// A former process of this proxy may not have let go of the address yet: it is tried again so often, for as long as a
/// start may take.
const BIND_PAUSE: Duration = Duration::from_millis(20);
const BIND_WITHIN: Duration = Duration::from_secs(30);
/// Between two tries to read a new configuration that can't be read yet.
const RELOAD_PAUSE: f64 = 100.0;
/// After SIGTERM set-ups still come for so long.
const STOPPING: f64 = 750.0;
/// What is owed when that is over, but for answers to set-ups, waits no longer than this: a release is due
/// within a second, and connections that take nothing are given up.
const OWED: f64 = 1000.0;
/// When all is said, connections are read for so long at most before they are closed.
const LAST_READ: Duration = Duration::from_millis(100);
/// Reads of one connection in one look at it.
const LOOKS: usize = 4;
/// Between two log lines that hold beliefs against sockets.
const BELIEFS: f64 = 1000.0;

/// The signals that mean something, from the first moment on.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

/// The proxy with its sockets.
struct Served {
    border: Border,
    wires: Wires,
    peers: Option<(UdpSocket, SocketAddr)>,
    clock: Clock,
}

impl Served {
    /// Carries out all that is ordered; what comes of it is told and decided on too.
    fn carry_out(&mut self) {
        loop {
            let mut told = false;
            while let Some(order) = self.border.next_action() {
                told |= self.carry(order);
            }
            if !told {
                return;
            }
            self.border.run_pending();
        }
    }

    /// Carries an order out; true where something was told.
    fn carry(&mut self, order: Action) -> bool {
        match order {
            Action::Dial { conn, address, timeout } => self.wires.dial(conn, address, timeout),
            Action::Write { conn, bytes } => {
                if !self.wires.write(conn, bytes) {
                    return self.broke(conn, ConnectionError::Closed);
                }
            }
            Action::SendAttempt(set_up) => return self.send(set_up),
            Action::Cancel { attempt: set_up, bytes } => {
                // Where part of it is still here, it never reaches the server whole.
                if self.wires.is_unfinished(set_up) || !self.wires.write(set_up.conn, bytes) {
                    return self.broke(set_up.conn, ConnectionError::Closed);
                }
            }
            Action::Evict { conn } => {
                self.look(conn);
                self.border.evict(self.clock.now(), conn);
                return true;
            }
            Action::Close { conn } => self.wires.close(conn),
            Action::FlushAndClose { conn } => self.wires.dismiss(conn),
            Action::Broadcast { bytes } => {
                if let Some((socket, all)) = &self.peers {
                    let _ = socket.try_send_to(&bytes, *all);
                }
            }
        }
        false
    }

    fn broke(&mut self, conn: ConnectionId, how: ConnectionError) -> bool {
        self.wires.close(conn);
        self.border.connection_failed(self.clock.now(), conn, how);
        true
    }

    /// Sends an attempt, unless its connection takes nothing now or its caller turns out to have gone.
    fn send(&mut self, set_up: QueuedAttempt) -> bool {
        if self.wires.is_choked(set_up.conn) {
            self.wires.wait_with(set_up);
            return false;
        }
        let told = self.look(set_up.caller);
        let Some(bytes) = self.border.send_attempt(self.clock.now(), set_up) else { return true };
        if !self.wires.write(set_up.conn, bytes) {
            return self.broke(set_up.conn, ConnectionError::Closed);
        }
        self.wires.written(set_up);
        told
    }

    /// Tells all that a connection holds by now; false where that is nothing.
    fn look(&mut self, conn: ConnectionId) -> bool {
        let mut told = false;
        for _ in 0..LOOKS {
            let found = self.wires.look(conn);
            if !self.tell(conn, found) {
                break;
            }
            told = true;
        }
        told
    }

    /// Tells what was found at a connection; false where that is nothing.
    fn tell(&mut self, conn: ConnectionId, found: Found) -> bool {
        match found {
            Found::Bytes(bytes) => self.border.receive(self.clock.now(), conn, &bytes),
            Found::Nothing => return false,
            Found::End => return self.broke(conn, ConnectionError::Closed),
        }
        true
    }

    fn arrived(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Up(conn, stream) => {
                if self.wires.up(conn, stream) {
                    self.border.connected(self.clock.now(), conn);
                }
            }
            Arrival::Readable(conn) => {
                let found = self.wires.read(conn);
                self.tell(conn, found);
            }
            Arrival::Drained(conn) => {
                for set_up in self.wires.drained(conn) {
                    self.send(set_up);
                }
            }
            Arrival::Broke(conn, how) => {
                self.broke(conn, how);
            }
        }
    }

    fn accepted(&mut self, stream: TcpStream, from: SocketAddr) {
        let conn = self.border.caller_connected(self.clock.now(), from.ip());
        self.wires.add(conn, stream);
    }

    /// Takes on the callers that have connected by now, some at a time; gives how many.
    fn accept(&mut self, listener: &TcpListener) -> io::Result<usize> {
        for accepted in 0..ACCEPTED {
            match SockRef::from(listener).accept() {
                Ok((socket, from)) => {
                    socket.set_nonblocking(true)?;
                    let from = from.as_socket().unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)));
                    self.accepted(TcpStream::from_std(socket.into())?, from);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(accepted),
                // It was gone before it was taken on.
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(ACCEPTED)
    }

    /// Whether nothing is left to be done: asks each connection itself, since what has come may not have been
    /// told.
    fn is_done(&mut self, listener: &TcpListener, late: bool) -> bool {
        let mut told = self.accept(listener).is_ok_and(|accepted| accepted > 0);
        for conn in self.border.caller_connections() {
            told |= self.look(conn);
        }
        if told {
            self.border.run_pending();
            self.carry_out();
        }
        let owes = self.border.pending_releases() > 0 || self.wires.is_any_choked();
        !told && self.border.open_set_ups() == 0 && (late || !owes)
    }
}

fn read_plan(path: &str) -> Result<PlatformConfig> {
    let text = fs::read_to_string(path).with_context(|| path.to_owned())?;
    PlatformConfig::read(&text).with_context(|| path.to_owned())
}

/// Runs the proxy until SIGTERM, and until what it has taken then is answered.
pub async fn serve() -> Result<()> {
    let signals = Signals::new()?;
    let path = env::var("LB_CONFIG").context("LB_CONFIG names the configuration and is not set")?;
    let plan = read_plan(&path)?;
    let listen = match env::var("LB_LISTEN") {
        Ok(listen) => listen.parse().with_context(|| format!("LB_LISTEN has no use for {listen:?}"))?,
        Err(_) => plan.listen,
    };
    LocalSet::new().run_until(run(signals, path, plan, listen)).await
}

fn bind_peers(own: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(own)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(listen), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&listen.into())?;
    socket.listen(1024)?;
    TcpListener::from_std(socket.into())
}

async fn when_free<T>(address: SocketAddr, bind: fn(SocketAddr) -> io::Result<T>) -> Result<T> {
    let began = Instant::now();
    loop {
        match bind(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && began.elapsed() < BIND_WITHIN => {
                tracing::info!(%address, "address.in_use");
                tokio::time::sleep(BIND_PAUSE).await;
            }
            bound => return bound.with_context(|| format!("listening on {address}")),
        }
    }
}

/// The listener, and where there are peers the socket for them and the address of all.
type Ears = (TcpListener, Option<(UdpSocket, SocketAddr)>);

async fn bind_all(listen: SocketAddr, plan: &PlatformConfig) -> Result<Ears> {
    let listener = when_free(listen, bind).await?;
    let Some((own, all)) = plan.peer_listen.zip(plan.peers_all) else { return Ok((listener, None)) };
    Ok((listener, Some((when_free(own, bind_peers).await?, all))))
}

async fn run(signals: Signals, path: String, plan: PlatformConfig, listen: SocketAddr) -> Result<()> {
    let Signals { mut terminate, mut interrupt, mut hang_up } = signals;
    let clock = Clock(Instant::now());
    let border = Border::new(&plan, clock.now(), unix())?;
    let (arrivals_in, mut arrivals) = mpsc::unbounded_channel();
    let (listener, peers) = tokio::select! {
        ears = bind_all(listen, &plan) => ears?,
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    let (changelog, changelog_out) = watch::channel(plan.changelog);
    let had = Had::new(border.last_seq());
    let (news_in, mut news) = mpsc::channel(16);
    tokio::task::spawn_local(watch_log::follow(changelog_out, had.clone(), plan.seed, news_in));
    let mut served = Served { border, wires: Wires::new(arrivals_in), peers, clock };
    tracing::info!(name = plan.name, %listen, sockets = plan.limits.sockets, "proxy.ready");

    let mut stop_at: Option<f64> = None;
    let (mut accept_at, mut reload_at) = (0.0, f64::INFINITY);
    let mut beliefs_at = 0.0;
    loop {
        served.carry_out();
        served.wires.closed().await;
        let now = served.clock.now();
        let accepts = now >= accept_at;
        let due = served.border.due().min(reload_at).min(if accepts { f64::INFINITY } else { accept_at });
        let due = stop_at.filter(|at| *at > now).map_or(due, |at| due.min(at));
        let wait = Duration::from_secs_f64((due - now).clamp(0.0, 1000.0) / 1000.0);
        let (mut first, mut caller, mut change) = (None, None, None);
        tokio::select! {
            arrival = arrivals.recv() => first = arrival,
            taken = listener.accept(), if accepts => caller = Some(taken),
            Some(found) = news.recv() => change = Some(found),
            _ = terminate.recv() => stop_at = stop_at.or(Some(served.clock.now() + STOPPING)),
            _ = interrupt.recv() => stop_at = stop_at.or(Some(served.clock.now() + STOPPING)),
            _ = hang_up.recv() => reload_at = 0.0,
            () = tokio::time::sleep(wait) => {}
        }
        let now = served.clock.now();
        if now >= reload_at {
            // It may be in the middle of being written.
            reload_at = match read_plan(&path) {
                Ok(plan) => {
                    changelog.send_replace(plan.changelog);
                    f64::INFINITY
                }
                Err(error) => {
                    tracing::warn!("configuration.kept: {error:#}");
                    now + RELOAD_PAUSE
                }
            };
        }
        if let Some(change) = change {
            tracing::debug!(version = change.version, whole = change.whole, "changelog.news");
            if let Err(error) = served.border.update_server_list(now, unix(), &change) {
                tracing::warn!("changelog.unfit: {error}");
                had.ask_again();
            }
            had.set(served.border.last_seq());
        }
        let taken_on = match caller {
            Some(Ok((stream, from))) => {
                served.accepted(stream, from);
                served.accept(&listener).map(drop)
            }
            Some(Err(error)) => Err(error),
            None => Ok(()),
        };
        if let Err(error) = taken_on {
            tracing::warn!("accept.failed: {error}");
            accept_at = now + ACCEPT_PAUSE;
        }
        let more = std::iter::from_fn(|| arrivals.try_recv().ok()).take(BATCH);
        for arrival in first.into_iter().chain(more) {
            served.arrived(arrival);
        }
        served.border.turn(served.clock.now());
        served.border.run_pending();
        if now >= beliefs_at && tracing::enabled!(tracing::Level::DEBUG) {
            beliefs_at = now + BELIEFS;
            served.border.diagnostics().iter().for_each(|line| tracing::debug!("beliefs {line}"));
        }
        if let Some(at) = stop_at {
            served.border.stop();
            if now >= at {
                served.carry_out();
                if served.is_done(&listener, now >= at + OWED) {
                    break;
                }
            }
        }
    }
    drop(listener);
    served.wires.end(LAST_READ).await;
    let tally = served.border.counters();
    tracing::info!(?tally, "proxy.stopped");
    Ok(())
}
