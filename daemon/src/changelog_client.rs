//! Follows the change log over HTTP for as long as the proxy runs, reconnecting whenever the connection fails
//! or is silent ([`RequestSchedule`] tells when). Each request starts after the last event that was applied: an
//! event that was read but not applied is sent again in the next response.
//!
//! [`ChangelogClient`] is driven by its owner: [`ChangelogClient::wait_for_update`] waits for an update, and
//! [`ChangelogClient::catch_up`] reads all that has arrived, without waiting. [`ChangelogClient::has_unread`]
//! tells whether anything has arrived or been read that the owner has not taken yet.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context as TaskContext, Poll, Wake, Waker};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use border::pool::PoolUpdates;
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use platform::changelog::ChangelogReader;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};

use crate::backoff::Backoff;
use crate::changelog_requests::{RequestAction, RequestId, RequestSchedule};
use crate::changelog_stream::ChangelogStream;
use crate::clock::Clock;

/// First and maximum bounds of the wait between two requests, in milliseconds.
const FIRST_BACKOFF_MS: f64 = 50.0;
const MAX_BACKOFF_MS: f64 = 500.0;
/// How often the client is run in one [`ChangelogClient::catch_up`], so that a server that never stops sending
/// does not hold up the proxy.
const MAX_CATCH_UP_RUNS: usize = 64;

/// What the client's connection and its owner share.
struct Shared {
    /// The sequence number of the last event that was applied.
    applied_seq: Cell<u64>,
    /// Signals that an event could not be applied.
    request_again: Notify,
    /// Updates that were read and not taken yet.
    updates: RefCell<VecDeque<PoolUpdates>>,
    /// The connections of the open requests.
    streams: RefCell<Vec<(RequestId, ChangelogStream)>>,
}

/// A client of the change log.
pub struct ChangelogClient {
    shared: Rc<Shared>,
    address: watch::Sender<SocketAddr>,
    follow: Pin<Box<dyn Future<Output = Infallible>>>,
}

impl ChangelogClient {
    /// Creates a client that requests the events after `last_seq`. It connects once it is driven.
    pub fn new(address: SocketAddr, last_seq: u64, seed: u64) -> Self {
        let shared = Rc::new(Shared {
            applied_seq: Cell::new(last_seq),
            request_again: Notify::new(),
            updates: RefCell::default(),
            streams: RefCell::default(),
        });
        let (address, current_address) = watch::channel(address);
        // The runtime's budget for one task must not stop a catch-up half-way.
        let follow =
            Box::pin(tokio::task::unconstrained(Follower::new(current_address, shared.clone(), seed).run()));
        Self { shared, address, follow }
    }

    /// Uses this address from now on; events keep their numbering. If it is the current one, open requests go on.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.send_if_modified(|current| std::mem::replace(current, address) != address);
    }

    /// Records the last event that was applied.
    pub fn set_applied(&self, last: u64) {
        self.shared.applied_seq.set(last);
    }

    /// An event could not be applied: the current request is abandoned and a new one is made.
    pub fn request_again(&self) {
        self.shared.request_again.notify_one();
    }

    /// Waits until an update has been read.
    pub async fn wait_for_update(&mut self) {
        poll_fn(|cx| {
            let Poll::Pending = self.follow.as_mut().poll(cx);
            if self.shared.updates.borrow().is_empty() { Poll::Pending } else { Poll::Ready(()) }
        })
        .await
    }

    /// Takes the next update that has been read.
    pub fn take_update(&self) -> Option<PoolUpdates> {
        self.shared.updates.borrow_mut().pop_front()
    }

    /// Whether data has arrived that has not been read, or updates have been read and not taken.
    pub fn has_unread(&self) -> bool {
        let has_unread_data = || self.shared.streams.borrow().iter().any(|(_, stream)| stream.has_unread());
        !self.shared.updates.borrow().is_empty() || has_unread_data()
    }

    /// Reads all that has arrived, without waiting for more.
    pub async fn catch_up(&mut self) {
        poll_fn(|cx| {
            let progress = Arc::new(Progress { woken: AtomicBool::new(false), task: cx.waker().clone() });
            let waker = Waker::from(progress.clone());
            for _ in 0..MAX_CATCH_UP_RUNS {
                let Poll::Pending = self.follow.as_mut().poll(&mut TaskContext::from_waker(&waker));
                if !progress.woken.swap(false, Ordering::Relaxed) {
                    break;
                }
            }
            Poll::Ready(())
        })
        .await;
    }
}

/// Notes when a part of the client asks to be run again, and passes that on to the owner's task.
struct Progress {
    woken: AtomicBool,
    task: Waker,
}

impl Wake for Progress {
    fn wake(self: Arc<Self>) {
        self.woken.store(true, Ordering::Relaxed);
        self.task.wake_by_ref();
    }
}

/// The connection of a request, which [`ChangelogClient::has_unread`] sees for as long as the request is open.
struct RegisteredStream<'a> {
    shared: &'a Shared,
    id: RequestId,
}

impl<'a> RegisteredStream<'a> {
    fn new(shared: &'a Shared, id: RequestId, stream: ChangelogStream) -> Self {
        shared.streams.borrow_mut().push((id, stream));
        Self { shared, id }
    }
}

impl Drop for RegisteredStream<'_> {
    fn drop(&mut self) {
        self.shared.streams.borrow_mut().retain(|(id, _)| *id != self.id);
    }
}

/// A request that has not failed.
struct OpenRequest {
    id: RequestId,
    started: Instant,
    /// Set when data arrives.
    has_received: Rc<Cell<bool>>,
    response: Pin<Box<dyn Future<Output = Result<Infallible>>>>,
}

