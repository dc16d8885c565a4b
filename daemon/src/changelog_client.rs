//! Follows the change log over HTTP for as long as the proxy lives: asked again whenever it breaks or says
//! nothing. [`AppliedSeq`] says what has been taken in, from which on each call asks: what a call has read and
//! nobody has taken in is told again by the next.

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

/// For the connection and for the head of the answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// A comment is due each second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Gaps between two calls, in milliseconds.
const FIRST_BACKOFF_MS: f64 = 50.0;
const MAX_BACKOFF_MS: f64 = 500.0;

/// The number of the last event that was taken in.
#[derive(Clone)]
pub struct AppliedSeq(Rc<(Cell<u64>, Notify)>);

impl AppliedSeq {
    pub fn new(last: u64) -> Self {
        Self(Rc::new((Cell::new(last), Notify::new())))
    }

    pub fn set(&self, last: u64) {
        self.0.0.set(last);
    }

    /// What came can't be taken in: the present call is of no more use.
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

/// `address` may change while the proxy runs; the events' numbers go on.
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
            () = applied_seq.refused() => Err(anyhow!("what it told can't be taken in")),
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

/// One call, read until it ends.
async fn request_changes(
    address: SocketAddr,
    applied_seq: &AppliedSeq,
    updates: &mpsc::Sender<PoolUpdates>,
) -> Result<Infallible> {
    let stream =
        tokio::time::timeout(RESPONSE_TIMEOUT, TcpStream::connect(address)).await.context("connecting")??;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    // Whatever ends this call ends the connection with it.
    let _abort_on_return = AbortOnDrop(connection.abort_handle());
    let mut reader = ChangelogReader::new(applied_seq.last());
    let request = Request::get("/changes")
        .header(header::HOST, address.to_string())
        .header(header::ACCEPT, "text/event-stream")
        .header("Last-Event-ID", reader.last_seq())
        .body(Empty::<Bytes>::new())?;
    let response =
        tokio::time::timeout(RESPONSE_TIMEOUT, sender.send_request(request)).await.context("asking")??;
    ensure!(response.status() == StatusCode::OK, "it answered {}", response.status());
    let mut body = response.into_body();
    loop {
        let frame = tokio::time::timeout(SILENCE_TIMEOUT, body.frame()).await.context("silent")?;
        let Some(frame) = frame else { bail!("the answer ended") };
        let Ok(data) = frame?.into_data() else { continue };
        for update in reader.read(&data)? {
            updates.send(update).await?;
        }
    }
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
