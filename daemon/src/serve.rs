//! Runs one border proxy with the platform's protocol. Inputs are connections, the change log, the clock and
//! signals; output is bytes. No decision is made here. [`serve`] is the entry point that the platform starts.

use std::env;
use std::fs;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use platform::{Border, PlatformConfig};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::changelog_client::ChangelogClient;
use crate::clock::{Clock, unix_ms};
use crate::connections::Connections;
use crate::served_proxy::ServedProxy;

/// Connection events handled in one turn of the loop.
const MAX_EVENTS_PER_TURN: usize = 128;
/// Pause after a failed accept, for example when out of file descriptors.
const ACCEPT_RETRY_MS: f64 = 50.0;
/// The previous process of this proxy may still hold the address: binding is retried at this interval, up to
/// [`BIND_TIMEOUT`], the time that a start may take.
const BIND_RETRY: Duration = Duration::from_millis(20);
const BIND_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause before a new configuration that could not be read is read again.
const RELOAD_RETRY_MS: f64 = 100.0;
/// How long set-ups are still accepted after SIGTERM.
const STOP_GRACE_MS: f64 = 750.0;
/// How long, after [`STOP_GRACE_MS`], a stop waits for pending releases and unwritten bytes: a release is due
/// within a second, and a connection that takes nothing for so long is given up. Answers to set-ups are
/// waited for without this limit.
const UNSENT_WAIT_MS: f64 = 1000.0;
/// How long, in all, connections are read before they are closed at the end of a stop.
const LAST_READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval of the debug log lines that compare the module's state with the sockets.
const DIAGNOSTICS_INTERVAL_MS: f64 = 1000.0;

/// The signals that are handled, registered before anything else.
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

fn read_configuration(path: &str) -> Result<PlatformConfig> {
    let text = fs::read_to_string(path).with_context(|| path.to_owned())?;
    PlatformConfig::read(&text).with_context(|| path.to_owned())
}

/// Runs the proxy until SIGTERM, and then until all accepted set-ups are answered.
pub async fn serve() -> Result<()> {
    let signals = Signals::new()?;
    let path = env::var("LB_CONFIG").context("LB_CONFIG names the configuration and is not set")?;
    let config = read_configuration(&path)?;
    let listen = match env::var("LB_LISTEN") {
        Ok(listen) => {
            listen.parse().with_context(|| format!("LB_LISTEN is {listen:?}, wanted an address and port"))?
        }
        Err(_) => config.listen,
    };
    LocalSet::new().run_until(run(signals, path, config, listen)).await
}

fn bind_peers(own: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(own)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

fn bind_listener(listen: SocketAddr) -> io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(listen), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&listen.into())?;
    socket.listen(1024)?;
    TcpListener::from_std(socket.into())
}

/// Binds an address, retrying while another process holds it.
async fn bind_when_free<T>(address: SocketAddr, bind: fn(SocketAddr) -> io::Result<T>) -> Result<T> {
    let started = Instant::now();
    loop {
        match bind(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && started.elapsed() < BIND_TIMEOUT => {
                tracing::info!(%address, "address.in_use");
                tokio::time::sleep(BIND_RETRY).await;
            }
            bound => return bound.with_context(|| format!("listening on {address}")),
        }
    }
}

/// The callers' listener and, if there are peers, the socket for them and their broadcast address.
type Listeners = (TcpListener, Option<(UdpSocket, SocketAddr)>);

async fn bind_all(listen: SocketAddr, config: &PlatformConfig) -> Result<Listeners> {
    let listener = bind_when_free(listen, bind_listener).await?;
    let Some((peer_listen, all)) = config.peer_listen.zip(config.peers_all) else {
        return Ok((listener, None));
    };
    Ok((listener, Some((bind_when_free(peer_listen, bind_peers).await?, all))))
}

