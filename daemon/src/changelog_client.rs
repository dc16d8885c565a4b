//! Follows the change log over HTTP for as long as the proxy runs, reconnecting whenever the connection fails
//! or is silent. Each request starts after [`AppliedSeq`], the last event that was applied: an event that was
//! read but not applied is sent again in the next response.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
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
use tokio::sync::{Notify, mpsc, watch};

use crate::backoff::Backoff;

/// How long connecting may take, and then the head of the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest silence on an open connection; the server sends a comment each second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// First and maximum bounds of the wait between two requests, in milliseconds.
const FIRST_BACKOFF_MS: f64 = 50.0;
const MAX_BACKOFF_MS: f64 = 500.0;

/// The sequence number of the last event that was applied.
#[derive(Clone)]
pub struct AppliedSeq(Rc<(Cell<u64>, Notify)>);

impl AppliedSeq {
    /// Creates it with the number of the last event known at the start.
    pub fn new(last: u64) -> Self {
        Self(Rc::new((Cell::new(last), Notify::new())))
    }

    /// Records the last event that was applied.
    pub fn set(&self, last: u64) {
        self.0.0.set(last);
    }

    /// An event could not be applied: the current request is abandoned and a new one is made.
    pub fn request_again(&self) {
        self.0.1.notify_one();
    }

    fn last(&self) -> u64 {
        self.0.0.get()
    }

    async fn refused(&self) {
        self.0.1.notified().await;
    }
}

/// Sends updates for as long as the proxy runs. `address` may change meanwhile; events keep their numbering.
pub async fn follow(
    mut address: watch::Receiver<SocketAddr>,
    applied_seq: AppliedSeq,
    seed: u64,
    updates: mpsc::Sender<PoolUpdates>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut backoff = Backoff::new(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
    loop {
        let started = Instant::now();
        let current = *address.borrow_and_update();
        let failure = tokio::select! {
            failure = request_changes(current, &applied_seq, &updates) => failure,
            () = applied_seq.refused() => Err(anyhow!("an event can't be applied")),
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                tracing::info!("changelog.moved");
                continue;
            }
        };
        if updates.is_closed() {
            return;
        }
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
async fn request_changes(
    address: SocketAddr,
    applied_seq: &AppliedSeq,
    updates: &mpsc::Sender<PoolUpdates>,
) -> Result<Infallible> {
    let stream =
        tokio::time::timeout(RESPONSE_TIMEOUT, TcpStream::connect(address)).await.context("connecting")??;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    // The connection ends together with this request.
    let _abort_on_return = AbortOnDrop(connection.abort_handle());
    let mut reader = ChangelogReader::new(applied_seq.last());
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
        for update in reader.read(&data)? {
            updates.send(update).await?;
        }
    }
}

/// Aborts a task when dropped.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
