//! Follows the change log over HTTP for as long as the proxy runs, reconnecting whenever the connection fails
//! or is silent. Each request starts after the last event that was applied: an event that was read but not
//! applied is sent again in the next response.
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

use anyhow::{Context, Result, anyhow, bail, ensure};
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
use crate::changelog_stream::ChangelogStream;

/// How long connecting may take, and then the head of the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest silence on an open connection; the server sends a comment each second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
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
    /// The current connection.
    stream: RefCell<Option<ChangelogStream>>,
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
            stream: RefCell::default(),
        });
        let (address, current_address) = watch::channel(address);
        // The runtime's budget for one task must not stop a catch-up half-way.
        let follow = Box::pin(tokio::task::unconstrained(follow(current_address, shared.clone(), seed)));
        Self { shared, address, follow }
    }

    /// Uses another address from now on; events keep their numbering.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.send_replace(address);
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
        let has_unread_data =
            || self.shared.stream.borrow().as_ref().is_some_and(ChangelogStream::has_unread);
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

/// Makes one request after the other.
async fn follow(mut address: watch::Receiver<SocketAddr>, shared: Rc<Shared>, seed: u64) -> Infallible {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut backoff = Backoff::new(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
    loop {
        let started = Instant::now();
        let current = *address.borrow_and_update();
        let failure = tokio::select! {
            failure = request_changes(current, &shared) => failure,
            () = shared.request_again.notified() => Err(anyhow!("an event can't be applied")),
            _ = address.changed() => {
                shared.stream.replace(None);
                tracing::info!("changelog.moved");
                continue;
            }
        };
        shared.stream.replace(None);
        backoff.record_lifetime(started.elapsed().as_secs_f64() * 1000.0);
        let wait = backoff.next_wait(&mut rng);
        let Err(error) = failure;
        tracing::info!(gap_ms = wait as u64, "changelog.broke: {error:#}");
        tokio::select! {
            () = tokio::time::sleep(Duration::from_secs_f64(wait / 1000.0)) => {}
            _ = address.changed() => {}
        }
    }
}

/// Makes one request and reads its response until that fails.
async fn request_changes(address: SocketAddr, shared: &Shared) -> Result<Infallible> {
    let stream =
        tokio::time::timeout(RESPONSE_TIMEOUT, TcpStream::connect(address)).await.context("connecting")??;
    let stream = ChangelogStream::new(stream);
    shared.stream.replace(Some(stream.clone()));
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let mut connection = pin!(connection);
    let mut exchange = pin!(read_changes(sender, address, shared));
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
) -> Result<Infallible> {
    let mut reader = ChangelogReader::new(shared.applied_seq.get());
    let request = Request::get("/changes")
        .header(header::HOST, address.to_string())
        .header(header::ACCEPT, "text/event-stream")
        .header("Last-Event-ID", reader.last_seq())
        .body(Empty::<Bytes>::new())?;
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, sender.send_request(request))
        .await
        .context("requesting changes")??;
    ensure!(response.status() == StatusCode::OK, "status {}, wanted 200 OK", response.status());
    let mut body = response.into_body();
    loop {
        let frame = tokio::time::timeout(SILENCE_TIMEOUT, body.frame()).await.context("silent")?;
        let Some(frame) = frame else { bail!("the response ended") };
        let Ok(data) = frame?.into_data() else { continue };
        shared.updates.borrow_mut().extend(reader.read(&data)?);
    }
}