async fn run(signals: Signals, path: String, config: PlatformConfig, listen: SocketAddr) -> Result<()> {
    let Signals { mut terminate, mut interrupt, mut hang_up } = signals;
    let clock = Clock(Instant::now());
    let border = Border::new(&config, clock.now(), unix_ms())?;
    let (events_in, mut events) = mpsc::unbounded_channel();
    let (listener, peers) = tokio::select! {
        listeners = bind_all(listen, &config) => listeners?,
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    let changelog = ChangelogClient::new(config.changelog, border.last_seq(), config.seed);
    let mut proxy = ServedProxy::new(
        border,
        Connections::new(events_in, config.limits.max_unread_bytes()),
        changelog,
        peers,
        clock,
    );
    tracing::info!(name = config.name, %listen, sockets = config.limits.sockets, "proxy.ready");

    let mut stop_at: Option<f64> = None;
    let (mut accept_at, mut reload_at) = (0.0, f64::INFINITY);
    let mut diagnostics_at = 0.0;
    loop {
        proxy.perform_all_actions().await;
        proxy.connections.wait_closed().await;
        let now = proxy.clock.now();
        let accepting = now >= accept_at;
        let due = proxy.border.due().min(reload_at).min(if accepting { f64::INFINITY } else { accept_at });
        let due = stop_at.filter(|at| *at > now).map_or(due, |at| due.min(at));
        let wait = Duration::from_secs_f64((due - now).clamp(0.0, 1000.0) / 1000.0);
        let (mut first, mut caller) = (None, None);
        tokio::select! {
            event = events.recv() => first = event,
            accepted = listener.accept(), if accepting => caller = Some(accepted),
            () = proxy.changelog.wait_for_update() => {}
            _ = terminate.recv() => stop_at = stop_at.or(Some(proxy.clock.now() + STOP_GRACE_MS)),
            _ = interrupt.recv() => stop_at = stop_at.or(Some(proxy.clock.now() + STOP_GRACE_MS)),
            _ = hang_up.recv() => reload_at = 0.0,
            () = tokio::time::sleep(wait) => {}
        }
        let now = proxy.clock.now();
        if now >= reload_at {
            // The file may be half written.
            reload_at = match read_configuration(&path) {
                Ok(config) => {
                    proxy.changelog.set_address(config.changelog);
                    f64::INFINITY
                }
                Err(error) => {
                    tracing::warn!("configuration.kept: {error:#}");
                    now + RELOAD_RETRY_MS
                }
            };
        }
        proxy.read_changelog().await;
        let accept_result = match caller {
            Some(Ok((stream, from))) => {
                proxy.add_caller(stream, from);
                proxy.accept_callers(&listener).map(drop)
            }
            Some(Err(error)) => Err(error),
            None => Ok(()),
        };
        if let Err(error) = accept_result {
            tracing::warn!("accept.failed: {error}");
            accept_at = now + ACCEPT_RETRY_MS;
        }
        let more = std::iter::from_fn(|| events.try_recv().ok()).take(MAX_EVENTS_PER_TURN);
        for event in first.into_iter().chain(more) {
            proxy.handle_event(event);
        }
        proxy.border.turn(proxy.clock.now());
        proxy.border.run_pending();
        if now >= diagnostics_at && tracing::enabled!(tracing::Level::DEBUG) {
            diagnostics_at = now + DIAGNOSTICS_INTERVAL_MS;
            proxy.border.diagnostics().iter().for_each(|line| tracing::debug!("beliefs {line}"));
        }
        if let Some(at) = stop_at {
            proxy.border.stop();
            if now >= at {
                proxy.perform_all_actions().await;
                if proxy.is_done(&listener, now >= at + UNSENT_WAIT_MS) {
                    break;
                }
            }
        }
    }
    drop(listener);
    proxy.connections.shut_down(LAST_READ_TIMEOUT).await;
    let counters = proxy.border.counters();
    tracing::info!(tally = ?counters, "proxy.stopped");
    Ok(())
}
