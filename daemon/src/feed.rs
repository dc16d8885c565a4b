//! The subscription to the pool list: asked for again with growing gaps whenever it breaks.

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

/// A feed that does not answer the call for a connection.
const CONNECT_WAIT: Duration = Duration::from_secs(3);

/// Follows the feed for as long as the proxy lives. `have` tells the version that the proxy has; it is set
/// back to none when news did not fit, which has the feed asked for the whole list at once.
pub async fn follow(
    feed: SocketAddr,
    seed: u64,
    news: mpsc::Sender<PoolUpdates>,
    mut have: watch::Receiver<Option<u64>>,
) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut backoff = Backoff::default();
    loop {
        let since = Instant::now();
        let broke = subscription(feed, &news, &mut have).await;
        if news.is_closed() {
            return;
        }
        backoff.lived(since.elapsed().as_secs_f64() * 1000.0);
        let gap = backoff.gap(&mut chance);
        if let Err(error) = broke {
            tracing::warn!(%feed, gap_ms = gap as u64, "pool.feed_broke: {error:#}");
        }
        tokio::time::sleep(Duration::from_secs_f64(gap / 1000.0)).await;
    }
}

async fn subscription(
    feed: SocketAddr,
    news: &mpsc::Sender<PoolUpdates>,
    have: &mut watch::Receiver<Option<u64>>,
) -> Result<()> {
    let stream =
        tokio::time::timeout(CONNECT_WAIT, TcpStream::connect(feed)).await.context("connecting")??;
    let (from, mut to) = stream.into_split();
    let mut ask = serde_json::to_vec(&PoolRequest { have: *have.borrow_and_update() })?;
    ask.push(b'\n');
    to.write_all(&ask).await?;
    let mut from = BufReader::new(from);
    let mut line = Vec::new();
    loop {
        // What of a line was read before `have` changed stays in it.
        let mut bounded = (&mut from).take(MAX_LINE_BYTES as u64);
        tokio::select! {
            read = bounded.read_until(b'\n', &mut line) => {
                if read? == 0 {
                    bail!("the feed closed");
                }
            }
            changed = have.changed() => {
                changed?;
                if have.borrow_and_update().is_none() {
                    bail!("news did not fit; the whole list is wanted");
                }
                continue;
            }
        }
        if line.last() != Some(&b'\n') {
            bail!("a line longer than {MAX_LINE_BYTES} bytes, or cut off");
        }
        let text = std::str::from_utf8(&line).context("a line that is no text")?;
        news.send(PoolUpdates::read(text)?).await?;
        line.clear();
    }
}
