//! The subscription to the pool list, renewed with a growing backoff whenever it fails.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use border::pool::{MAX_LINE_BYTES, PoolRequest, PoolUpdates};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use crate::backoff::Backoff;

/// How long connecting to the feed may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Follows the feed for as long as the proxy runs. `known_version` is the version that the proxy has; it is
/// reset to none when an update could not be applied, and the whole list is then requested at once.
pub async fn follow(
    feed: SocketAddr,
    seed: u64,
    updates: mpsc::Sender<PoolUpdates>,
    mut known_version: watch::Receiver<Option<u64>>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut backoff = Backoff::default();
    loop {
        let started = Instant::now();
        let failure = subscribe(feed, &updates, &mut known_version).await;
        if updates.is_closed() {
            return;
        }
        backoff.record_lifetime(started.elapsed().as_secs_f64() * 1000.0);
        let wait = backoff.next_wait(&mut rng);
        if let Err(error) = failure {
            tracing::warn!(%feed, gap_ms = wait as u64, "pool.feed_broke: {error:#}");
        }
        tokio::time::sleep(Duration::from_secs_f64(wait / 1000.0)).await;
    }
}

/// Connects, and passes on updates until the subscription fails.
async fn subscribe(
    feed: SocketAddr,
    updates: &mpsc::Sender<PoolUpdates>,
    known_version: &mut watch::Receiver<Option<u64>>,
) -> Result<()> {
    let stream =
        tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(feed)).await.context("connecting")??;
    let (reader, mut writer) = stream.into_split();
    let mut request = serde_json::to_vec(&PoolRequest { have: *known_version.borrow_and_update() })?;
    request.push(b'\n');
    writer.write_all(&request).await?;
    let mut reader = BufReader::new(reader);
    let mut line = Vec::new();
    loop {
        // A partly read line stays in `line` when `known_version` changes.
        let mut bounded = (&mut reader).take(MAX_LINE_BYTES as u64);
        tokio::select! {
            read = bounded.read_until(b'\n', &mut line) => {
                if read? == 0 {
                    bail!("the feed closed the connection");
                }
            }
            changed = known_version.changed() => {
                changed?;
                if known_version.borrow_and_update().is_none() {
                    bail!("an update could not be applied; requesting the whole list");
                }
                continue;
            }
        }
        if line.last() != Some(&b'\n') {
            bail!("a line longer than {MAX_LINE_BYTES} bytes, or cut off");
        }
        let text = std::str::from_utf8(&line).context("a line that is not UTF-8")?;
        updates.send(PoolUpdates::read(text)?).await?;
        line.clear();
    }
}