impl OpenRequest {
    fn start(id: RequestId, address: SocketAddr, shared: Rc<Shared>) -> Self {
        let has_received = Rc::new(Cell::new(false));
        let received = has_received.clone();
        let response = Box::pin(async move { request_changes(id, address, &shared, &received).await });
        Self { id, started: Instant::now(), has_received, response }
    }
}

/// What happened to a request.
enum RequestEvent {
    Received(RequestId),
    Failed(RequestId, anyhow::Error),
}

/// Drives all open requests until something happens to one of them.
async fn next_event(open: &mut [OpenRequest]) -> RequestEvent {
    poll_fn(|cx| {
        for request in open.iter_mut() {
            if let Poll::Ready(Err(error)) = request.response.as_mut().poll(cx) {
                return Poll::Ready(RequestEvent::Failed(request.id, error));
            }
            if request.has_received.take() {
                return Poll::Ready(RequestEvent::Received(request.id));
            }
        }
        Poll::Pending
    })
    .await
}

/// The open requests with their connections.
struct Follower {
    address: watch::Receiver<SocketAddr>,
    shared: Rc<Shared>,
    clock: Clock,
    schedule: RequestSchedule,
    open: Vec<OpenRequest>,
    backoff: Backoff,
    rng: Pcg64Mcg,
}

impl Follower {
    fn new(address: watch::Receiver<SocketAddr>, shared: Rc<Shared>, seed: u64) -> Self {
        Self {
            address,
            shared,
            clock: Clock(Instant::now()),
            schedule: RequestSchedule::default(),
            open: Vec::new(),
            backoff: Backoff::new(FIRST_BACKOFF_MS, MAX_BACKOFF_MS),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    async fn run(mut self) -> Infallible {
        loop {
            self.perform_due_actions();
            let wait = Duration::from_secs_f64((self.schedule.due() - self.clock.now()).max(0.0) / 1000.0);
            tokio::select! {
                // What has arrived is read before a request is given up or the change log moves.
                biased;
                event = next_event(&mut self.open) => self.handle_event(event),
                () = self.shared.request_again.notified() => self.request_again(),
                _ = self.address.changed() => self.move_to_new_address(),
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    fn perform_due_actions(&mut self) {
        let now = self.clock.now();
        while let Some(action) = self.schedule.next_action(now) {
            match action {
                RequestAction::Start(id) => {
                    if let Some(silent) = self.open.last() {
                        tracing::info!(silent = ?silent.id, "changelog.silent");
                    }
                    let address = *self.address.borrow_and_update();
                    self.open.push(OpenRequest::start(id, address, self.shared.clone()));
                }
                RequestAction::GiveUp(id) => {
                    tracing::info!(?id, "changelog.broke: silent");
                    self.open.retain(|request| request.id != id);
                }
            }
        }
    }

    fn handle_event(&mut self, event: RequestEvent) {
        match event {
            RequestEvent::Received(id) => {
                let dropped = self.schedule.received(self.clock.now(), id);
                self.open.retain(|request| !dropped.contains(&request.id));
            }
            RequestEvent::Failed(id, error) => {
                let started = self.open.extract_if(.., |request| request.id == id).next();
                let lifetime =
                    started.map_or(0.0, |request| request.started.elapsed().as_secs_f64() * 1000.0);
                self.backoff.record_lifetime(lifetime);
                let wait = self.next_wait();
                tracing::info!(gap_ms = wait as u64, "changelog.broke: {error:#}");
                self.schedule.failed(id, self.clock.now() + wait);
            }
        }
    }

    /// Abandons all requests: an event could not be applied.
    fn request_again(&mut self) {
        self.open.clear();
        let wait = self.next_wait();
        tracing::info!(gap_ms = wait as u64, "changelog.broke: an event can't be applied");
        self.schedule.restart(self.clock.now() + wait);
    }

    fn move_to_new_address(&mut self) {
        self.open.clear();
        tracing::info!("changelog.moved");
        self.schedule.restart(self.clock.now());
    }

    fn next_wait(&mut self) -> f64 {
        self.backoff.next_wait(&mut self.rng)
    }
}

/// Makes one request and reads its response until that fails.
async fn request_changes(
    id: RequestId,
    address: SocketAddr,
    shared: &Shared,
    has_received: &Cell<bool>,
) -> Result<Infallible> {
    let stream = ChangelogStream::new(TcpStream::connect(address).await.context("connecting")?);
    let _registered = RegisteredStream::new(shared, id, stream.clone());
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let mut connection = pin!(connection);
    let mut exchange = pin!(read_changes(sender, address, shared, has_received));
    let mut connection_ended = false;
    poll_fn(|cx| {
        // How the connection ended shows in the response.
        connection_ended = connection_ended || connection.as_mut().poll(cx).is_ready();
        exchange.as_mut().poll(cx)
    })
    .await
}

/// Sends the request and reads the response, while the connection is driven elsewhere.
async fn read_changes(
    mut sender: http1::SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    shared: &Shared,
    has_received: &Cell<bool>,
) -> Result<Infallible> {
    let mut reader = ChangelogReader::new(shared.applied_seq.get());
    let request = Request::get("/changes")
        .header(header::HOST, address.to_string())
        .header(header::ACCEPT, "text/event-stream")
        .header("Last-Event-ID", reader.last_seq())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await.context("requesting changes")?;
    ensure!(response.status() == StatusCode::OK, "status {}, wanted 200 OK", response.status());
    let mut body = response.into_body();
    loop {
        let Some(frame) = body.frame().await else { bail!("the response ended") };
        let Ok(data) = frame?.into_data() else { continue };
        shared.updates.borrow_mut().extend(reader.read(&data)?);
        has_received.set(true);
    }
}
